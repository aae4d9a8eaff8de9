//! The configurations that the operator sends: valid ones with each change of the day, and invalid ones.

use crate::records::Command;
use crate::simulation::Simulation;
use crate::site::key;
use serde_json::{json, Value};

/// The index of the service that searches go to after a change that moves them.
const MOVED_SEARCH_SERVICE: usize = 2;
/// Each version that is a multiple of this has limits beyond the range of any clock and any memory, which are valid.
const HUGE_LIMITS_EVERY: u64 = 3;
const HUGE_LIMIT: f64 = 1e300;

/// The same configuration with a limit that no registry may accept.
fn with_limit_below_zero(text: &str) -> String {
    let mut document: Value = serde_json::from_str(text).unwrap_or_default();
    document["limits"] = json!({"header-timeout-ms": -1});
    document.to_string()
}

impl Simulation {
    /// Sends the next version of the configuration, with all changes so far and `newcomers`; returns its index in the
    /// records.
    pub(crate) async fn send_configuration(&self, newcomers: &[String]) -> usize {
        self.version.set(self.version.get() + 1 + self.random() % 4);
        self.send_command(self.configuration(self.version.get(), newcomers)).await
    }

    /// The configuration of a version, with all changes so far and `newcomers`.
    fn configuration(&self, version: u64, newcomers: &[String]) -> Command {
        let (joined, revoked) =
            (self.workload.joined.borrow().clone(), self.workload.revoked.borrow().clone());
        let joined: Vec<String> = joined.into_iter().chain(newcomers.iter().cloned()).collect();
        let mut site = self.site.clone();
        if self.moves_searches.get() {
            site.request_kinds[0].service = MOVED_SEARCH_SERVICE;
        }
        let mut document = site.configuration(version, &joined, &revoked, self.extra_routes.get());
        if version.is_multiple_of(HUGE_LIMITS_EVERY) {
            document["limits"] = json!({"max-header-bytes": HUGE_LIMIT, "max-body-bytes": HUGE_LIMIT,
                                        "header-timeout-ms": HUGE_LIMIT, "idle-timeout-ms": HUGE_LIMIT});
        }
        let text = document.to_string();
        let initial = (0..site.tenants).filter(|number| !revoked.contains(number)).map(key);
        let keys = initial.chain(joined.iter().map(|name| format!("key-{name}"))).collect();
        let services = site.request_kinds.iter().map(|kind| kind.service).collect();
        Command::Configuration { version, text, keys, services, is_valid: true }
    }

    /// Adds a tenant, which sends requests once its configuration is acknowledged.
    pub(crate) async fn add_tenant(&self, name: String) {
        let index = self.send_configuration(std::slice::from_ref(&name)).await;
        if self.recorder.with(|records| records.commands[index].acknowledged_at.is_some()) {
            self.workload.joined.borrow_mut().push(name);
        }
    }

    /// Sends two versions by two operators at the same time. The higher version prevails, whichever arrives first.
    pub(crate) async fn send_two_versions(&self) {
        let (lower, higher) = (self.version.get() + 1, self.version.get() + 2);
        self.version.set(higher);
        let (low, high) = (self.configuration(lower, &[]), self.configuration(higher, &[]));
        let (one, other) = (self.random(), self.random());
        tokio::join!(self.operator.send_command(low, one), self.operator.send_command(high, other));
    }

    /// Sends a configuration with an unknown service or with a limit below zero, which every registry has to reject.
    pub(crate) async fn send_invalid(&self) {
        let version = self.version.get() + 50;
        let Command::Configuration { text, keys, services, .. } = self.configuration(version, &[]) else {
            return;
        };
        let text = if version.is_multiple_of(2) {
            text.replace("[\"ledger\",", "[\"nobody\",")
        } else {
            with_limit_below_zero(&text)
        };
        self.send_command(Command::Configuration { version, text, keys, services, is_valid: false }).await;
    }
}
