//! The settings file that the platform hands to each process (`$VIOLETYOKE_CONFIG`). Unknown fields are ignored.

use crate::schema::{Schema, SchemaValidator};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Why no settings could be had.
#[derive(Debug)]
pub struct SettingsError;

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the settings can't be used")
    }
}

impl std::error::Error for SettingsError {}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    #[serde(rename = "self")]
    pub local: LocalNode,
    pub network: Network,
    #[serde(default)]
    pub platform: Platform,
    pub terms: Terms,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct LocalNode {
    pub node: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    #[serde(default)]
    pub counted: bool,
    /// The whole system starts for the first time, with its disks empty.
    #[serde(default)]
    pub bootstrap: bool,
    pub data_dir: Option<PathBuf>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Network {
    pub listen: Listen,
    /// The first and the last port that the system's own processes may use on every machine.
    pub internal_ports: (u16, u16),
    /// Addresses of `controller` on up to three machines.
    pub seeds: Vec<SocketAddr>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Listen {
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    pub cloud_api: Option<CloudApi>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct CloudApi {
    pub address: SocketAddr,
    /// Calls a second that it takes from all processes together.
    #[serde(default = "ten")]
    pub rate_per_s: f64,
    /// How far the list runs behind (ms).
    #[serde(default)]
    pub lag_ms: f64,
}

fn ten() -> f64 {
    10.0
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Terms {
    pub fault_tolerance: Tolerance,
    pub bounds: Bounds,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Tolerance {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

/// The figures of the rules, as far as the system uses them; times in the unit of their name.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Bounds {
    pub contact_ms: f64,
    pub ack_ms: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub config_apply_ms: f64,
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    pub retry_slack: f64,
    pub quota_window_s: f64,
    pub quota_overshoot: f64,
    pub quota_slack: f64,
    pub cold_overshoot: f64,
    pub cold_slack: f64,
    pub evacuate_ms: f64,
    #[serde(rename = "ttl_max_s")]
    pub ttl_max_s: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_ms: 5000.0,
            ack_ms: 6000.0,
            drain_ms: 2500.0,
            grace_s: 6.0,
            config_apply_ms: 2500.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            quota_window_s: 5.0,
            quota_overshoot: 0.1,
            quota_slack: 10.0,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            evacuate_ms: 5000.0,
            ttl_max_s: 5.0,
        }
    }
}

impl Settings {
    /// The variable that names the settings file.
    pub const VARIABLE: &'static str = "VIOLETYOKE_CONFIG";

    /// Reads and checks a settings file; the error names the file and the field.
    pub fn read(path: &Path) -> Result<Settings, Report<SettingsError>> {
        let text = std::fs::read_to_string(path)
            .change_context(SettingsError)
            .attach_with(|| format!("settings file {}", path.display()))?;
        Settings::parse(&text).attach_with(|| format!("settings file {}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
        let document: serde_json::Value = serde_json::from_str(text).change_context(SettingsError)?;
        SchemaValidator::new(Schema::Settings)
            .check(&document)
            .map_err(|field| Report::new(SettingsError).attach(field))?;
        serde_json::from_value(document).change_context(SettingsError)
    }

    /// The port of the system's own that a kind of process listens at on every machine.
    pub fn internal_port(&self, process: Process) -> u16 {
        let (first, last) = self.network.internal_ports;
        (first + process as u16).min(last)
    }

    /// The machines that `seeds` names.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let seeds = self.network.seeds.iter().filter_map(|seed| match seed.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        seeds.collect()
    }

    /// The region of a zone, or nothing that any region is called.
    pub fn region_of(&self, zone: &str) -> &str {
        self.network.zones.get(zone).map_or("", String::as_str)
    }
}

/// Kinds of processes, in the order of their inner ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Store = 0,
    Registry = 1,
}
