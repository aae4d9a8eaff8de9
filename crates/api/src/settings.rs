//! The settings file that the platform provides to each process (`$VIOLETYOKE_CONFIG`). Unknown fields are ignored.

use crate::quantity::{Milliseconds, Seconds};
use crate::schema::{Schema, SchemaValidator};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// The settings can't be read or are invalid. The report contains the file, the field and the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the settings can't be used")]
pub struct SettingsError;

/// The settings of one process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// The machine that the process runs on (`self` in the file).
    #[serde(rename = "self")]
    pub local: LocalNode,
    /// Addresses and ports.
    pub network: Network,
    /// The interfaces of the platform.
    #[serde(default)]
    pub platform: Platform,
    /// The operators' requirements on the system.
    pub terms: Terms,
}

/// The machine that a process runs on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct LocalNode {
    /// The name of the machine, which is unique in the system.
    pub node: String,
    /// The address of the machine.
    pub ip: Ipv4Addr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// Whether it is one of the machines of which [`Tolerance::machines`] may be lost.
    #[serde(default)]
    pub counted: bool,
    /// Whether this is the first start of the system, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder in which the process stores data; absent if the machine has no disk.
    pub data_dir: Option<PathBuf>,
}

/// Addresses and ports.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Network {
    /// The addresses on which this process listens for clients, operators and the platform.
    pub listen: Listen,
    /// The first and the last port that the processes of the system may use between each other, on every machine.
    pub internal_ports: (u16, u16),
    /// The addresses of `controller` on up to three machines.
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

/// The addresses on which a process listens. Each kind of process has its own addresses.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Listen {
    /// Of a proxy, for requests of clients.
    pub front: Option<SocketAddr>,
    /// Of a proxy, for readiness checks of the platform and for metrics.
    pub ready: Option<SocketAddr>,
    /// Of a registry, for calls of operators.
    pub control: Option<SocketAddr>,
    /// Of a registry, for clients that look up the addresses of proxies.
    pub directory: Option<SocketAddr>,
}

/// The interfaces of the platform.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// The interface that lists backends, if there is one.
    pub cloud_api: Option<CloudApi>,
}

/// The platform's interface that lists backends.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct CloudApi {
    /// The address of the interface.
    pub address: SocketAddr,
    /// The maximum rate of calls from all processes together (per second).
    #[serde(default = "ten")]
    pub rate_per_s: f64,
    /// How far the list lags behind the real state (ms).
    #[serde(default)]
    pub lag_ms: Milliseconds,
}

fn ten() -> f64 {
    10.0
}

/// The operators' requirements on the system.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Terms {
    /// The losses that the system must tolerate.
    pub fault_tolerance: Tolerance,
    /// The numbers in the requirements.
    pub bounds: Bounds,
}

/// The losses that the system must tolerate: this number of machines, or of zones, or of regions at once.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Tolerance {
    /// The number of machines that are [`LocalNode::counted`].
    pub machines: u32,
    /// The number of complete zones.
    pub zones: u32,
    /// The number of complete regions.
    pub regions: u32,
}

/// The numbers in the operators' rules (RULES.md) that the system and its emulator use. The names of times contain their
/// unit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    /// The time after a fault from which reconnected machines count as in contact with the others.
    pub contact_ms: Milliseconds,
    /// The maximum time until a command is acknowledged.
    pub ack_ms: Milliseconds,
    /// The time for which a draining backend still serves requests after the list marks it as draining.
    pub drain_ms: Milliseconds,
    /// The time from SIGTERM to SIGKILL of a process.
    pub grace_s: Seconds,
    /// The maximum time from the acknowledgement of a configuration until it is in force everywhere.
    pub config_apply_ms: Milliseconds,
    /// The maximum ratio of retries to requests of a service within [`Self::retry_window_s`].
    pub retry_ratio: f64,
    /// The window of the retry budget.
    pub retry_window_s: Seconds,
    /// The number of retries in a window that are allowed in addition to the ratio.
    pub retry_slack: f64,
    /// The time after an operation is first sent in which no other request with its key may be executed.
    pub dedup_window_s: Seconds,
    /// The window in which a tenant's executed requests are counted.
    pub quota_window_s: Seconds,
    /// The fraction by which they may exceed the tenant's limit.
    pub quota_overshoot: f64,
    /// The number of requests by which they may exceed the limit in addition.
    pub quota_slack: f64,
    /// The multiple of `cold-rate-s` that a backend may get per second during its slow start.
    pub cold_overshoot: f64,
    /// The number of requests that it may get in addition.
    pub cold_slack: f64,
    /// The time after the acknowledgement from which an evacuated zone gets no requests.
    pub evacuate_ms: Milliseconds,
    /// The maximum time for which clients cache the addresses of proxies.
    #[serde(rename = "ttl_max_s")]
    pub ttl_max_s: Seconds,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_ms: Milliseconds::new(5000.0),
            ack_ms: Milliseconds::new(6000.0),
            drain_ms: Milliseconds::new(2500.0),
            grace_s: Seconds::new(6.0),
            config_apply_ms: Milliseconds::new(2500.0),
            retry_ratio: 0.1,
            retry_window_s: Seconds::new(10.0),
            retry_slack: 10.0,
            dedup_window_s: Seconds::new(60.0),
            quota_window_s: Seconds::new(5.0),
            quota_overshoot: 0.1,
            quota_slack: 10.0,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            evacuate_ms: Milliseconds::new(5000.0),
            ttl_max_s: Seconds::new(5.0),
        }
    }
}

impl Settings {
    /// The variable that names the settings file.
    pub const VARIABLE: &'static str = "VIOLETYOKE_CONFIG";

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file can't be read or is invalid. The report names the file and the field.
    pub fn read(path: &Path) -> Result<Settings, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError)
            .attach_with(|| format!("settings file {}", path.display()))?;
        Settings::parse(&text).attach_with(|| format!("settings file {}", path.display()))
    }

    /// Parses and validates the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// If the text is not JSON or a field is invalid. The report names the field.
    pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
        let document: serde_json::Value = serde_json::from_str(text).change_context(SettingsError)?;
        let validator = SchemaValidator::new(Schema::Settings).change_context(SettingsError)?;
        validator.check(&document).change_context(SettingsError)?;
        serde_json::from_value(document).change_context(SettingsError)
    }

    /// The port on which a kind of process listens for other processes of the system, on every machine.
    #[must_use]
    pub fn internal_port(&self, process: Process) -> u16 {
        let (first, last) = self.network.internal_ports;
        first.saturating_add(process as u16).min(last)
    }

    /// The addresses of the machines in `network.seeds`.
    #[must_use]
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let seeds = self.network.seeds.iter().filter_map(|seed| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        seeds.collect()
    }

    /// The region of a zone; an empty name, which no region has, if the zone is unknown.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        self.network.zones.get(zone).map_or("", String::as_str)
    }
}

/// The kinds of processes to which other processes of the system connect. The value is the offset of the port from the first
/// internal port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// A store.
    Store = 0,
    /// A registry.
    Registry = 1,
}
