//! The table of the HTTP calls of operators and clients to the system, and of the system to the platform; and the headers of
//! requests and responses.

/// The receiver of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A registry, on the address for operators (`network.listen.control`).
    Controller,
    /// A registry, on the address on which clients look up proxies (`network.listen.directory`).
    Locator,
    /// A proxy, on the address for the platform and for monitoring (`network.listen.ready`).
    Edge,
    /// The platform's interface.
    Platform,
}

/// One call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Replaces the configuration.
    ConfigurationReplace,
    /// Reads the configuration in force.
    ConfigurationRead,
    /// Starts the evacuation of a zone.
    EvacuationBegin,
    /// Ends the evacuation of a zone.
    EvacuationFinish,
    /// Looks up the addresses of proxies.
    Resolve,
    /// Checks whether a proxy accepts requests.
    Readiness,
    /// Reads a proxy's metrics.
    Figures,
    /// Reads the state of the backends at a proxy.
    Backends,
    /// Reads a page of the platform's list of backends.
    Instances,
}

/// An entry of the table of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallEntry {
    /// The receiver.
    pub target: CallTarget,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, without a query.
    pub path: &'static str,
    /// The value of `call` in the query; only for calls of operators.
    pub name: Option<&'static str>,
}

impl CallEntry {
    const fn rpc(name: &'static str) -> CallEntry {
        CallEntry { target: CallTarget::Controller, method: "POST", path: "/api/rpc", name: Some(name) }
    }

    const fn get(target: CallTarget, path: &'static str) -> CallEntry {
        CallEntry { target, method: "GET", path, name: None }
    }
}

impl Call {
    /// All calls.
    pub const ALL: [Call; 9] = [
        Call::ConfigurationReplace,
        Call::ConfigurationRead,
        Call::EvacuationBegin,
        Call::EvacuationFinish,
        Call::Resolve,
        Call::Readiness,
        Call::Figures,
        Call::Backends,
        Call::Instances,
    ];

    /// The entry of the call.
    #[must_use]
    pub const fn entry(self) -> CallEntry {
        match self {
            Call::ConfigurationReplace => CallEntry::rpc("configuration.replace"),
            Call::ConfigurationRead => CallEntry::rpc("configuration.read"),
            Call::EvacuationBegin => CallEntry::rpc("evacuation.begin"),
            Call::EvacuationFinish => CallEntry::rpc("evacuation.finish"),
            Call::Resolve => CallEntry::get(CallTarget::Locator, "/api/resolve"),
            Call::Readiness => CallEntry::get(CallTarget::Edge, "/api/readiness"),
            Call::Figures => CallEntry::get(CallTarget::Edge, "/api/figures"),
            Call::Backends => CallEntry::get(CallTarget::Edge, "/api/backends"),
            Call::Instances => CallEntry::get(CallTarget::Platform, "/instances"),
        }
    }

    /// Finds the call of a request that was received by `target`. `query` is the part of the URI after the question mark.
    #[must_use]
    pub fn find(target: CallTarget, method: &str, path: &str, query: Option<&str>) -> Option<Call> {
        let name = query_parameter(query, "call");
        Call::ALL.into_iter().find(|call| {
            let entry = call.entry();
            entry.target == target
                && entry.method == method
                && entry.path == path
                && (entry.name.is_none() || entry.name == name)
        })
    }
}

/// The first value of a parameter in a query. It is not decoded, as names of zones and calls need no encoding.
#[must_use]
pub fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Header names of clients' requests and of requests to backends, in lower case.
pub mod header {
    /// The id that the client assigns to a request. A backend repeats it in the response.
    pub const ATTEMPT: &str = "x-attempt-id";
    /// The time for which the sender waits for a response (ms).
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The seal of the backend on a successful response.
    pub const SEAL: &str = "x-server-seal";
    /// The name of the tenant, set by the proxy.
    pub const TENANT: &str = "x-tenant";
    /// The id of the backend that the request is sent to. Another instance on the same address replies with status 421.
    pub const TARGET: &str = "x-target-instance";
    /// A backend's load: `running, waiting, slots` (numbers of requests).
    pub const LOAD: &str = "x-server-load";
    /// The backend has not executed the request and never will.
    pub const NOT_EXECUTED: &str = "x-not-executed";
    /// The client's key of an operation. Requests of the same tenant with the same key are one operation.
    pub const OPERATION_KEY: &str = "x-operation-key";
    /// A tenant's API key; not forwarded.
    pub const CREDENTIAL: &str = "x-credential";
}
