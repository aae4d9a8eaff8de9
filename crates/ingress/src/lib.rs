//! The real ingress: sockets round the decision module. Nothing is decided here; the driver carries out
//! the module's actions and the other files turn one kind of socket each into its events.

mod backend;
mod clients;
pub mod config;
mod counter;
mod discovery;
mod driver;
mod peers;
mod request;
mod server;
mod socket;

use bytes::Bytes;
use config::Config;
use discovery::TargetList;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot};
use violetyoke_decision::interface::{Event, Micros, Outcome, Report, RequestId};

/// The largest body that either side may send.
const LARGEST_BODY: usize = 64 * 1024;

/// Microseconds of Unix time, read once and carried on by the monotonic clock. Window starts are part of
/// the counter's names, so all ingresses must number windows alike: the origin has to be one they share.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        Clock { origin: Instant::now(), unix }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.origin.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// A client's request, checked and with its body whole.
pub struct ClientRequest {
    pub id: RequestId,
    pub arrived: Micros,
    pub budget: Micros,
    pub class: u16,
    pub plan: u16,
    pub customer: u64,
    pub units: f64,
    pub spread: f64,
    pub first: f64,
    pub repeat: bool,
    pub forward: Rc<Forward>,
    pub reply: oneshot::Sender<Answer>,
}

/// What goes on to a backend unchanged.
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub wire_id: HeaderValue,
    pub body: Bytes,
}

/// The one final answer to a client.
pub enum Answer {
    Served(Bytes),
    /// Trying again is harmless, after that long (0: nothing is said of it).
    Refused {
        retry_after: Micros,
    },
    Failed,
}

/// What the sockets report to the driver.
pub enum Message {
    Request(ClientRequest),
    Abandoned(RequestId),
    AttemptEnded {
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        report: Report,
        body: Bytes,
        carried: Option<Event>,
    },
    Counted {
        call: u64,
        outcome: Outcome,
        total: f64,
    },
    Targets(TargetList),
    /// The counter is at this address from now on.
    CounterMoved(SocketAddr),
    Peer {
        from: u32,
        data: Vec<u8>,
    },
}

pub type Messages = mpsc::UnboundedSender<Message>;

/// Serves until told to end; returns once everything taken has been answered.
pub async fn serve(config: Config) -> io::Result<()> {
    // Before anything is ready: a signal that finds no handler ends the program.
    let terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let (messages, inbox) = mpsc::unbounded_channel();
    let listener = server::listen(config.listen)?;
    let peers = match config.peer_listen {
        Some(address) if config.settings.limits.peer_messages => {
            Some(peers::Peers::open(address, &config, messages.clone())?)
        }
        _ => None,
    };
    let counter = config.counter.zip(config.settings.counter);
    let counter = counter
        .map(|(address, counter)| counter::Counter::open(address, counter.timeout, clock, messages.clone()));
    let mut watch = tokio::task::spawn_local(discovery::watch(config.discovery, messages.clone()));
    let moved = messages.clone();
    tokio::task::spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::reload() {
                Ok(addresses) => {
                    eprintln!("SIGHUP: discovery {}, counter {:?}", addresses.discovery, addresses.counter);
                    // A new watch begins with the whole list, so nothing told meanwhile is missed.
                    watch.abort();
                    watch = tokio::task::spawn_local(discovery::watch(addresses.discovery, moved.clone()));
                    if let Some(address) = addresses.counter {
                        let _ = moved.send(Message::CounterMoved(address));
                    }
                }
                Err(error) => eprintln!("SIGHUP: the configuration in force stays: {error}"),
            }
        }
    });
    let shared = server::Shared::new(&config, clock, messages.clone());
    let driver = driver::Driver::new(&config, clock, messages, counter, peers, shared.ready.clone());
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let driver = tokio::task::spawn_local(driver.run(inbox));
    // A task of its own: the runtime polls the outermost future with every wake, whatever that was for.
    let service =
        tokio::task::spawn_local(server::serve(listener, shared, terminate, Duration::from_micros(longest)));
    tokio::select! {
        end = service => end.map_err(io::Error::other)?,
        // Without the module nothing can be served: the platform had better start anew.
        _ = driver => Err(io::Error::other("the decision module has failed")),
    }
}
