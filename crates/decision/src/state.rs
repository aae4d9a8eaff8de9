//! What is held of customers, requests and calls. Nothing is decided here.

use crate::interface::*;
use crate::primitives::{Deadlines, DecayingSum, SweepMap};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Customers' use, and the calls that tell it.
#[derive(Default)]
pub(crate) struct Quota {
    pub(crate) customers: SweepMap<Customer>,
    pub(crate) calls: BTreeMap<u64, VecDeque<Call>>,
}

/// What is known of one customer's use, over all gateways.
#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) gateway_count: f64,
    pub(crate) first_gateway: u16,
    pub(crate) window: u64,
    /// Total of the current window as last told, own units not yet in it, and those the counter has added.
    pub(crate) total: f64,
    pub(crate) unconfirmed: f64,
    pub(crate) added: f64,
    /// Own units sent on that are still to be added.
    pub(crate) unreported: f64,
    pub(crate) previous: f64,
    /// The window that use was carried into at changed settings, which the counter does not show.
    pub(crate) carried_in: u64,
    pub(crate) previous_known: bool,
    pub(crate) previous_queried: bool,
    /// Share of its requests that go beyond the quota; when one last asked, and when a total was last told.
    pub(crate) excess_share: f64,
    pub(crate) queried_at: Micros,
    pub(crate) total_at: Micros,
    /// The last window in which this gateway counted for the customer's others, and what they ask meanwhile.
    pub(crate) home_window: u64,
    #[serde(skip)]
    pub(crate) queries: Vec<(u16, RequestId, f64)>,
    /// Units that the quota has not yet refilled, as their coming was watched, and up to when.
    pub(crate) bucket: f64,
    pub(crate) bucket_at: Micros,
    /// This gateway's part of the customer's units, and whether that tells of the others'.
    pub(crate) share: f64,
    pub(crate) scaled: bool,
    /// What may be sent untold, and when that was last filled.
    pub(crate) allowance: f64,
    pub(crate) allowance_at: Micros,
    /// Units that peers told of and no total shows yet (below 0: shown before told), and own ones to tell of.
    pub(crate) peer_units: f64,
    pub(crate) unannounced: f64,
    pub(crate) in_flight: u32,
    #[serde(skip)]
    pub(crate) awaiting_total: Vec<RequestId>,
    /// Its requests that are not over, and when the last one came.
    pub(crate) open_requests: u32,
    pub(crate) last_request_at: Micros,
}

/// A call to the counter that is not answered yet.
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) window: u64,
    pub(crate) amount: f64,
    pub(crate) request: Option<RequestId>,
}

impl Customer {
    /// The part of the customer's units that own ones are taken for.
    pub(crate) fn scale(&self) -> f64 {
        let homed = self.home_window > 0 && self.home_window + 1 >= self.window;
        Some(self.share).filter(|_| self.scaled && !homed).unwrap_or(1.0)
    }
}

pub(crate) type QueuePosition = (Reverse<u64>, Micros, RequestId);

#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) arrived: Micros,
    pub(crate) stage: Stage,
    /// Its place in the queue, while it is held.
    pub(crate) position: QueuePosition,
    /// Total told with its units, once told.
    pub(crate) total: Option<f64>,
    /// The window that its call adds to.
    pub(crate) call_window: u64,
    /// The home that it is counted at, and homes tried.
    pub(crate) home: Option<u16>,
    pub(crate) homes_tried: u8,
    /// The window that its units count in, once let in.
    pub(crate) charged_window: Option<u64>,
    pub(crate) attempts: u8,
    /// Backend and time of the first attempt that may have run.
    pub(crate) may_have_run: Option<(BackendId, Micros)>,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Stage {
    #[default]
    Deciding,
    Queued,
    Sent,
}

pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) class: usize,
    pub(crate) customer: CustomerId,
    pub(crate) sent_at: Micros,
}

/// Requests that are not over.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) open: BTreeMap<RequestId, OpenRequest>,
    pub(crate) in_flight: BTreeMap<(RequestId, u8), Attempt>,
    /// Held requests: most worth for its work first, then the one to be given up soonest.
    pub(crate) queue: BTreeSet<QueuePosition>,
    pub(crate) deadlines: Deadlines,
    /// The earliest timer that is set.
    pub(crate) timer_at: Option<Micros>,
}

/// What calls to the counter have told of it.
#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct CounterHealth {
    /// Time between a customer's calls from which each of its requests asks (us); 0: each does.
    pub(crate) query_interval: DecayingSum,
    pub(crate) interval_raised_at: Micros,
    pub(crate) failures: u32,
    /// Time of its quickest answers (us; 0: none yet).
    pub(crate) fastest: f64,
}
