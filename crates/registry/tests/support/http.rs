//! Calls of operators and clients.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use violetyoke_transport::net::{connect, Stream};

/// The response to a call.
#[derive(Debug)]
pub(crate) struct Response {
    head: String,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).expect("a status")
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.into_iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Opens a connection and sends a request on it.
pub(crate) async fn send_request(to: SocketAddr, method: &str, target: &str, body: &str) -> Stream {
    let mut stream = connect(to).await.expect("a connection");
    let length = body.len();
    let head = format!("{method} {target} HTTP/1.1\r\nhost: core\r\ncontent-length: {length}\r\n");
    let request = format!("{head}connection: close\r\n\r\n{body}");
    // A server that refuses a large body does not read all of it.
    drop(stream.write_all(request.as_bytes()).await);
    stream
}

/// Makes one call.
pub(crate) async fn call(to: SocketAddr, method: &str, target: &str, body: &str) -> Response {
    let mut stream = send_request(to, method, target, body).await;
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("a response");
    let received = String::from_utf8(received).expect("text");
    let (head, body) = received.split_once("\r\n\r\n").expect("a head");
    Response { head: head.to_owned(), body: body.to_owned() }
}
