//! The watch on discovery: one call after another, each from the version that the last answer brought.

use super::poll_schedule::{PollFailure, PollSchedule, WAIT};
use super::{tasks, Message, Messages};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long an answer may take beyond the time for which a call may wait.
const PATIENCE: Duration = Duration::from_millis(1000);
/// A refusal that comes later than this was no refusal: the call was taken, and waited in vain.
const AT_ONCE: Duration = Duration::from_millis(1000);
const LARGEST_LIST: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, Default, Deserialize)]
pub struct TargetList {
    pub revision: u64,
    pub complete: bool,
    #[serde(deserialize_with = "legible")]
    pub members: Vec<Target>,
    /// The list as held before a restart; set by the reader of the configuration's list.
    #[serde(skip)]
    pub cached: bool,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Target {
    pub id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u16,
    pub phase: Phase,
    #[serde(default)]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    InService,
    Terminating,
    Terminated,
}

/// One entry that makes no sense must not keep the others' drains from being heeded.
fn legible<'de, D: Deserializer<'de>>(members: D) -> Result<Vec<Target>, D::Error> {
    let members = Vec::<serde_json::Value>::deserialize(members)?;
    let legible = |member: serde_json::Value| match Target::deserialize(&member) {
        Ok(target) => Some(target),
        Err(error) => {
            eprintln!("discovery: an entry is passed over: {error}: {member}");
            None
        }
    };
    Ok(members.into_iter().filter_map(legible).collect())
}

type Sender = SendRequest<Empty<Bytes>>;

/// Keeps the watch for as long as the process runs.
pub async fn watch_targets(mut watch: PollSchedule, address: SocketAddr, messages: Messages) {
    let mut connection: Option<Sender> = None;
    loop {
        let (path, called) = (watch.path(), Instant::now());
        let answer = timeout(WAIT + PATIENCE, call(&mut connection, address, &path)).await;
        let pause = match answer.unwrap_or_else(|_| Err("no answer".into())) {
            Ok(list) => {
                if watch.consecutive_failures() > 0 {
                    eprintln!("discovery {address}: answers again");
                }
                let (version, news) = (list.revision, list.complete || !list.members.is_empty());
                if news && messages.send(Message::Targets(list)).is_err() {
                    return;
                }
                watch.on_answer(version, news, called.elapsed())
            }
            Err(error) => {
                if watch.consecutive_failures() == 0 {
                    eprintln!("discovery {address}: {error}");
                }
                connection = None;
                watch.on_failure(match error.downcast_ref::<Refused>() {
                    Some(_) if called.elapsed() < AT_ONCE => PollFailure::TurnedAway,
                    Some(_) => PollFailure::Taken,
                    None => PollFailure::Lost,
                })
            }
        };
        sleep(pause).await;
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// An answer that is not a list.
#[derive(Debug)]
struct Refused(StatusCode);

impl std::fmt::Display for Refused {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "answered {}", self.0)
    }
}

impl std::error::Error for Refused {}

async fn call(
    connection: &mut Option<Sender>,
    address: SocketAddr,
    path: &str,
) -> Result<TargetList, BoxError> {
    let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    sender.ready().await?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(Refused(response.status()).into());
    }
    let body = Limited::new(response.into_body(), LARGEST_LIST).collect().await?.to_bytes();
    *connection = Some(sender);
    Ok(serde_json::from_slice(&body)?)
}

async fn connect(address: SocketAddr) -> Result<Sender, BoxError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Ends by itself when the sender is dropped or the peer closes.
    tasks::spawn(async move { drop(connection.await) });
    Ok(sender)
}
