//! Finds a request's route and tenant in a routing table.

use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use violetyoke_api::calls::header;
use violetyoke_api::configuration::Tenant;
use violetyoke_api::routing::{Caller, RouteEntry, RoutingTable};

/// The route of a request, and its tenant unless the request is anonymous.
pub(super) struct Match<'a> {
    pub(super) route: &'a RouteEntry,
    pub(super) tenant: Option<&'a Tenant>,
}

/// Why a routing table does not admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Denial {
    /// No route matches the host and a prefix of the path.
    #[error("no such route")]
    NoRoute,
    /// The route is not public, and the credential is missing, duplicate or not that of a tenant.
    #[error("no such key")]
    UnknownCredential,
}

/// Finds the route and the tenant of a request.
pub(super) fn lookup<'a>(table: &'a RoutingTable, parts: &Parts) -> Result<Match<'a>, Denial> {
    let authority = parts.uri.authority().map(hyper::http::uri::Authority::as_str);
    let host = header_text(&parts.headers, "host").or(authority).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).ok_or(Denial::NoRoute)?;
    match table.caller(route, single_credential(&parts.headers)) {
        Caller::Unknown => Err(Denial::UnknownCredential),
        Caller::Anonymous => Ok(Match { route, tenant: None }),
        Caller::Tenant(index) => Ok(Match { route, tenant: table.tenants.get(index) }),
    }
}

/// The credential of a request; `None` if the request has several.
fn single_credential(headers: &HeaderMap) -> Option<&str> {
    let mut credentials = headers.get_all(header::CREDENTIAL).iter();
    let first = credentials.next()?.to_str().ok()?;
    credentials.next().is_none().then_some(first)
}

/// The first value of a header field; `None` if it is not text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
