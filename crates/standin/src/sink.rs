//! A receiver of the fleet's work: it takes reports of use, each span once and in order, and probes, as a node does.
//! It keeps the newest epoch of every lease and refuses older ones, and notes all that comes, in its order.

use crate::http::{read_http, Http};
use crate::{listen, lock};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;
use violetyoke_ownership::{Epoch, FencingGuard, ShardId};

/// What came, and what was made of it. `GET /history?from=NUMBER` gives it from that place on.
#[derive(Clone, Debug, PartialEq)]
pub struct Noted {
    /// Since the sink began, in microseconds.
    pub at: u64,
    pub lease: ShardId,
    pub epoch: u64,
    pub holder: String,
    /// None: a probe.
    pub span: Option<u64>,
    /// Of the span.
    pub tries: Value,
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// New, and in its order.
    Taken,
    /// It was there already.
    Had,
    /// A newer owner has been here.
    Stale,
    /// Spans before it are missing.
    Gap,
}

impl Verdict {
    fn name(self) -> &'static str {
        match self {
            Verdict::Taken => "taken",
            Verdict::Had => "had",
            Verdict::Stale => "stale",
            Verdict::Gap => "gap",
        }
    }

    pub fn of(name: &str) -> Option<Verdict> {
        [Verdict::Taken, Verdict::Had, Verdict::Stale, Verdict::Gap]
            .into_iter()
            .find(|one| one.name() == name)
    }
}

#[derive(Default)]
struct Inner {
    guard: FencingGuard,
    last: BTreeMap<ShardId, u64>,
    noted: Vec<Noted>,
}

pub struct Sink {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl Sink {
    /// `fenced`: whether it refuses older epochs, as it should.
    pub fn start(address: SocketAddr, fenced: bool) -> io::Result<Sink> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let inner: Arc<Mutex<Inner>> = Arc::default();
        let shared = inner.clone();
        let began = Instant::now();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared, began, fenced));
            }
        });
        Ok(Sink { address, inner })
    }

    pub fn noted(&self) -> Vec<Noted> {
        lock(&self.inner).noted.clone()
    }
}

fn serve(mut stream: TcpStream, inner: &Mutex<Inner>, began: Instant, fenced: bool) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = read_http(&mut reader) {
        let from = request.first.strip_prefix("GET /history").map(|rest| rest.trim_start_matches("?from="));
        let (status, body) = match from {
            Some(rest) => {
                let from = rest.split(' ').next().and_then(|from| from.parse().ok()).unwrap_or(0);
                ("200 OK", history(lock(inner).noted.get(from..).unwrap_or_default()))
            }
            None => {
                let at = began.elapsed().as_micros() as u64;
                taken(&mut lock(inner), &request, at, fenced)
            }
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
    Some(())
}

fn taken(inner: &mut Inner, request: &Http, at: u64, fenced: bool) -> (&'static str, Value) {
    let wrong = |field: &str| ("400 Bad Request", json!({ "field": field }));
    let header = |name: &str| request.headers.get(name).map(String::as_str);
    let lease = header("vy-duty").and_then(|text| text.split_once('/'));
    let Some((duty, Ok(shard))) = lease.map(|(duty, shard)| (duty, shard.parse::<u32>())) else {
        return wrong("vy-duty");
    };
    let Some(epoch) = header("vy-epoch").and_then(|text| text.parse::<u64>().ok()).filter(|epoch| *epoch > 0)
    else {
        return wrong("vy-epoch");
    };
    let lease = ShardId::new(duty, shard);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let probe = request.first.starts_with("GET ");
    let span = body["span"].as_u64();
    if !probe && span.is_none() {
        return wrong("span");
    }
    let stale = inner.guard.admit(&lease, Epoch(epoch)).err().filter(|_| fenced);
    let last = inner.last.get(&lease).copied();
    let verdict = match (&stale, span, last) {
        (Some(_), _, _) => Verdict::Stale,
        (None, None, _) | (None, Some(_), None) => Verdict::Taken,
        (None, Some(span), Some(last)) if span <= last => Verdict::Had,
        (None, Some(span), Some(last)) if span > last + 1 => Verdict::Gap,
        (None, Some(_), Some(_)) => Verdict::Taken,
    };
    if let (Verdict::Taken, Some(span)) = (verdict, span) {
        inner.last.insert(lease.clone(), span);
    }
    let holder = header("vy-holder").unwrap_or_default().to_string();
    inner.noted.push(Noted { at, lease, epoch, holder, span, tries: body["tries"].clone(), verdict });
    match (verdict, stale) {
        (Verdict::Stale, Some(stale)) => ("409 Conflict", json!({ "newest": stale.newest })),
        (Verdict::Gap, _) => ("409 Conflict", json!({ "next": last.unwrap_or(0) + 1 })),
        _ => ("200 OK", json!({ "taken": verdict == Verdict::Taken })),
    }
}

fn history(noted: &[Noted]) -> Value {
    let one = |noted: &Noted| {
        let Noted { at, lease, epoch, holder, span, tries, verdict } = noted;
        json!({
            "at": at, "duty": lease.role, "shard": lease.index, "epoch": epoch, "holder": holder, "span": span,
            "tries": tries, "verdict": verdict.name(),
        })
    };
    noted.iter().map(one).collect()
}

/// What `GET /history` has told.
pub fn parse(history: &Value) -> Option<Vec<Noted>> {
    let one = |one: &Value| {
        Some(Noted {
            at: one["at"].as_u64()?,
            lease: ShardId::new(one["duty"].as_str()?, one["shard"].as_u64()? as u32),
            epoch: one["epoch"].as_u64()?,
            holder: one["holder"].as_str()?.to_string(),
            span: one["span"].as_u64(),
            tries: one["tries"].clone(),
            verdict: Verdict::of(one["verdict"].as_str()?)?,
        })
    };
    history.as_array()?.iter().map(one).collect()
}
