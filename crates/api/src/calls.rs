//! The one table of calls: what operators and clients call here, and what the system calls at backends and at the
//! platform.

/// Who takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTarget {
    Controller,
    Locator,
    Edge,
    Backend,
    Platform,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    ConfigurationReplace,
    ConfigurationRead,
    EvacuationBegin,
    EvacuationFinish,
    Resolve,
    Readiness,
    Figures,
    Backends,
    Instances,
}

/// A call's line of the table.
#[derive(Clone, Copy, Debug)]
pub struct CallEntry {
    pub call: Call,
    pub taker: CallTarget,
    pub method: &'static str,
    pub path: &'static str,
    /// The value of `call` in the query, for calls of operators.
    pub name: Option<&'static str>,
}

pub const TABLE: &[CallEntry] = &[
    line(
        Call::ConfigurationReplace,
        CallTarget::Controller,
        "POST",
        "/api/rpc",
        Some("configuration.replace"),
    ),
    line(Call::ConfigurationRead, CallTarget::Controller, "POST", "/api/rpc", Some("configuration.read")),
    line(Call::EvacuationBegin, CallTarget::Controller, "POST", "/api/rpc", Some("evacuation.begin")),
    line(Call::EvacuationFinish, CallTarget::Controller, "POST", "/api/rpc", Some("evacuation.finish")),
    line(Call::Resolve, CallTarget::Locator, "GET", "/api/resolve", None),
    line(Call::Readiness, CallTarget::Edge, "GET", "/api/readiness", None),
    line(Call::Figures, CallTarget::Edge, "GET", "/api/figures", None),
    line(Call::Backends, CallTarget::Edge, "GET", "/api/backends", None),
    line(Call::Instances, CallTarget::Platform, "GET", "/instances", None),
];

const fn line(
    call: Call,
    taker: CallTarget,
    method: &'static str,
    path: &'static str,
    name: Option<&'static str>,
) -> CallEntry {
    CallEntry { call, taker, method, path, name }
}

/// Headers of the calls at backends, and of clients' requests.
pub mod header {
    pub const ATTEMPT: &str = "x-attempt-id";
    pub const DEADLINE: &str = "x-deadline-ms";
    pub const SEAL: &str = "x-server-seal";
    pub const TENANT: &str = "x-tenant";
    pub const TARGET: &str = "x-target-instance";
    pub const LOAD: &str = "x-server-load";
    pub const NOT_EXECUTED: &str = "x-not-executed";
    pub const CREDENTIAL: &str = "x-credential";
}

/// A value of a query, as it stands (names of zones and calls need no decoding).
pub fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Which call a request to `taker` is.
pub fn find(taker: CallTarget, method: &str, path: &str, text: Option<&str>) -> Option<Call> {
    let name = query(text, "call");
    let meant = |line: &&CallEntry| {
        line.taker == taker
            && line.method == method
            && line.path == path
            && (line.name.is_none() || line.name == name)
    };
    TABLE.iter().find(meant).map(|line| line.call)
}

/// The path with its query of one of the calls.
pub fn path_of(call: Call) -> &'static str {
    TABLE.iter().find(|line| line.call == call).map_or("/", |line| line.path)
}
