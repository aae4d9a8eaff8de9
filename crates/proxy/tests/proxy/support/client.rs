//! Calls to the proxy, as a client and as the platform make them.

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

/// Sends one request to the proxy and returns the response. `attempt_id` is the client's id of the request.
pub(crate) async fn send(path: &str, credential: &str, attempt_id: &str, body: &[u8]) -> Response {
    let method = if path.starts_with("/book/") { "POST" } else { "GET" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {attempt_id}\r\nx-deadline-ms: 1500\r\n\
         x-credential: {credential}\r\n"
    );
    call(FRONT_ADDRESS, &head, body).await.expect("a response")
}

/// Whether the proxy tells the platform that it is ready.
pub(crate) async fn is_ready() -> bool {
    let response = get("/api/readiness").await;
    response.is_some_and(|response| response.status == 200)
}

/// Waits until the proxy is ready. Returns whether it was, within that time.
pub(crate) async fn is_ready_within(within: Duration) -> bool {
    let ready = timeout(within, async {
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

async fn get(path: &str) -> Option<Response> {
    call(READINESS_ADDRESS, &format!("GET {path} HTTP/1.1\r\nhost: edge\r\n"), b"").await
}

/// One request on a connection of its own; `None` if that ended without a response.
async fn call(to: &str, head: &str, body: &[u8]) -> Option<Response> {
    let mut stream = net::connect(to.parse().expect("an address")).await.ok()?;
    let request = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(request.as_bytes()).await.ok()?;
    // Fails where the proxy responds before it has read everything: the response is what counts.
    drop(stream.write_all(body).await);
    let mut bytes = Vec::new();
    // What came before an error is looked at below.
    drop(stream.read_to_end(&mut bytes).await);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}
