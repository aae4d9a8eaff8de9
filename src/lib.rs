//! The decisions of a quota-keeping gateway for a shared API.
//!
//! [`Gateway`] is a state machine without input or output of its own: it is handed [`Event`]s with the
//! time they happened and appends the [`Action`]s it wants carried out. Its limiter is the sliding
//! tail: each request adds its units to its customer's count of the current window on a shared counter
//! service, the previous window weighs in by its unelapsed fraction, and what goes past the limit is
//! refused at once.
//!
//! ```
//! use nettlehub::interface::{Action, Class, Effect, Event, Group, Plan, Request, Settings};
//! use nettlehub::Gateway;
//!
//! let class = Class {
//!     aim: 500_000, aim_stretch: 0.0, deadline: 2_000_000, effect: Effect::Safe, group: Group::All,
//!     repeat_window: 0, late_value: 0.0, value: 1.0, streamed: false,
//! };
//! let plan = Plan { rate: 5.0, burst: 10.0, worth: 1.0, ..Plan::default() };
//! let settings = Settings { gateways: 1, classes: vec![class], plans: vec![plan], ..Settings::default() };
//! let mut gateway = Gateway::new(settings, 7);
//! let request = Request {
//!     id: 1, class: 0, plan: 0, customer: 42, units: 1.0, spread: 1.0, first_gateway: 0.0,
//!     budget: 2_000_000, repeat: false, write: false,
//! };
//! let mut actions = Vec::new();
//! gateway.handle(1_000_000, Event::Request(request), &mut actions);
//! gateway.handle(2_000_000, Event::Timer { token: 0 }, &mut actions);
//! // No backend was ever listed, so the request ends refused, which is safe: it never ran.
//! assert!(actions.iter().any(|action| matches!(action, Action::Refuse { request: 1, .. })));
//! ```
//!
//! [`Event`]: interface::Event
//! [`Action`]: interface::Action

pub mod interface;
pub mod logic;
pub mod net;
pub mod wire;

pub use logic::Gateway;
