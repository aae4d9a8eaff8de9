//! The records of the decision log, and their encoding as lines of text. The JSON keys are part of the log's format.

use serde::{Deserialize, Serialize};

/// The prefix of a record's JSON. A logger may put a time or a name before it.
pub const RECORD_PREFIX: &str = "account=";

/// One record. Points in time are microseconds of Unix time, durations are microseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// The final response to a request.
    Final {
        /// When the response was sent, or the client disconnected.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Name of the request's class.
        class: String,
        /// Name of the customer's plan.
        plan: String,
        /// Value of the class, times the priority weight of the plan, times the request's units.
        #[serde(rename = "worth")]
        value: f64,
        /// `served`, `refused`, `failed` or `gone` (the client disconnected).
        #[serde(rename = "end")]
        outcome: String,
        /// The rule that rejected or failed the request; empty if it was served.
        #[serde(rename = "why")]
        reason: String,
        /// Time from the last byte of the request to the response.
        #[serde(rename = "age")]
        latency: u64,
        /// Latency target of the class.
        #[serde(rename = "aim")]
        latency_target: u64,
        /// Attempts made for the request.
        attempts: u8,
    },
    /// The end of an attempt.
    Attempt {
        /// When the attempt ended.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Name of the node.
        node: String,
        /// The outcome, as the decision module names it: `Ok`, `Timeout` and others.
        outcome: String,
        /// Time from the last byte sent to the node to the end of the attempt.
        #[serde(rename = "waited")]
        duration: u64,
    },
    /// The state of an ingress, written once a second.
    State {
        /// When the state was read.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Limit on attempts in flight; 0: none yet.
        #[serde(rename = "room")]
        concurrency_limit: f64,
        /// Attempts in flight.
        #[serde(rename = "out")]
        in_flight: usize,
        /// Response times of all nodes relative to their best ones.
        #[serde(rename = "pace")]
        relative_latency: f64,
        /// Time since a customer's last call to the counter service after which each of its requests makes a call.
        #[serde(rename = "spacing")]
        counter_interval: f64,
        /// Errors of the counter service in a row.
        #[serde(rename = "bad")]
        counter_errors: u32,
        /// Calls to the counter service that ended since the last record: all, timed out, and rejected or failed.
        #[serde(rename = "calls")]
        counter_calls: [u32; 3],
        /// The state of each node.
        nodes: Vec<NodeState>,
    },
}

/// The state of a node as an ingress sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeState {
    /// Name of the node.
    #[serde(rename = "node")]
    pub name: String,
    /// Whether the ingress uses the node.
    #[serde(rename = "belief")]
    pub health: NodeHealth,
    /// Response times of the node relative to the usual ones of all nodes.
    #[serde(rename = "slow")]
    pub relative_latency: f64,
    /// Fraction of attempts that failed.
    #[serde(rename = "fails")]
    pub failure_rate: f64,
    /// Attempts in flight to the node.
    #[serde(rename = "out")]
    pub in_flight: u32,
}

/// Whether an ingress uses a node. The names of the variants appear in records and in reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeHealth {
    /// The node gets its full share of requests.
    Ready,
    /// The node is warming up and gets a smaller share (slow start).
    Cold,
    /// The node is ejected because of failures, or gets a single attempt after that.
    LeftOut,
    /// The node is draining, was removed, or was ejected by an operator.
    Away,
}

impl Record {
    /// When the record was written, in microseconds of Unix time.
    pub fn timestamp(&self) -> u64 {
        match self {
            Record::Final { timestamp, .. }
            | Record::Attempt { timestamp, .. }
            | Record::State { timestamp, .. } => *timestamp,
        }
    }

    /// Encodes the record as a line of a log, without an end of line.
    ///
    /// # Errors
    /// If the record can't be encoded, which is not known to happen for any value of this type.
    pub fn to_log_line(&self) -> serde_json::Result<String> {
        Ok(format!("{RECORD_PREFIX}{}", serde_json::to_string(self)?))
    }

    /// Decodes a line of a log. `None`: the line contains no record.
    ///
    /// # Errors
    /// If the record in the line is truncated or damaged.
    pub fn parse_log_line(line: &str) -> Option<serde_json::Result<Record>> {
        let (_, record) = line.split_once(RECORD_PREFIX)?;
        Some(serde_json::from_str(record))
    }
}
