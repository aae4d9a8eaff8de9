//! Plain calls, each on a connection of its own.

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use violetyoke_standin::http::read_http;

/// Status and body of an answer; none: there was none in time.
pub fn call(to: SocketAddr, method: &str, path: &str, fields: &str, body: &str) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let length = body.len();
    let request =
        format!("{method} {path} HTTP/1.1\r\nHost: rig\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).ok()?;
    let answer = read_http(&mut BufReader::new(stream))?;
    Some((answer.status(), serde_json::from_slice(&answer.body).unwrap_or_default()))
}
