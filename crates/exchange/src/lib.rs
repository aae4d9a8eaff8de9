//! Executes the actions of the decision module, without I/O and without a clock. An exchange keeps the open
//! requests, the attempt in flight for each, calls to the counter service, claims, and all timers.
//!
//! The decision module ([`violetyoke_decision::Gateway`]) chooses the backend and whether to retry. An
//! [`Exchange`] executes these decisions through a [`Port`], which the ingress implements with sockets and the
//! crate `lab` with an emulated fleet. Whatever the module decides, an exchange guarantees for each request:
//!
//! - exactly one final response, by the request's deadline;
//! - at most one attempt in flight, and no more attempts than the limit when the request was accepted;
//! - a response that says whether an attempt may have been executed ([`FinalResponse::Failed`]) or has not been
//!   ([`FinalResponse::Refused`]).
//!
//! An exchange makes no routing decisions, opens no connections and reads no clock: each input carries its
//! time, and [`Exchange::next_due`] returns the time of the next call of [`Exchange::fire_due`].
//!
//! The inputs are [`Exchange::accept_request`], [`Exchange::abandon_request`], [`Exchange::attempt_ended`],
//! [`Exchange::counter_call_ended`], [`Exchange::add_to_claim`], and [`Exchange::enqueue`] for events that
//! concern only the module. After an input, [`Exchange::process_events`] passes the queued events to the module
//! and performs its actions.

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
