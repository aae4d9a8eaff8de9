//! The operators' side: what a change would move (`plan`), and their calls (`calls`), as the command line has them
//! (`verbs`), and a store's disk by hand (`store`). Plans are made by the code that the system itself runs on.

#![allow(
    clippy::needless_pass_by_value,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod calls;
pub mod capacity;
pub mod plan;
pub mod store;
pub mod verbs;
