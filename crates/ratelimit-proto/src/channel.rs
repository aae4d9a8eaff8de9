//! One HTTP/2 connection as a client's transport. It neither reconnects nor retries: whether a call whose
//! connection broke is sent again is for the caller to decide.

use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::http::{Request, Response, Uri};
use hyper::rt::{Executor, Read, Write};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tonic::body::Body;
use tonic::codegen::Service;

/// Sends requests on one connection; clones share it.
#[derive(Clone)]
pub struct Channel {
    sender: SendRequest<Body>,
    authority: Uri,
}

impl Channel {
    /// Performs the HTTP/2 handshake on an open connection. The returned connection is a future that drives it
    /// and has to be polled for as long as the channel is used; `executor` runs the tasks that it spawns.
    ///
    /// # Errors
    ///
    /// When the handshake fails.
    pub async fn open<T, E>(
        io: T,
        executor: E,
        authority: Uri,
    ) -> hyper::Result<(Channel, http2::Connection<T, Body, E>)>
    where
        T: Read + Write + Unpin,
        E: hyper::rt::bounds::Http2ClientConnExec<Body, T> + Unpin + Clone,
    {
        let (sender, connection) = http2::handshake(executor, io).await?;
        Ok((Channel { sender, authority }, connection))
    }

    /// Whether the connection has ended, or takes no more requests.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let (mut head, body) = request.into_parts();
        let mut parts = self.authority.clone().into_parts();
        parts.path_and_query = head.uri.path_and_query().cloned();
        if let Ok(uri) = Uri::from_parts(parts) {
            head.uri = uri;
        }
        Box::pin(self.sender.send_request(Request::from_parts(head, body)))
    }
}

/// Runs a connection's tasks on the runtime's local set.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(async move {
            let _ = future.await;
        });
    }
}

/// Whether a failed call is known not to have been processed, so that a retry is safe: the server refused its
/// stream, or the stream came after the last one that its GOAWAY takes (RFC 9113, sections 6.8 and 8.7).
pub fn never_processed(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<h2::Error>() {
            let quiet = error.reason() == Some(h2::Reason::NO_ERROR);
            let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
            return error.is_remote() && (refused || error.is_go_away() && quiet);
        }
        if error.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_canceled) {
            // The request was still queued on this side when the connection ended.
            return true;
        }
        source = error.source();
    }
    false
}
