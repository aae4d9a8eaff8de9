//! HTTP calls, each on its own connection, so that no request is sent twice.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call has no response. Only [`HttpError::Connect`] means that the server has certainly not received the
/// request.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection could not be made.
    #[error("{server}: {source}")]
    Connect {
        /// The server's address.
        server: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The exchange failed.
    #[error("{server}: {source}")]
    Exchange {
        /// The server's address.
        server: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The response's body could not be read, or was too large.
    #[error("{server}: {source}")]
    ResponseBody {
        /// The server's address.
        server: SocketAddr,
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The connection was not made, or the response not completed, within the time limit.
    #[error("{server}: timed out after {limit:?}")]
    TimedOut {
        /// The server's address.
        server: SocketAddr,
        /// The time limit.
        limit: Duration,
    },
}

/// A complete response.
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A connection for one call. It is opened separately, so that a caller can check directly before the request whether
/// the call may be made.
pub struct Connection {
    server: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// [`HttpError`], with the server's address.
    pub async fn open(server: SocketAddr, limit: Duration) -> Result<Connection, HttpError> {
        let connecting = async {
            let stream =
                TcpStream::connect(server).await.map_err(|source| HttpError::Connect { server, source })?;
            // If the option can't be set, small requests may be delayed.
            drop(stream.set_nodelay(true));
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (sender, connection) = handshake.map_err(|source| HttpError::Exchange { server, source })?;
            Ok(Connection { server, sender, connection })
        };
        timeout(limit, connecting).await.map_err(|_| HttpError::TimedOut { server, limit })?
    }

    /// Sends a request, to which `Host` and `Content-Length` are added, and reads the complete response within
    /// `limit`. The request's first bytes are sent before this yields.
    ///
    /// # Errors
    /// [`HttpError`], with the server's address.
    pub async fn send(self, mut request: Request<Bytes>, limit: Duration) -> Result<Response, HttpError> {
        let Connection { server, mut sender, connection } = self;
        if let Ok(host) = HeaderValue::try_from(server.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let length = request.body().len();
        request.headers_mut().insert(CONTENT_LENGTH, length.into());
        let exchange = async {
            let response = sender.send_request(request.map(Full::new)).await;
            let (head, body) =
                response.map_err(|source| HttpError::Exchange { server, source })?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|source| HttpError::ResponseBody { server, source })?.to_bytes();
            // Dropping the sender closes the connection.
            drop(sender);
            Ok(Response { status: head.status, headers: head.headers, body })
        };
        let driven = async { tokio::join!(exchange, connection).0 };
        timeout(limit, driven).await.map_err(|_| HttpError::TimedOut { server, limit })?
    }
}

/// Makes one call on a new connection. Connecting and the exchange may take `limit` each.
///
/// # Errors
/// [`HttpError`], with the server's address.
pub async fn call(
    server: SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Result<Response, HttpError> {
    Connection::open(server, limit).await?.send(request, limit).await
}
