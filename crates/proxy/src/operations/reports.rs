//! Reports on the end of operations. Each one is resent until it is confirmed or expires.

use crate::registries::RegistryConnectionId;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::connection::Sender;

/// The time until an unconfirmed report is resent for the first time.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);
/// Each further interval is longer than the last one by this factor.
const INTERVAL_FACTOR: f64 = 1.5;
/// The age at which a report expires. The operation then stays claimed until its claim times out, and its outcome is
/// unknown afterwards.
const MAX_AGE: Duration = Duration::from_secs(10);
/// The maximum number of reports. When it is reached, a new report replaces the oldest one.
const MAX_REPORTS: usize = 512;

/// All unconfirmed reports, by request id.
#[derive(Debug, Default)]
pub(super) struct Reports {
    by_request_id: BTreeMap<u32, Report>,
}

#[derive(Debug)]
struct Report {
    message: Bytes,
    sent_on: Option<RegistryConnectionId>,
    interval: Duration,
    due_at: Instant,
    expires_at: Instant,
}

impl Reports {
    /// Adds a report that is due at once.
    pub(super) fn add(&mut self, now: Instant, request_id: u32, message: Bytes) {
        if self.by_request_id.len() >= MAX_REPORTS {
            self.remove_oldest();
        }
        let report = Report {
            message,
            sent_on: None,
            interval: FIRST_INTERVAL,
            due_at: now,
            expires_at: now + MAX_AGE,
        };
        self.by_request_id.insert(request_id, report);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_request_id.iter().min_by_key(|(_, report)| report.expires_at);
        if let Some(request_id) = oldest.map(|(request_id, _)| *request_id) {
            self.by_request_id.remove(&request_id);
        }
    }

    /// Drops expired reports, and sends all reports that are due. `connection` selects the registry; its argument is the
    /// registry that the report was last sent to, which is to be avoided.
    pub(super) fn send_due(
        &mut self,
        now: Instant,
        connection: impl Fn(&[Ipv4Addr]) -> Option<(RegistryConnectionId, Sender)>,
    ) {
        self.by_request_id.retain(|_, report| now < report.expires_at);
        for report in self.by_request_id.values_mut().filter(|report| report.due_at <= now) {
            let last_registry = report.sent_on.map(|sent_on| sent_on.registry);
            let Some((sent_on, sender)) = connection(last_registry.as_slice()) else { continue };
            sender.send(report.message.clone());
            report.sent_on = Some(sent_on);
            report.due_at = now + report.interval;
            report.interval = report.interval.mul_f64(INTERVAL_FACTOR);
        }
    }

    /// Removes a report that was confirmed on the connection `from`. Ignored unless the report was last sent on it.
    pub(super) fn confirm(&mut self, from: RegistryConnectionId, request_id: u32) {
        if self.by_request_id.get(&request_id).is_some_and(|report| report.sent_on == Some(from)) {
            self.by_request_id.remove(&request_id);
        }
    }

    /// The connection to a registry is lost: reports that were last sent to it are due again, as no confirmation can arrive.
    pub(super) fn on_disconnected(&mut self, registry: Ipv4Addr) {
        let now = Instant::now();
        for report in self.by_request_id.values_mut() {
            if report.sent_on.is_some_and(|sent_on| sent_on.registry == registry) {
                report.due_at = now;
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_request_id.is_empty()
    }
}
