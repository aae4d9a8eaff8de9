//! The figures of a step as its phases give them.

use crate::installations::Spread;
use crate::record::Step;
use crate::testbed::{Role, Size, UsageSnapshot};
use crate::traffic::MessageKind;
use std::collections::BTreeMap;

/// What was used between two snapshots, in which something happened so many times.
#[derive(Clone, Copy)]
pub(crate) struct Interval<'a> {
    pub(crate) before: &'a UsageSnapshot,
    pub(crate) after: &'a UsageSnapshot,
    pub(crate) events: f64,
}

impl Interval<'_> {
    pub(crate) fn seconds(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }
}

/// Figures of a step as they come in.
pub(crate) struct Figures {
    pub(crate) step: Step,
    /// What a quiet second costs (ms of processor time), by role: subtracted from what a phase has used.
    quiet: BTreeMap<Role, f64>,
}

impl Figures {
    pub(crate) fn new(step: Step) -> Figures {
        Figures { step, quiet: BTreeMap::new() }
    }

    pub(crate) fn set_quiet(&mut self, role: Role, cpu_ms_per_s: f64) {
        self.quiet.insert(role, cpu_ms_per_s);
    }

    pub(crate) fn set(&mut self, name: &str, value: f64) {
        self.step.figures.insert(name.to_owned(), value);
    }

    /// Something did not happen in its time.
    pub(crate) fn add_failure(&mut self, what: impl Into<String>) {
        self.step.failed.push(what.into());
    }

    /// Processor time of a role in an interval (ms), less what a quiet time of that length costs.
    pub(crate) fn cpu_ms(&self, interval: Interval<'_>, role: Role) -> f64 {
        let quiet = self.quiet.get(&role).copied().unwrap_or(0.0);
        let cpu_ms = interval.after.cpu_since(interval.before, role) * 1000.0;
        (cpu_ms - quiet * interval.seconds()).max(0.0)
    }

    pub(crate) fn set_spread(&mut self, name: &str, spread: Spread) {
        self.set(&format!("{name}.p50_ms"), spread.p50_ms);
        self.set(&format!("{name}.p99_ms"), spread.p99_ms);
        self.set(&format!("{name}.last_ms"), spread.last_ms);
    }

    /// Frames' bytes of one simulated proxy, in and out, for each event.
    pub(crate) fn set_proxy_bytes(&mut self, name: &str, interval: Interval<'_>, size: Size) {
        let (mut received, mut sent) = (0, 0);
        for kind in MessageKind::ALL {
            let bytes = interval.after.messages_since(interval.before, kind).bytes;
            if kind.is_request() {
                sent += bytes;
            } else {
                received += bytes;
            }
        }
        let proxies = size.simulated_proxies.max(1) as f64;
        self.set(&format!("ingress.{name}.in_bytes"), received as f64 / proxies / interval.events);
        self.set(&format!("ingress.{name}.out_bytes"), sent as f64 / proxies / interval.events);
    }

    /// Messages of a kind that all simulated proxies have sent or received, for each event.
    pub(crate) fn set_messages(&mut self, name: &str, kind: MessageKind, interval: Interval<'_>) {
        let messages = interval.after.messages_since(interval.before, kind).messages;
        let figure = format!("registry.{name}.{}_messages", kind.figure_name());
        self.set(&figure, messages as f64 / interval.events);
    }

    /// Bytes between registries for each event.
    pub(crate) fn set_bytes_between_registries(&mut self, name: &str, interval: Interval<'_>) {
        let before = interval.before.between_registries.sent;
        let bytes = interval.after.between_registries.sent.saturating_sub(before);
        self.set(&format!("registry.{name}.between_bytes"), bytes as f64 / interval.events);
    }
}
