//! What the system's own processes say to each other (`words`), the connections they say it on (`link`, `frame`), and
//! how they log (`log`). Nothing is decided here.

pub mod changes;
pub mod frame;
pub mod link;
pub mod log;
pub mod pack;
pub mod program;
pub mod words;
