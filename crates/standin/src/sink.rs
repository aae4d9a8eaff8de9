//! A receiver of the fleet's reports and probes. It accepts each span of a shard once and in order, rejects effects
//! of epochs older than the newest one that it has seen, and records everything that it receives in order.

use crate::http::{read_http, HttpMessage};
use crate::{listen, lock};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;
use violetyoke_ownership::{Epoch, FencingGuard, ShardId};

/// A report or probe that the sink has received. `GET /history?from=NUMBER` returns them from that index on.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedEffect {
    /// Microseconds since the start of the sink.
    pub at_us: u64,
    /// The shard whose owner has sent it.
    pub shard: ShardId,
    /// The epoch of the sender's lease.
    pub epoch: u64,
    /// The sender's name.
    pub owner: String,
    /// The number of the reported span; `None` for a probe.
    pub span: Option<u64>,
    /// Attempts by tenant in the span.
    pub tries: Value,
    /// The sink's decision on the effect.
    pub verdict: Verdict,
}

/// The sink's decision on an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Accepted: the effect is new and in order.
    Accepted,
    /// The span has been accepted before.
    Duplicate,
    /// Rejected: a newer epoch has been seen.
    Stale,
    /// Rejected: spans before it are missing.
    Gap,
}

impl Verdict {
    const ALL: [Verdict; 4] = [Verdict::Accepted, Verdict::Duplicate, Verdict::Stale, Verdict::Gap];

    /// The name of the decision in the history.
    fn name(self) -> &'static str {
        match self {
            Verdict::Accepted => "taken",
            Verdict::Duplicate => "had",
            Verdict::Stale => "stale",
            Verdict::Gap => "gap",
        }
    }

    fn from_name(name: &str) -> Option<Verdict> {
        Verdict::ALL.into_iter().find(|verdict| verdict.name() == name)
    }
}

/// A running sink; its threads end with the process.
pub struct Sink {
    /// Where it listens.
    pub address: SocketAddr,
    _receiver: Arc<Receiver>,
}

struct Receiver {
    started: Instant,
    has_fencing: bool,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    guard: FencingGuard,
    last_spans: BTreeMap<ShardId, u64>,
    received: Vec<ReceivedEffect>,
}

struct Response {
    status: &'static str,
    body: Value,
}

/// The effect in a request.
struct Effect {
    shard: ShardId,
    epoch: u64,
    owner: String,
    span: Option<u64>,
    tries: Value,
}

/// The header field or field of the body that is missing or malformed.
struct InvalidField(&'static str);

impl Sink {
    /// Starts the sink. Without fencing it accepts effects of older epochs, a fault that tests have to find.
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start(address: SocketAddr, has_fencing: bool) -> io::Result<Sink> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let receiver = Arc::new(Receiver { started: Instant::now(), has_fencing, state: Mutex::default() });
        let shared = Arc::clone(&receiver);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Sink { address, _receiver: receiver })
    }
}

impl Receiver {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_http(&mut reader) {
            let query = request.start_line.strip_prefix("GET /history");
            let response = match query {
                Some(query) => self.history(query.trim_start_matches("?from=")),
                None => self.receive(&request),
            };
            let body = response.body.to_string();
            let head = format!("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n", response.status, body.len());
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    /// The received effects from the index on with which the query begins.
    fn history(&self, query: &str) -> Response {
        let from = query.split(' ').next().and_then(|from| from.parse().ok()).unwrap_or(0);
        let state = lock(&self.state);
        let received = state.received.get(from..).unwrap_or_default();
        Response { status: "200 OK", body: received.iter().map(encode).collect() }
    }

    fn receive(&self, request: &HttpMessage) -> Response {
        let at_us = self.started.elapsed().as_micros() as u64;
        match Effect::try_from(request) {
            Ok(effect) => lock(&self.state).receive(effect, at_us, self.has_fencing),
            Err(InvalidField(field)) => {
                Response { status: "400 Bad Request", body: json!({ "field": field }) }
            }
        }
    }
}

impl State {
    fn receive(&mut self, effect: Effect, at_us: u64, has_fencing: bool) -> Response {
        let Effect { shard, epoch, owner, span, tries } = effect;
        let stale = self.guard.admit(&shard, Epoch(epoch)).err().filter(|_| has_fencing);
        let last = self.last_spans.get(&shard).copied();
        let verdict = match (&stale, span, last) {
            (Some(_), _, _) => Verdict::Stale,
            (None, Some(span), Some(last)) if span <= last => Verdict::Duplicate,
            (None, Some(span), Some(last)) if span > last + 1 => Verdict::Gap,
            (None, _, _) => Verdict::Accepted,
        };
        if let (Verdict::Accepted, Some(span)) = (verdict, span) {
            self.last_spans.insert(shard.clone(), span);
        }
        self.received.push(ReceivedEffect { at_us, shard, epoch, owner, span, tries, verdict });
        match (verdict, stale) {
            (Verdict::Stale, Some(stale)) => {
                Response { status: "409 Conflict", body: json!({ "newest": stale.newest }) }
            }
            (Verdict::Gap, _) => {
                Response { status: "409 Conflict", body: json!({ "next": last.unwrap_or(0) + 1 }) }
            }
            _ => Response { status: "200 OK", body: json!({ "taken": verdict == Verdict::Accepted }) },
        }
    }
}

impl TryFrom<&HttpMessage> for Effect {
    type Error = InvalidField;

    fn try_from(request: &HttpMessage) -> Result<Effect, InvalidField> {
        let header = |name: &str| request.headers.get(name).map(String::as_str);
        let shard = header("vy-duty").and_then(|text| text.split_once('/'));
        let Some((duty, Ok(index))) = shard.map(|(duty, index)| (duty, index.parse::<u32>())) else {
            return Err(InvalidField("vy-duty"));
        };
        let epoch = header("vy-epoch").and_then(|text| text.parse::<u64>().ok()).filter(|epoch| *epoch > 0);
        let epoch = epoch.ok_or(InvalidField("vy-epoch"))?;
        // A probe has no body. A report whose body is not JSON has no span, and is rejected for that.
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let span = body["span"].as_u64();
        if span.is_none() && !request.start_line.starts_with("GET ") {
            return Err(InvalidField("span"));
        }
        let owner = header("vy-holder").unwrap_or_default().to_string();
        Ok(Effect { shard: ShardId::new(duty, index), epoch, owner, span, tries: body["tries"].clone() })
    }
}

fn encode(effect: &ReceivedEffect) -> Value {
    let ReceivedEffect { at_us, shard, epoch, owner, span, tries, verdict } = effect;
    json!({
        "at": at_us, "duty": shard.role, "shard": shard.index, "epoch": epoch, "holder": owner, "span": span,
        "tries": tries, "verdict": verdict.name(),
    })
}

/// Decodes the response of `GET /history`; `None` if it is malformed.
pub fn parse(history: &Value) -> Option<Vec<ReceivedEffect>> {
    let decode = |effect: &Value| {
        Some(ReceivedEffect {
            at_us: effect["at"].as_u64()?,
            shard: ShardId::new(effect["duty"].as_str()?, effect["shard"].as_u64()? as u32),
            epoch: effect["epoch"].as_u64()?,
            owner: effect["holder"].as_str()?.to_string(),
            span: effect["span"].as_u64(),
            tries: effect["tries"].clone(),
            verdict: Verdict::from_name(effect["verdict"].as_str()?)?,
        })
    };
    history.as_array()?.iter().map(decode).collect()
}
