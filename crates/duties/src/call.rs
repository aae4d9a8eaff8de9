//! One HTTP call on a connection of its own: nothing is ever sent twice.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, CONTENT_LENGTH, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The largest answer that is read.
const LARGEST: usize = 16 << 20;

pub struct Answered {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A connection for one call, made before it is known whether the call may be.
pub struct Open {
    server: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

fn told(server: SocketAddr) -> impl Fn(&dyn std::fmt::Display) -> String {
    move |error| format!("{server}: {error}")
}

pub async fn open(server: SocketAddr, within: Duration) -> Result<Open, String> {
    let told = told(server);
    let work = async {
        let stream = TcpStream::connect(server).await.map_err(|error| told(&error))?;
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| told(&error))?;
        Ok(Open { server, sender, connection })
    };
    timeout(within, work).await.map_err(|error| told(&error))?
}

impl Open {
    /// Sends a request, whose `Host` and `Content-Length` are added, and reads the answer whole. Its first bytes go
    /// out before this yields.
    pub async fn send(self, mut request: Request<Bytes>, within: Duration) -> Result<Answered, String> {
        let Open { server, mut sender, connection } = self;
        let told = told(server);
        if let Ok(host) = server.to_string().parse() {
            request.headers_mut().insert(HOST, host);
        }
        let length = request.body().len();
        request.headers_mut().insert(CONTENT_LENGTH, length.into());
        let answered = async {
            let response = sender.send_request(request.map(Full::new)).await;
            let (head, body) = response.map_err(|error| told(&error))?.into_parts();
            let body = Limited::new(body, LARGEST).collect().await.map_err(|error| told(&error))?;
            drop(sender);
            Ok(Answered { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        // The sender goes with its work, and the connection ends with the sender.
        let work = async { tokio::join!(answered, connection).0 };
        timeout(within, work).await.map_err(|error| told(&error))?
    }
}

/// The same on a connection that is made for it.
pub async fn call(server: SocketAddr, request: Request<Bytes>, within: Duration) -> Result<Answered, String> {
    open(server, within).await?.send(request, within).await
}
