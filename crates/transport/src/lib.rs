//! What the system's own processes say to each other (`messages`), the connections they say it on (`net`, `link`, `chunks`, `frame`), how
//! they begin (`program`, `life`) and log (`log`). Nothing is decided here.

#![allow(
    clippy::let_underscore_must_use,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod changes;
pub mod chunks;
pub mod frame;
pub mod life;
pub mod link;
pub mod log;
pub mod messages;
pub mod net;
pub mod pack;
pub mod program;
pub mod world;
