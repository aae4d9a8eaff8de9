//! Decisions about rate limit questions, without input or output and without a clock. The quota itself is the
//! decision module's; here is what a question is about ([`Mapping`]), whether a try has been counted before
//! ([`claim`]), and how the answers for several descriptors become one ([`verdict`]).

pub mod claim;
mod mapping;
mod question;
pub mod timeout;

pub use mapping::{Domain, Duplicate, Mapping, Rule, Unknown};
pub use question::{questions, verdict, Asked, Bounds, Fault, Question, Verdict};
