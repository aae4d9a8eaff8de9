//! What the ingress is told at its start: `EDGE_CONFIG`'s file, and the `EDGE_*` variables over it.

use super::discovery::TargetList;
use serde::Deserialize;
use serde_json::Value;
use std::env;
use std::fmt::Display;
use std::net::SocketAddr;
use violetyoke_decision::interface::Settings;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
    pub known: Option<TargetList>,
    pub settings: Settings,
    pub names: Names,
}

/// Names in the settings that the module knows by their places only.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    counter: Option<SocketAddr>,
    known: Option<TargetList>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// Addresses that a replaced configuration may change while the program runs.
pub struct Addresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
}

/// Reads the file again, after SIGHUP: what stands in it is newer than the variables, which can't change.
pub fn reload() -> Result<Addresses, String> {
    let (path, file) = read()?;
    let discovery = file.discovery.ok_or_else(|| in_file(&path, "discovery is missing"))?;
    Ok(Addresses { discovery, counter: file.counter })
}

fn read() -> Result<(String, File), String> {
    let path = env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|error| format!("EDGE_CONFIG {path}: {error}"))?;
    let file = serde_json::from_slice(&text).map_err(|error| in_file(&path, error))?;
    Ok((path, file))
}

/// Reads the configuration; an error says in plain words what is wrong.
pub fn load() -> Result<Config, String> {
    let (path, file) = read()?;
    let address = |variable: &str| match env::var(variable) {
        Ok(text) => text.parse().map(Some).map_err(|error| format!("{variable} {text}: {error}")),
        Err(_) => Ok(None),
    };
    let listen = address("EDGE_LISTEN")?.or(file.listen);
    let discovery = address("EDGE_DISCOVERY")?.or(file.discovery);
    let settings = serde_json::to_vec(&file.settings).map_err(|error| in_file(&path, error))?;
    Ok(Config {
        name: env::var("EDGE_NAME").unwrap_or(file.name),
        listen: listen.ok_or_else(|| in_file(&path, "listen is missing"))?,
        discovery: discovery.ok_or_else(|| in_file(&path, "discovery is missing"))?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|error| in_file(&path, format!("seed: {error}")))?,
        sockets: file.limits.sockets.unwrap_or(1024),
        peer_listen: file.peer_listen,
        peers: file.peers,
        peers_all: file.peers_all,
        counter: file.counter,
        known: file.known,
        settings: violetyoke_settings::settings(&settings).map_err(|error| in_file(&path, error))?,
        names: Names {
            classes: names(&file.settings["categories"]),
            plans: names(&file.settings["tariffs"]),
            zones: names(&file.settings["areas"]),
            kinds: names(&file.settings["kinds"]),
            report_fields: names(&file.settings["report"]["fields"]),
        },
    })
}

fn in_file(path: &str, error: impl Display) -> String {
    format!("EDGE_CONFIG {path}: {error}")
}

/// The names in a list of names, or of objects that have one.
fn names(list: &Value) -> Vec<String> {
    let name = |value: &Value| value.as_str().or(value["name"].as_str()).unwrap_or_default().to_string();
    list.as_array().into_iter().flatten().map(name).collect()
}
