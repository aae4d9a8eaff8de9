//! Decisions about rate limit questions, without input or output and without a clock. The quota itself is the
//! decision module's; here is what a question is about ([`Mapping`]), whether a try has been counted before
//! ([`claim`]), how the answers for several descriptors become one ([`verdict`]), and what an outside server's
//! answers mean, in time or late ([`consult`]).

#![allow(missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

pub mod breaker;
pub mod claim;
pub mod consult;
mod mapping;
mod question;
pub mod timeout;

pub use mapping::{Domain, Duplicate, Mapping, Rule, Unknown};
pub use question::{questions, verdict, Asked, Bounds, Fault, Question, Verdict};
