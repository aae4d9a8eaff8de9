//! The configuration of an ingress with a single pool: the file that `EDGE_CONFIG` names, overridden by
//! `EDGE_*` variables.

use super::discovery::TargetList;
use serde::Deserialize;
use serde_json::Value;
use std::env;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use violetyoke_decision::interface::Settings;
use violetyoke_settings::missing_key;

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
    /// Address of the console for operators.
    pub console: Option<SocketAddr>,
    /// File descriptor of a listening socket that the platform passes to the process.
    pub passed: Option<i32>,
    /// The settings as written in the file. A reloaded file must have all keys of them.
    pub written: Value,
}

/// Names in the settings. The decision module has only their indices.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
}

#[derive(Deserialize)]
struct ConfigFile {
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
    console: Option<SocketAddr>,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// The part of the configuration that a reload can change.
pub struct Reloaded {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub settings: Settings,
    pub names: Names,
    pub written: Value,
}

/// Reads the file again after SIGHUP. The file takes precedence over the variables, which can't change while
/// the process runs. `current`: the settings in force, as written in the file.
pub fn reload(current: &Value) -> Result<Reloaded, String> {
    let (path, file) = read()?;
    let discovery = file.discovery.ok_or_else(|| file_error(&path, "discovery is missing"))?;
    if let Some(key) = missing_key(current, &file.settings) {
        return Err(file_error(&path, format!("settings: {key} is missing")));
    }
    let (settings, names) = settings(&path, &file.settings)?;
    Ok(Reloaded { discovery, counter: file.counter, settings, names, written: file.settings })
}

fn read() -> Result<(String, ConfigFile), String> {
    let path = env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_string())?;
    let text = std::fs::read(&path).map_err(|error| format!("EDGE_CONFIG {path}: {error}"))?;
    let file = serde_json::from_slice(&text).map_err(|error| file_error(&path, error))?;
    Ok((path, file))
}

/// Parses the settings and the names in them. Names of classes and of plans must be unique.
fn settings(path: &str, written: &Value) -> Result<(Settings, Names), String> {
    let text = serde_json::to_vec(written).map_err(|error| file_error(path, error))?;
    let settings = violetyoke_settings::parse_settings(&text).map_err(|error| file_error(path, error))?;
    let names = Names {
        classes: names(&written["categories"]),
        plans: names(&written["tariffs"]),
        zones: names(&written["areas"]),
        kinds: names(&written["kinds"]),
        report_fields: names(&written["report"]["fields"]),
    };
    for (key, names) in [("categories", &names.classes), ("tariffs", &names.plans)] {
        if let Some((i, _)) = names.iter().enumerate().find(|(i, name)| names[..*i].contains(name)) {
            return Err(file_error(path, format!("settings: {key}[{i}].name is another's")));
        }
    }
    Ok((settings, names))
}

/// Reads the configuration. The error message names the faulty key or variable.
pub fn load() -> Result<Config, String> {
    let (path, file) = read()?;
    fn variable<T: FromStr<Err: Display>>(name: &str) -> Result<Option<T>, String> {
        match env::var(name) {
            Ok(text) => text.parse().map(Some).map_err(|error| format!("{name} {text}: {error}")),
            Err(_) => Ok(None),
        }
    }
    let listen = variable("EDGE_LISTEN")?.or(file.listen);
    let discovery = variable("EDGE_DISCOVERY")?.or(file.discovery);
    let (settings, names) = settings(&path, &file.settings)?;
    Ok(Config {
        name: env::var("EDGE_NAME").unwrap_or(file.name),
        listen: listen.ok_or_else(|| file_error(&path, "listen is missing"))?,
        discovery: discovery.ok_or_else(|| file_error(&path, "discovery is missing"))?,
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|error| file_error(&path, format!("seed: {error}")))?,
        sockets: file.limits.sockets.unwrap_or(1024),
        peer_listen: file.peer_listen,
        peers: file.peers,
        peers_all: file.peers_all,
        counter: file.counter,
        known: file.known,
        console: variable("EDGE_CONSOLE")?.or(file.console),
        passed: variable("EDGE_PASSED_SOCKET")?,
        written: file.settings,
        settings,
        names,
    })
}

fn file_error(path: &str, error: impl Display) -> String {
    format!("EDGE_CONFIG {path}: {error}")
}

/// The names in a list of names, or of objects that have one.
fn names(list: &Value) -> Vec<String> {
    let name = |value: &Value| value.as_str().or(value["name"].as_str()).unwrap_or_default().to_string();
    list.as_array().into_iter().flatten().map(name).collect()
}
