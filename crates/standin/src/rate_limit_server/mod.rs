//! A stub of an external rate limit server (`envoy.service.ratelimit.v3`). It counts each descriptor in fixed
//! windows, records the calls, and misbehaves on request.

mod behavior;
mod counting;
mod minimal;

pub use behavior::{Behavior, UnknownBehavior};
pub use minimal::start_minimal;

use crate::{listen, lock};
use counting::CountingService;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;
use violetyoke_ratelimit_proto::{LocalExecutor, RateLimitServiceServer};

/// A descriptor's keys and values.
pub type Entries = Vec<(String, String)>;

/// A call that the server has received.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedCall {
    /// When it was received.
    pub at: Instant,
    /// The domain.
    pub domain: String,
    /// The entries of its first descriptor.
    pub entries: Entries,
    /// The number of units that it requests.
    pub units: u64,
    /// Whether its units were counted. They are not if the call was over the limit, or if the behavior excludes it.
    pub is_counted: bool,
}

/// How open connections are to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Closing {
    #[default]
    None,
    /// GOAWAY: received calls are finished, and no new ones are accepted.
    Graceful,
    Abrupt,
}

/// The units of a descriptor in its window.
struct Window {
    units: u64,
    started: Instant,
}

struct State {
    behavior: Mutex<Behavior>,
    limit: u64,
    window: Duration,
    received: Mutex<Vec<ReceivedCall>>,
    windows: Mutex<HashMap<Entries, Window>>,
    /// Connections opened so far.
    connections: Mutex<u64>,
    closing: watch::Sender<Closing>,
}

/// A running server; its thread ends with the process.
#[derive(Clone)]
pub struct RateLimitServer {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl RateLimitServer {
    /// Starts a server that admits `limit` units of each descriptor in each window.
    ///
    /// # Errors
    /// Those of the listener and of the runtime.
    pub fn start(address: SocketAddr, limit: u64, window: Duration) -> io::Result<RateLimitServer> {
        let listener = listen(address)?;
        let state = Arc::new(State {
            behavior: Mutex::default(),
            limit,
            window,
            received: Mutex::default(),
            windows: Mutex::default(),
            connections: Mutex::default(),
            closing: watch::Sender::default(),
        });
        let server = RateLimitServer { address: listener.local_addr()?, state: Arc::clone(&state) };
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::spawn(move || {
            if let Err(error) = LocalSet::new().block_on(&runtime, accept_all(listener, state)) {
                eprintln!("rate limit server: {error}");
            }
        });
        Ok(server)
    }

    /// Sets the behavior from now on.
    pub fn set(&self, behavior: Behavior) {
        *lock(&self.state.behavior) = behavior;
    }

    /// Ends all connections that are open now by GOAWAY: received calls are answered.
    pub fn close_gracefully(&self) {
        self.state.closing.send_replace(Closing::Graceful);
    }

    /// Closes all connections that are open now at once.
    pub fn close_abruptly(&self) {
        self.state.closing.send_replace(Closing::Abrupt);
    }

    /// All calls so far, in order.
    pub fn received(&self) -> Vec<ReceivedCall> {
        lock(&self.state.received).clone()
    }

    /// The number of connections opened so far.
    pub fn connections(&self) -> u64 {
        *lock(&self.state.connections)
    }
}

async fn accept_all(listener: std::net::TcpListener, state: Arc<State>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let service = RateLimitServiceServer::new(CountingService(Arc::clone(&state)));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        *lock(&state.connections) += 1;
        let mut closing = state.closing.subscribe();
        // Only changes from now on apply to this connection.
        closing.mark_unchanged();
        tokio::task::spawn_local(serve(stream, service.clone(), closing));
    }
}

/// Serves a connection until its end or until it is to be closed.
async fn serve(
    stream: TcpStream,
    service: RateLimitServiceServer<CountingService>,
    mut closing: watch::Receiver<Closing>,
) {
    let service = service_fn(move |request| {
        let mut service = service.clone();
        async move { tonic::codegen::Service::call(&mut service, request).await }
    });
    let connection = http2::Builder::new(LocalExecutor).serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    loop {
        tokio::select! {
            // The result is not needed: calls are recorded when they arrive.
            _ = connection.as_mut() => return,
            changed = closing.changed() => {
                let now = *closing.borrow_and_update();
                match (changed.is_ok(), now) {
                    (true, Closing::Graceful) => connection.as_mut().graceful_shutdown(),
                    (true, Closing::None) => {}
                    (true, Closing::Abrupt) | (false, _) => return,
                }
            }
        }
    }
}
