//! The head of a request as it is sent to a backend.

use super::lookup::header_text;
use crate::request_body::RequestBody;
use bytes::{Bytes, BytesMut};
use hyper::http::request::Parts;
use hyper::Method;
use violetyoke_api::calls::header;

/// Fields that are not forwarded: connection-specific ones (RFC 9110, section 7.6.1), those that the proxy
/// sets itself, and those that are only meant for the proxy.
const NOT_FORWARDED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    header::CREDENTIAL,
    header::TENANT,
    header::TARGET,
    header::DEADLINE,
];

/// The head without the fields that each attempt adds: the client's method, target and fields, the framing of
/// the forwarded body, and the tenant.
pub(super) fn upstream_head(parts: &Parts, tenant: Option<&str>, body: &RequestBody) -> Bytes {
    let mut out = BytesMut::with_capacity(512);
    write_request_line(&mut out, parts);
    write_forwarded_fields(&mut out, parts);
    match body.length() {
        None => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Some(0) if matches!(parts.method, Method::GET | Method::HEAD) => {}
        Some(length) => out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes()),
    }
    if let Some(tenant) = tenant {
        out.extend_from_slice(format!("{}: {tenant}\r\n", header::TENANT).as_bytes());
    }
    out.freeze()
}

fn write_request_line(out: &mut BytesMut, parts: &Parts) {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    for part in [parts.method.as_str(), " ", target, " HTTP/1.1\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

fn write_forwarded_fields(out: &mut BytesMut, parts: &Parts) {
    let connection = header_text(&parts.headers, "connection").unwrap_or_default().to_ascii_lowercase();
    let is_connection_option = |name: &str| connection.split(',').any(|option| option.trim() == name);
    for (name, value) in &parts.headers {
        if NOT_FORWARDED.contains(&name.as_str()) || is_connection_option(name.as_str()) {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
}
