//! HTTP/1.1 requests, each on its own connection.

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use violetyoke_standin::http::read_http;

/// Time limit for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    /// The method.
    pub(crate) method: &'a str,
    /// Path and query.
    pub(crate) path: &'a str,
    /// Header fields besides Host and Content-Length, each ended by CRLF.
    pub(crate) fields: &'a str,
    /// The body.
    pub(crate) body: &'a str,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body; `Null` if it is not JSON.
    pub body: Value,
}

/// Sends the request. Returns `None` if no complete response arrived in time.
pub(crate) fn send(to: SocketAddr, request: Request<'_>) -> Option<Response> {
    let Request { method, path, fields, body } = request;
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let length = body.len();
    let text =
        format!("{method} {path} HTTP/1.1\r\nHost: rig\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let response = read_http(&mut BufReader::new(stream))?;
    let body = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    Some(Response { status: response.status(), body })
}
