//! Requests to the proxy from clients and from the platform.

use super::{FRONT_ADDRESS, READINESS_ADDRESS};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout};
use violetyoke_transport::net;

#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Sends one request to the proxy and returns the response. `attempt_id` is the client's id for the request.
pub(crate) async fn send(path: &str, credential: &str, attempt_id: &str, body: &[u8]) -> Response {
    let method = method_for(path);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {attempt_id}\r\nx-deadline-ms: 1500\r\n\
         x-credential: {credential}\r\n"
    );
    call(FRONT_ADDRESS, &head, body).await.expect("a response")
}

/// Sends a request to the keyed route with these additional header fields.
pub(crate) async fn send_commit(credential: &str, attempt_id: &str, fields: &str) -> Response {
    start_commit(credential, attempt_id, fields).await.wait().await.expect("a response")
}

/// [`send_commit`] without waiting for the response.
pub(crate) async fn start_commit(credential: &str, attempt_id: &str, fields: &str) -> StartedRequest {
    let mut stream = net::connect(FRONT_ADDRESS.parse().expect("an address")).await.expect("a connection");
    let request = format!(
        "POST /commit/1 HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {attempt_id}\r\nx-deadline-ms: 1500\r\n\
         x-credential: {credential}\r\n{fields}connection: close\r\ncontent-length: 10\r\n\r\ntwo nights"
    );
    stream.write_all(request.as_bytes()).await.expect("a request");
    StartedRequest(stream)
}

/// Whether the proxy's readiness check succeeds.
pub(crate) async fn is_ready() -> bool {
    let response = get("/api/readiness").await;
    response.is_some_and(|response| response.status == 200)
}

/// Waits until the proxy is ready. Returns whether that was within `max_wait`.
pub(crate) async fn is_ready_within(max_wait: Duration) -> bool {
    let ready = timeout(max_wait, async {
        while !is_ready().await {
            sleep(Duration::from_millis(10)).await;
        }
    });
    ready.await.is_ok()
}

/// The proxy's metrics in text form.
pub(crate) async fn metrics() -> String {
    get("/api/figures").await.expect("a response").body
}

/// The value of a metric.
pub(crate) async fn metric(name: &str) -> u64 {
    let text = metrics().await;
    let line = text.lines().find(|line| line.split(' ').next() == Some(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).expect("a metric")
}

async fn get(path: &str) -> Option<Response> {
    call(READINESS_ADDRESS, &format!("GET {path} HTTP/1.1\r\nhost: edge\r\n"), b"").await
}

/// A request whose response has not been read. Dropping it disconnects the client.
pub(crate) struct StartedRequest(net::Stream);

impl StartedRequest {
    /// The response; `None` if the connection ended without one.
    pub(crate) async fn wait(self) -> Option<Response> {
        read_response(self.0).await
    }
}

/// Sends a request without a body and does not wait for the response.
pub(crate) async fn start(path: &str, attempt_id: &str) -> StartedRequest {
    start_with_body(path, attempt_id, 0, 0).await
}

/// Sends a request with only the first `sent` bytes of its body, and does not wait for the response.
pub(crate) async fn start_with_body(
    path: &str,
    attempt_id: &str,
    length: usize,
    sent: usize,
) -> StartedRequest {
    start_with_body_as(path, "key-1", attempt_id, length, sent).await
}

/// [`start_with_body`] with a credential.
pub(crate) async fn start_with_body_as(
    path: &str,
    credential: &str,
    attempt_id: &str,
    length: usize,
    sent: usize,
) -> StartedRequest {
    let mut stream = net::connect(FRONT_ADDRESS.parse().expect("an address")).await.expect("a connection");
    let head = format!(
        "{} {path} HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {attempt_id}\r\nx-deadline-ms: 1500\r\n\
         x-credential: {credential}\r\ncontent-length: {length}\r\n\r\n",
        method_for(path)
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    stream.write_all(&vec![7; sent]).await.expect("a body");
    StartedRequest(stream)
}

fn method_for(path: &str) -> &'static str {
    if path.starts_with("/book/") || path.starts_with("/commit/") {
        "POST"
    } else {
        "GET"
    }
}

/// Sends one request on a new connection. Returns `None` if the connection ended without a response.
async fn call(to: &str, head: &str, body: &[u8]) -> Option<Response> {
    let mut stream = net::connect(to.parse().expect("an address")).await.ok()?;
    let request = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(request.as_bytes()).await.ok()?;
    // Fails if the proxy responds before it has read the complete body. The response is still valid.
    drop(stream.write_all(body).await);
    read_response(stream).await
}

async fn read_response(mut stream: net::Stream) -> Option<Response> {
    let mut bytes = Vec::new();
    // Bytes that arrived before an error are parsed below.
    drop(stream.read_to_end(&mut bytes).await);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}

/// A connection for several requests, one after the other.
pub(crate) struct KeepAliveConnection {
    stream: net::Stream,
    received: Vec<u8>,
}

impl KeepAliveConnection {
    pub(crate) async fn open() -> KeepAliveConnection {
        let stream = net::connect(FRONT_ADDRESS.parse().expect("an address")).await.expect("a connection");
        KeepAliveConnection { stream, received: Vec::new() }
    }

    /// Sends a request without a body and with a deadline of five seconds.
    pub(crate) async fn send(&mut self, path: &str, attempt_id: &str) {
        self.send_with_deadline(path, attempt_id, 5_000).await;
    }

    pub(crate) async fn send_with_deadline(&mut self, path: &str, attempt_id: &str, deadline_ms: u64) {
        self.write(path, attempt_id, deadline_ms, b"").await;
    }

    pub(crate) async fn send_body(&mut self, path: &str, attempt_id: &str, body: &[u8]) {
        self.write(path, attempt_id, 5_000, body).await;
    }

    async fn write(&mut self, path: &str, attempt_id: &str, deadline_ms: u64, body: &[u8]) {
        let head = format!(
            "{} {path} HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {attempt_id}\r\n\
             x-deadline-ms: {deadline_ms}\r\nx-credential: key-1\r\ncontent-length: {}\r\n\r\n",
            method_for(path),
            body.len()
        );
        // Fails if the proxy has closed the connection. The next read detects that.
        drop(self.stream.write_all(head.as_bytes()).await);
        drop(self.stream.write_all(body).await);
    }

    /// Reads the next response completely and returns its status; `None` if the connection has ended.
    pub(crate) async fn read_status(&mut self) -> Option<u16> {
        loop {
            let text = String::from_utf8_lossy(&self.received).into_owned();
            if let Some((head, _)) = text.split_once("\r\n\r\n") {
                let lower = head.to_ascii_lowercase();
                let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
                let end = head.len() + 4 + length.and_then(|length| length.parse().ok()).unwrap_or(0);
                if self.received.len() >= end {
                    self.received.drain(..end);
                    return head.split(' ').nth(1)?.parse().ok();
                }
            }
            if self.stream.read_buf(&mut self.received).await.ok()? == 0 {
                return None;
            }
        }
    }
}
