//! Requests of clients and operators, each on its own connection.

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use violetyoke_standin::http::{read_http, HttpMessage};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an operator's client repeats a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends one request and reads its response; `None` if there was none in time.
pub fn send_request(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut request = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str("host: client\r\n");
    }
    request.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(request.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_http(&mut BufReader::new(stream))
}

/// Sends an operator's command to one registry after the other, unchanged, until one of them confirms or rejects it;
/// `None` if none has within 20 s.
pub fn send_command(registries: &[SocketAddr], target: &str, body: &[u8]) -> Option<HttpMessage> {
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    for registry in registries.iter().cycle() {
        if Instant::now() > deadline {
            return None;
        }
        let headers = [("content-type", "application/json")];
        let response = send_request(*registry, "POST", target, &headers, body);
        if let Some(response) = response.filter(is_conclusive) {
            return Some(response);
        }
    }
    None
}

/// Whether a response tells the outcome of a command. After a 5xx or a 408 the outcome is unknown.
fn is_conclusive(response: &HttpMessage) -> bool {
    response.status() < 500 && response.status() != 408
}

/// The edges that a client of a zone should send its requests to; empty if the directory names none.
pub fn resolve_edges(directory: SocketAddr, region: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/api/resolve?name=rooms.example&region={region}&zone={zone}");
    let response = send_request(directory, "GET", &target, &[], b"");
    let resolved = response.filter(|response| response.status() == 200);
    let body: Value = resolved.and_then(|found| serde_json::from_slice(&found.body).ok()).unwrap_or_default();
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
}
