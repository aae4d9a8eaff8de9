//! The client of the discovery service. It polls for the list of targets with one long poll after another, each from the
//! version of the last list.

use super::poll_schedule::{PollFailure, PollSchedule, POLL_WAIT};
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

/// A call times out this long after the end of its wait at discovery.
const REPLY_MARGIN: Duration = Duration::from_millis(1000);
/// A call that fails later than this was not rejected: discovery had accepted it and could not serve it in time.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(1000);
/// The maximum size of a list (bytes).
const MAX_LIST_SIZE: usize = 4 * 1024 * 1024;

/// A list of targets, or the targets that have changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TargetList {
    pub revision: u64,
    /// Whether targets that are not in the list have been removed; otherwise the list has only changed targets.
    pub complete: bool,
    #[serde(deserialize_with = "deserialize_valid_members")]
    pub members: Vec<Target>,
    /// Whether the list is from before the start of this process: from the configuration, or from a state handover.
    #[serde(skip)]
    pub cached: bool,
}

/// A node of the service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Target {
    pub id: String,
    pub host_port: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub locality: String,
    /// The name of its kind of host; empty in a static list.
    #[serde(default)]
    pub flavor: String,
    /// The cell inside its zone.
    #[serde(default)]
    pub cell: u16,
    pub phase: Phase,
    /// Relative capacity.
    #[serde(default)]
    pub size: f64,
    /// The start of the node's process (Unix time in milliseconds).
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

/// Deserializes the members, and skips invalid ones: an invalid entry must not prevent updates of the others, such as drains.
fn deserialize_valid_members<'de, D: Deserializer<'de>>(members: D) -> Result<Vec<Target>, D::Error> {
    let members = Vec::<serde_json::Value>::deserialize(members)?;
    let valid_target = |member: serde_json::Value| match Target::deserialize(&member) {
        Ok(target) => Some(target),
        Err(error) => {
            eprintln!("discovery: invalid entry skipped: {error}: {member}");
            None
        }
    };
    Ok(members.into_iter().filter_map(valid_target).collect())
}

type Sender = SendRequest<Empty<Bytes>>;

/// Polls discovery until the receiver of the messages is dropped.
pub async fn watch_targets(mut schedule: PollSchedule, address: SocketAddr, messages: Messages) {
    let mut connection: Option<Sender> = None;
    loop {
        let (path, called_at) = (schedule.path(), Instant::now());
        let result = timeout(POLL_WAIT + REPLY_MARGIN, call(&mut connection, address, &path)).await;
        let pause = match result.unwrap_or_else(|_| Err("no answer".into())) {
            Ok(list) => {
                if schedule.consecutive_failures() > 0 {
                    eprintln!("discovery {address}: answers again");
                }
                let (revision, has_changes) = (list.revision, list.complete || !list.members.is_empty());
                if has_changes && messages.send(Message::Targets(list)).is_err() {
                    return;
                }
                schedule.on_answer(revision, has_changes, called_at.elapsed())
            }
            Err(error) => {
                if schedule.consecutive_failures() == 0 {
                    eprintln!("discovery {address}: {error}");
                }
                connection = None;
                schedule.on_failure(match error.downcast_ref::<ErrorStatus>() {
                    Some(_) if called_at.elapsed() < MAX_REJECTION_TIME => PollFailure::Rejected,
                    Some(_) => PollFailure::TimedOut,
                    None => PollFailure::NoValidReply,
                })
            }
        };
        sleep(pause).await;
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A response with a status other than 200.
#[derive(Debug)]
struct ErrorStatus(StatusCode);

impl std::fmt::Display for ErrorStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "answered {}", self.0)
    }
}

impl std::error::Error for ErrorStatus {}

/// Makes one call, on the open connection if there is one.
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
        return Err(ErrorStatus(response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_LIST_SIZE).collect().await?.to_bytes();
    *connection = Some(sender);
    Ok(serde_json::from_slice(&body)?)
}

async fn connect(address: SocketAddr) -> Result<Sender, BoxError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends when the sender is dropped or the peer closes the connection.
    tasks::spawn(async move { drop(connection.await) });
    Ok(sender)
}
