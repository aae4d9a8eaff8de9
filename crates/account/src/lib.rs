//! An account of what an ingress decided and why: the records that it writes to its log where it is asked to
//! (`VIOLETYOKE_ACCOUNT` is set), and the [`Table`] that is made of the logs of a whole tier.
//!
//! A record is one line of the log: [`MARK`], then JSON. Whatever else stands in a log is passed over.

#![allow(missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod table;

pub use table::Table;

use serde::{Deserialize, Serialize};

/// What a line of the account begins with; a log may put a time or a name before it.
pub const MARK: &str = "account=";

/// One record. Times are Unix time, spans and times in microseconds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A request's final answer.
    Final {
        at: u64,
        process: u32,
        class: String,
        plan: String,
        /// Worth of its class and plan, times its units.
        worth: f64,
        /// `served`, `refused`, `failed` or `gone`.
        end: String,
        /// The rule that gave it up; empty where it was served.
        why: String,
        /// From its last byte to the answer, and the aim of its class.
        age: u64,
        aim: u64,
        attempts: u8,
    },
    /// An attempt that has ended.
    Attempt { at: u64, process: u32, node: String, outcome: String, waited: u64 },
    /// What the process believes, once a second.
    State {
        at: u64,
        process: u32,
        /// Bound on attempts out (0: none yet), attempts out, and answer times against the fleet's best.
        room: f64,
        out: usize,
        pace: f64,
        /// Time between a customer's calls to the counter from which each request asks, and bad answers in a row.
        spacing: f64,
        bad: u32,
        /// Calls to the counter that ended since the last record: all, unanswered in time, turned away or failed.
        calls: [u32; 3],
        nodes: Vec<Node>,
    },
}

/// What a process believes of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Node {
    pub node: String,
    pub belief: Belief,
    /// Its answer times against the fleet's usual ones, and its share of failures.
    pub slow: f64,
    pub fails: f64,
    /// Attempts out at it.
    pub out: u32,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Belief {
    Ready,
    Cold,
    /// Left out for a while, as it failed; or back for one attempt.
    LeftOut,
    /// Draining, gone or out by hand.
    Away,
}

impl Record {
    pub fn at(&self) -> u64 {
        match self {
            Record::Final { at, .. } | Record::Attempt { at, .. } | Record::State { at, .. } => *at,
        }
    }

    /// The line that stands for it in a log.
    pub fn line(&self) -> String {
        // Nothing in it can fail to be written: no maps with keys that are no strings.
        format!("{MARK}{}", serde_json::to_string(self).unwrap_or_default())
    }

    /// The record in a line of a log, if it is one. An error says what is wrong with one that is cut off.
    pub fn read(line: &str) -> Option<Result<Record, serde_json::Error>> {
        let (_, record) = line.split_once(MARK)?;
        Some(serde_json::from_str(record))
    }
}
