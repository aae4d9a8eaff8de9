//! The records of the decision log, and their form in a line of it. The names of fields are keys of that form.

use serde::{Deserialize, Serialize};

/// What a record begins with. A log may put a time or a name before it.
pub const RECORD_PREFIX: &str = "account=";

/// One record. Points in time are microseconds of Unix time, durations are microseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A request has got its final response.
    Final {
        /// When.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Name of the request's class.
        class: String,
        /// Name of the customer's plan.
        plan: String,
        /// Value of its class times priority weight of its plan times its units.
        #[serde(rename = "worth")]
        value: f64,
        /// `served`, `refused`, `failed` or `gone` (the client went away).
        #[serde(rename = "end")]
        outcome: String,
        /// The rule that rejected or failed it; empty where it was served.
        #[serde(rename = "why")]
        reason: String,
        /// From its last byte to the response.
        #[serde(rename = "age")]
        latency: u64,
        /// Latency target of its class.
        #[serde(rename = "aim")]
        latency_target: u64,
        /// Attempts made for it.
        attempts: u8,
    },
    /// An attempt has ended.
    Attempt {
        /// When.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Name of the node.
        node: String,
        /// The outcome, as the decision module names it: `Ok`, `Timeout` and others.
        outcome: String,
        /// From its sending to its end.
        #[serde(rename = "waited")]
        duration: u64,
    },
    /// What the process believes, once a second.
    State {
        /// When.
        #[serde(rename = "at")]
        timestamp: u64,
        /// Process id of the ingress.
        process: u32,
        /// Limit of attempts in flight; 0: none yet.
        #[serde(rename = "room")]
        concurrency_limit: f64,
        /// Attempts in flight.
        #[serde(rename = "out")]
        in_flight: usize,
        /// Response times against the best ones of all nodes.
        #[serde(rename = "pace")]
        relative_latency: f64,
        /// Time between a customer's calls to the counting service, from which on each request calls it.
        #[serde(rename = "spacing")]
        counter_interval: f64,
        /// Errors of the counting service in a row.
        #[serde(rename = "bad")]
        counter_errors: u32,
        /// Calls to the counting service that ended since the last record: all, timed out, and rejected or failed.
        #[serde(rename = "calls")]
        counter_calls: [u32; 3],
        /// Each node.
        nodes: Vec<NodeState>,
    },
}

/// What a process believes of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeState {
    /// Its name.
    #[serde(rename = "node")]
    pub name: String,
    /// Whether it is used.
    #[serde(rename = "belief")]
    pub health: NodeHealth,
    /// Its response times against the usual ones of all nodes.
    #[serde(rename = "slow")]
    pub relative_latency: f64,
    /// Its share of failures.
    #[serde(rename = "fails")]
    pub failure_rate: f64,
    /// Attempts in flight to it.
    #[serde(rename = "out")]
    pub in_flight: u32,
}

/// Whether a process uses a node. The names stand in records and in reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeHealth {
    /// It gets its share.
    Ready,
    /// It is warming up, and gets less (slow start).
    Cold,
    /// It is ejected as it failed, or gets a single attempt after that.
    LeftOut,
    /// It is draining, removed or ejected by an operator.
    Away,
}

impl Record {
    /// When it was written, in microseconds of Unix time.
    pub fn timestamp(&self) -> u64 {
        match self {
            Record::Final { timestamp, .. }
            | Record::Attempt { timestamp, .. }
            | Record::State { timestamp, .. } => *timestamp,
        }
    }

    /// The line of a log for it, without an end of line.
    ///
    /// # Errors
    /// If it can't be encoded, which no value of this type is known to bring about.
    pub fn to_log_line(&self) -> serde_json::Result<String> {
        Ok(format!("{RECORD_PREFIX}{}", serde_json::to_string(self)?))
    }

    /// Reads a line of a log. `None`: it is no record.
    ///
    /// # Errors
    /// If the line is a record that is cut off or damaged.
    pub fn parse_log_line(line: &str) -> Option<serde_json::Result<Record>> {
        let (_, record) = line.split_once(RECORD_PREFIX)?;
        Some(serde_json::from_str(record))
    }
}
