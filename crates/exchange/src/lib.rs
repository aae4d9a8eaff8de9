//! What an ingress keeps open around the decision module, without I/O and without a clock: requests, the attempt in
//! flight for each, calls to the counter service, claims, and the timers of all of them.
//!
//! The decision module ([`violetyoke_decision::Gateway`]) chooses the backend and whether to retry. An [`Exchange`]
//! carries that out over a [`Port`], which the ingress implements over sockets and the laboratory over an emulated
//! fleet. Whatever the module decides, an exchange guarantees for each request:
//!
//! - exactly one final response, by the request's deadline;
//! - at most one attempt in flight, and no more attempts than were allowed when the request was accepted;
//! - a response that says whether an attempt may have been executed ([`FinalResponse::Failed`]) or has not been
//!   ([`FinalResponse::Refused`]).
//!
//! It decides nothing itself, opens no connection and reads no clock: each input carries the time at which it happened,
//! and [`Exchange::next_due`] says when [`Exchange::fire_due`] is to be called.
//!
//! The inputs are [`Exchange::accept_request`], [`Exchange::abandon_request`], [`Exchange::attempt_ended`],
//! [`Exchange::counter_call_ended`], [`Exchange::add_to_claim`], and [`Exchange::enqueue`] for events that concern the
//! module alone. After an input, [`Exchange::process_events`] passes the queued events to the module and performs its
//! actions.

mod attempts;
mod backend_ids;
mod counter;
mod deadlines;
mod dispatch;
mod exchange;
mod port;
mod records;
mod requests;
mod timers;

pub use backend_ids::BackendIds;
pub use exchange::Exchange;
pub use port::{AttemptId, CallId, CallStart, FinalResponse, Port, RequestSummary, SendProgress, Upload};
pub use requests::AcceptedRequest;
