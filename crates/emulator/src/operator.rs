//! The operator: sends commands to one registry after another until they are acknowledged, and reads the configuration
//! back at the end of the day.

use crate::http_client::send_once;
use crate::records::{Command, CommandRecord, Recorder};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The maximum backoff between attempts; a third of the time-out of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// A command that is not acknowledged within this time is given up.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends commands to the registries.
#[derive(Clone)]
pub(crate) struct Operator {
    pub(crate) recorder: Recorder,
    /// The addresses at which registries accept commands.
    pub(crate) registries: Rc<[SocketAddr]>,
    /// The names of the zones.
    pub(crate) zones: Rc<[&'static str]>,
}

impl Operator {
    /// Sends a command until its outcome is known or `COMMAND_TIMEOUT` has passed; returns its index in the records.
    pub(crate) async fn send_command(&self, command: Command, seed: u64) -> usize {
        let sent = self.recorder.now();
        let (target, body) = self.request_of(&command);
        let record = CommandRecord {
            command,
            sent,
            acknowledged_at: None,
            acknowledged_by: None,
            was_rejected: false,
        };
        let index = self.recorder.with(|records| {
            records.commands.push(record);
            records.commands.len() - 1
        });
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (until, mut backoff) = (Instant::now() + COMMAND_TIMEOUT, MIN_BACKOFF);
        let mut next = rng.random_range(0..self.registries.len().max(1));
        while Instant::now() < until {
            let registry = self.registry(next);
            next += 1;
            match self.send(registry, &target, &body).await {
                200..=299 => {
                    self.record_acknowledged(index, registry);
                    return index;
                }
                400 | 409 | 412 | 413 | 422 => {
                    self.recorder.with(|records| records.commands[index].was_rejected = true);
                    return index;
                }
                _ => sleep(backoff).await,
            }
            backoff = (backoff * 2).min(RESPONSE_TIMEOUT);
        }
        index
    }

    /// The target and the body of a command's request.
    fn request_of(&self, command: &Command) -> (String, String) {
        match command {
            Command::Configuration { text, .. } => {
                ("/api/rpc?call=configuration.replace".to_owned(), text.clone())
            }
            Command::Evacuate { zone, is_begin } => {
                let verb = if *is_begin { "begin" } else { "finish" };
                let zone = self.zones.get(*zone).copied().unwrap_or_default();
                (format!("/api/rpc?call=evacuation.{verb}&of={zone}"), String::new())
            }
        }
    }

    fn record_acknowledged(&self, index: usize, registry: Option<SocketAddr>) {
        let now = self.recorder.now();
        self.recorder.with(|records| {
            let record = &mut records.commands[index];
            (record.acknowledged_at, record.acknowledged_by) = (Some(now), registry);
        });
    }

    fn registry(&self, number: usize) -> Option<SocketAddr> {
        self.registries.get(number % self.registries.len().max(1)).copied()
    }

    async fn send(&self, registry: Option<SocketAddr>, target: &str, body: &str) -> u16 {
        let Some(to) = registry else { return 0 };
        let response = send_once(to, "POST", target, body.to_owned(), RESPONSE_TIMEOUT * 3).await;
        response.map_or(0, |response| response.status)
    }

    /// Reads the configuration back, with attempts until `within` has passed.
    pub(crate) async fn read_back(&self, within: Duration) {
        let until = Instant::now() + within;
        for number in 0.. {
            let Some(to) = self.registry(number) else { return };
            let target = "/api/rpc?call=configuration.read";
            let response = send_once(to, "POST", target, String::new(), RESPONSE_TIMEOUT * 3).await;
            if let Some(response) = response.filter(|response| response.status == 200) {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                let configuration: Value = serde_json::from_str(&text).unwrap_or_default();
                let version = configuration["version"].as_u64().unwrap_or(0);
                return self.recorder.with(|records| records.read_back = Some((version, text)));
            }
            if Instant::now() > until {
                return;
            }
            sleep(MIN_BACKOFF).await;
        }
    }
}
