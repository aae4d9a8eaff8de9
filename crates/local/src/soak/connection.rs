//! A client's connections to proxies. They are kept until the proxy's process has ended.

use super::history::ClientResponse;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use violetyoke_standin::http::read_http;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a response: longer than the deadline of the requests.
const READ_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Maximum number of connections that stay open after their response has timed out, so that a proxy which was paused
/// finds its clients still connected.
const MAX_ABANDONED: usize = 16;

/// A request on the wire.
pub(super) struct WireRequest<'a> {
    pub(super) path: &'a str,
    pub(super) headers: &'a [(&'a str, &'a str)],
    pub(super) body: &'a str,
}

impl WireRequest<'_> {
    fn bytes(&self) -> Vec<u8> {
        let mut text = format!("POST {} HTTP/1.1\r\nhost: rooms.example\r\n", self.path);
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n{}", self.body.len(), self.body));
        text.into_bytes()
    }
}

/// The connections of one client, one to each proxy.
pub(super) struct Connections {
    fronts: Vec<SocketAddr>,
    kept: Vec<Option<BufReader<TcpStream>>>,
    abandoned: Vec<BufReader<TcpStream>>,
}

impl Connections {
    pub(super) fn new(fronts: &[SocketAddr]) -> Connections {
        let kept = fronts.iter().map(|_| None).collect();
        Connections { fronts: fronts.to_vec(), kept, abandoned: Vec::new() }
    }

    /// Sends a request to a proxy and waits for its response. Returns `None` if there is none in time.
    pub(super) fn exchange(&mut self, edge: usize, request: &WireRequest<'_>) -> Option<ClientResponse> {
        let mut connection = match self.kept[edge].take() {
            Some(kept) => kept,
            None => open(self.fronts[edge])?,
        };
        let response = match connection.get_mut().write_all(&request.bytes()) {
            Ok(()) => read_http(&mut connection),
            Err(_) => None,
        };
        let Some(response) = response else {
            self.abandon(connection);
            return None;
        };
        if response.headers.get("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
            self.kept[edge] = Some(connection);
        }
        Some(ClientResponse {
            status: response.status(),
            attempt: response.headers.get("x-attempt-id").cloned(),
            seal: response.headers.get("x-server-seal").cloned(),
            body: response.body,
        })
    }

    fn abandon(&mut self, connection: BufReader<TcpStream>) {
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.remove(0);
        }
        self.abandoned.push(connection);
    }
}

fn open(front: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(BufReader::new(stream))
}
