//! Calls of clients and operators, each on a connection of its own, as they stand on the wire.

use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use violetyoke_standin::http::{read_http, Http};

/// Sends one request and reads one answer; none: there was none in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Option<Http> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut request = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str("host: screen\r\n");
    }
    request.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    stream.write_all(request.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_http(&mut BufReader::new(stream))
}

/// An operator's order: to one ingress after the other, unchanged, until one answers clearly.
pub fn order(controls: &[SocketAddr], target: &str, body: &[u8]) -> Option<Http> {
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    for control in controls.iter().cycle() {
        if std::time::Instant::now() > deadline {
            return None;
        }
        let answer = call(*control, "POST", target, &[("content-type", "application/json")], body);
        if let Some(answer) = answer.filter(|answer| answer.status() < 500 && answer.status() != 408) {
            return Some(answer);
        }
    }
    None
}

/// Where a client of a zone is to go.
pub fn resolve(directory: SocketAddr, region: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/api/resolve?name=rooms.example&region={region}&zone={zone}");
    let answer = call(directory, "GET", &target, &[], b"").filter(|answer| answer.status() == 200);
    let body: Value = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok()).unwrap_or_default();
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
}
