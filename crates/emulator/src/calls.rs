//! One HTTP call over the emulated network, within a time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};
use violetyoke_transport::net::connect;

/// A connection that carries one request at a time.
pub type Connection = SendRequest<Full<Bytes>>;

/// A whole answer.
#[derive(Debug)]
pub struct Whole {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

pub async fn open(to: SocketAddr, within: Duration) -> Option<Connection> {
    let stream = timeout(within, connect(to)).await.ok()?.ok()?;
    let (sender, connection) = handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    Some(sender)
}

/// Sends a request and waits for its whole answer until then.
pub async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Option<Whole> {
    let whole = async {
        connection.ready().await.ok()?;
        let (head, body) = connection.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Whole { status: head.status.as_u16(), headers: head.headers, body })
    };
    timeout_at(until, whole).await.ok().flatten()
}

/// One call on a connection of its own.
pub async fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: String,
    within: Duration,
) -> Option<Whole> {
    let until = Instant::now() + within;
    let mut connection = open(to, within).await?;
    let request = Request::builder().method(method).uri(target).header("host", to.to_string());
    send(&mut connection, request.body(Full::new(Bytes::from(body))).ok()?, until).await
}
