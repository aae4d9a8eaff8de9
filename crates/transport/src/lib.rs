//! What the system's own processes say to each other (`messages`), the connections they say it on (`net`, `link`, `chunks`, `frame`), how
//! they begin (`program`, `life`) and log (`log`). Nothing is decided here.

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
