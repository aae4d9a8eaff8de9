//! State of customers, requests and counter calls. Nothing is decided here.

use crate::interface::*;
use crate::primitives::{Deadlines, DecayingSum, SweepMap};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// State of quotas.
#[derive(Default)]
pub(crate) struct Quota {
    pub(crate) customers: SweepMap<Customer>,
    /// Calls in flight by counter, in the order in which they were made.
    pub(crate) calls: BTreeMap<u64, VecDeque<Call>>,
}

/// A customer's units over all gateways, as far as they are known here.
#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    /// Gateways that receive its requests: this many, from the first on.
    pub(crate) gateway_count: f64,
    pub(crate) first_gateway: u16,
    /// Number of the current window: time divided by its length.
    pub(crate) window: u64,
    /// Latest counter total of the current window (units).
    pub(crate) total: f64,
    /// Units of this gateway in the current window that the total does not contain yet.
    pub(crate) unconfirmed: f64,
    /// Units of this gateway in the current window that the counter has added.
    pub(crate) added: f64,
    /// Units that this gateway has admitted and not yet added to the counter; below 0: to be taken back.
    pub(crate) unreported: f64,
    /// Units of the previous window.
    pub(crate) previous: f64,
    /// The window into which units were carried when the settings changed: its total lacks them.
    pub(crate) carried_in: u64,
    /// The units of the previous window are a counter total, or complete for another reason.
    pub(crate) previous_known: bool,
    /// A call for the total of the previous window was made, and has not failed.
    pub(crate) previous_queried: bool,
    /// Share of its requests that are rejected without a counter total; see [`crate::peer_updates`].
    pub(crate) excess_share: f64,
    /// Time of the latest counter call for it.
    pub(crate) queried_at: Micros,
    /// Time of the latest counter total; 0: none.
    pub(crate) total_at: Micros,
    /// The last window in which this gateway was its home and counted for other gateways.
    pub(crate) home_window: u64,
    /// Queries to this home that wait for a total: gateway, its request, units.
    #[serde(skip)]
    pub(crate) queries: Vec<(u16, RequestId, f64)>,
    /// Level of its leaky bucket (units), from which the plan's rate leaks.
    pub(crate) bucket: f64,
    /// Time for which the level holds.
    pub(crate) bucket_at: Micros,
    /// Estimate of this gateway's share of the customer's units (0 to 1).
    pub(crate) share: f64,
    /// Units of this gateway are divided by the share to estimate those of all.
    pub(crate) scaled: bool,
    /// Units that may be admitted without a counter total.
    pub(crate) allowance: f64,
    /// Time at which the allowance was last refilled.
    pub(crate) allowance_at: Micros,
    /// Units of peer updates that no total contains yet; below 0: units of totals that no update has stated
    /// yet.
    pub(crate) peer_units: f64,
    /// Units of this gateway that the next peer update will state.
    pub(crate) unannounced: f64,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Requests that wait for a counter total.
    #[serde(skip)]
    pub(crate) awaiting_total: Vec<RequestId>,
    /// Requests that have no final response yet.
    pub(crate) open_requests: u32,
    pub(crate) last_request_at: Micros,
}

/// A counter call in flight.
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) window: u64,
    /// Units that it adds.
    pub(crate) amount: f64,
    /// The request whose units are part of it and that waits for its total.
    pub(crate) request: Option<RequestId>,
}

impl Customer {
    /// Part of the customer's units by which this gateway's are divided; 1 where they are not scaled up, and
    /// at a home, which counts for all.
    pub(crate) fn scale(&self) -> f64 {
        let homed = self.home_window > 0 && self.home_window + 1 >= self.window;
        Some(self.share).filter(|_| self.scaled && !homed).unwrap_or(1.0)
    }
}

/// Position in the queue: rank, time at which the request leaves the queue, request.
pub(crate) type QueuePosition = (Reverse<u64>, Micros, RequestId);

/// A request without a final response.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) arrived: Micros,
    pub(crate) stage: Stage,
    /// Its position in the queue, while it is queued.
    pub(crate) position: QueuePosition,
    /// Counter total that contains its units, once it is known.
    pub(crate) total: Option<f64>,
    /// The window to which its counter call adds.
    pub(crate) call_window: u64,
    /// The home gateway that counts it.
    pub(crate) home: Option<u16>,
    /// Home gateways tried.
    pub(crate) homes_tried: u8,
    /// The window in which its units count, once it is admitted.
    pub(crate) charged_window: Option<u64>,
    /// Attempts sent.
    pub(crate) attempts: u8,
    /// Backend and time of the first attempt that may have been executed.
    pub(crate) may_have_run: Option<(BackendId, Micros)>,
}

/// Stage of an open request.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Stage {
    /// It is not decided yet whether its quota admits it.
    #[default]
    Deciding,
    /// Admitted, and waiting for a backend.
    Queued,
    /// An attempt is in flight, or an admission-only request is admitted.
    Sent,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) class: usize,
    pub(crate) customer: CustomerId,
    pub(crate) sent_at: Micros,
}

/// Open requests and attempts in flight.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) open: BTreeMap<RequestId, OpenRequest>,
    /// By request and number of the attempt.
    pub(crate) in_flight: BTreeMap<(RequestId, u8), Attempt>,
    /// Queued requests: highest value for the work first, then the earliest to leave the queue.
    pub(crate) queue: BTreeSet<QueuePosition>,
    /// Time at which each request is decided without a total, or rejected from the queue.
    pub(crate) deadlines: Deadlines,
    /// Time of the timer that is set.
    pub(crate) timer_at: Option<Micros>,
}

/// Health of the counter service, by its calls.
#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct CounterHealth {
    /// Time after the last counter call from which a customer at its limit queries the counter with its next
    /// request (us); before it, requests query at random. 0: every request queries.
    pub(crate) query_interval: DecayingSum,
    /// Time at which the interval was last raised.
    pub(crate) interval_raised_at: Micros,
    /// Failed calls in a row.
    pub(crate) failures: u32,
    /// Time of its fastest responses (us; 0: none yet), which rises with each response.
    pub(crate) fastest: f64,
}
