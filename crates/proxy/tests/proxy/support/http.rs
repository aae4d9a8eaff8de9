//! HTTP messages for scripted backends.

use tokio::io::AsyncReadExt;
use violetyoke_transport::net::Stream;

/// A request as a backend received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedRequest {
    /// Number of the backend's connection on which the request arrived, starting at 1.
    pub(crate) connection: usize,
    pub(crate) attempt_id: String,
    /// `X-Deadline-Ms`.
    pub(crate) deadline_ms: u64,
}

/// Reads the head of a request, possibly with a part of the body. Returns `None` if the connection has ended.
pub(super) async fn read_head(stream: &mut Stream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            return Some(parse_request(head));
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn header_field(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name));
    line.and_then(|line| line.split_once(": ")).map(|(_, value)| value.to_owned())
}

/// Parses the head of a request.
fn parse_request(head: &str) -> ReceivedRequest {
    let deadline_ms = header_field(head, "x-deadline-ms").and_then(|text| text.parse().ok());
    ReceivedRequest {
        connection: 0,
        attempt_id: header_field(head, "x-attempt-id").unwrap_or_default(),
        deadline_ms: deadline_ms.unwrap_or_default(),
    }
}

/// Reads one request with its body. Returns `None` if the connection has ended.
pub(super) async fn read_request(stream: &mut Stream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let body_bytes =
                header_field(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let request_bytes = head.len() + 4 + body_bytes;
            if buffer.len() >= request_bytes {
                let request = parse_request(head);
                buffer.drain(..request_bytes);
                return Some(request);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// A complete successful response to the request with this attempt id.
pub(crate) fn ok_response(attempt_id: &str, body: &str) -> String {
    raw_response(200, &format!("x-attempt-id: {attempt_id}\r\nx-server-seal: seal\r\n"), body)
}

/// A response with this status, these headers and this body.
pub(crate) fn raw_response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status:03} Status\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
