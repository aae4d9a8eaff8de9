//! HTTP over the emulated network, with time-outs.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection that carries one request at a time.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Opens a connection; `None` if it isn't established in time.
pub(crate) async fn connect(to: SocketAddr, within: Duration) -> Option<Connection> {
    let stream = timeout(within, violetyoke_transport::net::connect(to)).await.ok()?.ok()?;
    let (sender, connection) = handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()?;
    // The task ends with the sender, which also reports its errors.
    tokio::task::spawn_local(async move { drop(connection.await) });
    Some(sender)
}

/// Sends a request; `None` if there is no complete response before `until`.
pub(crate) async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    until: Instant,
) -> Option<Response> {
    let response = async {
        connection.ready().await.ok()?;
        let (head, body) = connection.send_request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response { status: head.status.as_u16(), headers: head.headers, body })
    };
    timeout_at(until, response).await.ok().flatten()
}

/// Sends one request on a new connection.
pub(crate) async fn send_once(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: String,
    within: Duration,
) -> Option<Response> {
    let until = Instant::now() + within;
    let mut connection = connect(to, within).await?;
    let request = Request::builder().method(method).uri(target).header("host", to.to_string());
    send(&mut connection, request.body(Full::new(Bytes::from(body))).ok()?, until).await
}
