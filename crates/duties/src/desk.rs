//! How a holder reaches the grantor.

use crate::call::{call, Answered};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_ownership::{Answer, Ask, Claim, Epoch};

/// Where leases are asked for.
pub trait Desk: Send + Sync {
    fn ask(&self, ask: Ask) -> BoxFuture<'_, Result<Answer, String>>;

    /// Returns when there may be something to ask for, or after a while.
    fn stirred(&self, holder: &str) -> BoxFuture<'_, Result<(), String>>;
}

/// Why a call of a worker to the control plane was not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A newer owner has been there.
    Fenced {
        newest: Epoch,
    },
    Failed(String),
}

/// The control plane, over HTTP.
#[derive(Clone, Debug)]
pub struct Control {
    pub address: SocketAddr,
    /// Holds the key; read with each call, as it may be exchanged.
    pub key_file: PathBuf,
}

/// How long one call may take, and a watch may wait.
const PATIENCE: Duration = Duration::from_secs(10);
const WATCH_SECONDS: u64 = 20;
const WATCH_PATIENCE: Duration = Duration::from_secs(WATCH_SECONDS + 10);

impl Control {
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        wait: u64,
        within: Duration,
    ) -> Result<Answered, String> {
        let key = std::fs::read_to_string(&self.key_file)
            .map_err(|error| format!("control.key_file {}: {error}", self.key_file.display()))?;
        let body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", key.trim()));
        if wait > 0 {
            request = request.header("prefer", format!("wait={wait}"));
        }
        let request = request.body(body).map_err(|error| error.to_string())?;
        call(self.address, request, within).await
    }

    /// A call that is answered with JSON.
    pub async fn json(&self, method: Method, path: &str, body: Option<Value>) -> Result<Value, Refused> {
        self.json_within(method, path, body, PATIENCE).await
    }

    /// The same, for what is not worth a long wait.
    pub async fn json_within(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        within: Duration,
    ) -> Result<Value, Refused> {
        let answered = self.send(method, path, body, 0, within).await.map_err(Refused::Failed)?;
        let value: Value = match answered.body.is_empty() {
            true => Value::Null,
            false => {
                serde_json::from_slice(&answered.body).map_err(|error| Refused::Failed(error.to_string()))?
            }
        };
        match (answered.status, value["newest"].as_u64()) {
            (status, _) if status.is_success() => Ok(value),
            (StatusCode::CONFLICT, Some(newest)) => Err(Refused::Fenced { newest }),
            (status, _) => Err(Refused::Failed(format!("{path}: {status}: {value}"))),
        }
    }

    /// Notes how far a shard's work has come, under a claim. Refused where the claim is not the newest.
    pub async fn mark(&self, holder: &str, claim: &Claim, mark: u64) -> Result<(), Refused> {
        let body = serde_json::json!({
            "holder": holder, "duty": claim.name.duty, "shard": claim.name.shard, "epoch": claim.epoch,
            "mark": mark,
        });
        self.json(Method::POST, "/v1/leases/mark", Some(body)).await.map(drop)
    }
}

impl Desk for Control {
    fn ask(&self, ask: Ask) -> BoxFuture<'_, Result<Answer, String>> {
        Box::pin(async move {
            let body = serde_json::to_value(&ask).map_err(|error| error.to_string())?;
            let answered = self.send(Method::POST, "/v1/leases", Some(body), 0, PATIENCE).await?;
            if answered.status != StatusCode::OK {
                return Err(format!("{}: {}", answered.status, String::from_utf8_lossy(&answered.body)));
            }
            serde_json::from_slice(&answered.body).map_err(|error| error.to_string())
        })
    }

    fn stirred(&self, holder: &str) -> BoxFuture<'_, Result<(), String>> {
        // A holder's name has no characters that a query would take for others.
        let path = format!("/v1/leases?holder={}", holder.replace('#', "%23"));
        Box::pin(async move {
            let answered = self.send(Method::GET, &path, None, WATCH_SECONDS, WATCH_PATIENCE).await?;
            match answered.status {
                StatusCode::OK | StatusCode::NOT_MODIFIED => Ok(()),
                status => Err(status.to_string()),
            }
        })
    }
}
