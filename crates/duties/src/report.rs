//! The report of use: each span's tries by tenant, to a sink that gets every span once and in order, whoever owns
//! the work.
//!
//! A span is *closed* in the store before it is sent: what is told of it later counts in the next one, so whoever
//! sends it, now or again, sends the same. The mark is the last span that was closed; a new owner sends that one
//! once more, which a sink that has it takes for what it is.

use crate::call::open;
use crate::desk::{Control, Refused};
use crate::lease::Lease;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// How long a sink's answer is waited for.
const PATIENCE: Duration = Duration::from_secs(5);
/// The pause after what failed.
const PAUSE: Duration = Duration::from_millis(200);

struct Report {
    control: Control,
    sink: SocketAddr,
}

/// Until the lease is to be handed over, or is not good any more.
pub async fn run(control: Control, sink: SocketAddr, lease: Lease) {
    Report { control, sink }.work(lease).await;
}

/// Why the work goes no further just now.
enum Stop {
    /// The lease is not good any more.
    Over,
    /// To be tried again.
    Failed(String),
}

impl From<crate::lease::Over> for Stop {
    fn from(_: crate::lease::Over) -> Stop {
        Stop::Over
    }
}

impl Report {
    async fn work(self, mut lease: Lease) {
        let (mut closed, mut sent) = (lease.mark, false);
        let mut failed = String::new();
        // Between two spans it may be handed over at any time; in the middle of one that is sent, after it.
        while !(lease.is_ending() && (sent || closed == 0)) {
            let result = match sent || closed == 0 {
                false => self.send(&lease, closed).await.map(|()| {
                    sent = true;
                    None
                }),
                true => self.close(&lease, closed).await.map(|step| match step {
                    Step::Closed(span) => {
                        (closed, sent) = (span, false);
                        None
                    }
                    Step::Wait(time) => Some(time),
                }),
            };
            let pause = match result {
                Ok(pause) => {
                    failed.clear();
                    pause
                }
                Err(Stop::Over) => return,
                Err(Stop::Failed(error)) => {
                    if error != failed {
                        tracing::warn!(lease = %lease.claim.name, %error, "the report waits");
                        failed = error;
                    }
                    Some(PAUSE)
                }
            };
            if let Some(pause) = pause {
                tokio::select! {
                    () = sleep(pause) => {}
                    () = lease.ends() => {}
                }
            }
        }
    }

    fn path(&self, lease: &Lease, query: &str) -> String {
        format!("/v1/use/{}/{}?{query}", lease.claim.name.duty, lease.claim.name.shard)
    }

    fn stop(lease: &Lease, refused: Refused) -> Stop {
        match refused {
            Refused::Fenced { newest } => {
                lease.fenced(newest);
                Stop::Over
            }
            Refused::Failed(error) => Stop::Failed(error),
        }
    }

    /// Closes the span after that one, once it is over.
    async fn close(&self, lease: &Lease, closed: u64) -> Result<Step, Stop> {
        let path = self.path(lease, &format!("after={closed}"));
        let next = self
            .control
            .json(Method::GET, &path, None)
            .await
            .map_err(|refused| Report::stop(lease, refused))?;
        let number =
            |name: &str| next[name].as_u64().ok_or_else(|| Stop::Failed(format!("{path}: no {name}")));
        let (span, left) = (number("span")?, number("left_ms")?);
        // It was looked for work, and there is none yet.
        lease.moved(0);
        if left > 0 {
            return Ok(Step::Wait(Duration::from_millis(left.min(200))));
        }
        lease.check("close").await?;
        let marked = self.control.mark(&lease.holder(), &lease.claim, span).await;
        marked.map_err(|refused| Report::stop(lease, refused))?;
        Ok(Step::Closed(span))
    }

    async fn send(&self, lease: &Lease, span: u64) -> Result<(), Stop> {
        let path = self.path(lease, &format!("span={span}"));
        let sum = self
            .control
            .json(Method::GET, &path, None)
            .await
            .map_err(|refused| Report::stop(lease, refused))?;
        let (name, epoch) = (&lease.claim.name, lease.claim.epoch);
        let body = json!({ "span": span, "span_ms": sum["span_ms"], "tries": sum["tries"] });
        let request = Request::post("/report")
            .header("vy-duty", name.to_string())
            .header("vy-epoch", epoch)
            .header("vy-holder", lease.holder())
            .body(Bytes::from(body.to_string()))
            .map_err(|error| Stop::Failed(error.to_string()))?;
        let open = open(self.sink, PATIENCE).await.map_err(Stop::Failed)?;
        lease.check("send").await?;
        let answered = open.send(request, PATIENCE).await.map_err(Stop::Failed)?;
        let told: Value = serde_json::from_slice(&answered.body).unwrap_or_default();
        match (answered.status, told["newest"].as_u64()) {
            (StatusCode::OK, _) => {
                lease.moved(1);
                Ok(())
            }
            (StatusCode::CONFLICT, Some(newest)) => {
                lease.fenced(newest);
                Err(Stop::Over)
            }
            (status, _) => Err(Stop::Failed(format!("sink {}: {status}: {told}", self.sink))),
        }
    }
}

enum Step {
    Closed(u64),
    Wait(Duration),
}
