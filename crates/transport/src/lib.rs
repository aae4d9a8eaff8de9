//! Communication between the processes of the system: stores, registries and proxies.
//!
//! - [`messages`]: the typed messages. [`codec`] and [`compression`] encode them, [`chunks`] divides them into frames, and
//!   [`error`] has the errors of all three.
//! - [`connection`]: connections that reconnect, and detect dead peers by a time-out, over the streams of [`net`].
//!   [`peers`]: such connections to a growing set of peers.
//! - [`daemon`] and [`lifecycle`]: the start of each process, changes of its settings, and its shutdown. [`log`]: its log;
//!   [`panic_log`]: the lines of a panic in it. [`panic_count`]: counts panics in emulations and tests.
//! - [`environment`]: replaces the operating system's network and disks in an emulation.
//!
//! The crates of the daemons decide when to send which message.

pub mod chunks;
pub mod codec;
pub mod compression;
pub mod connection;
pub mod daemon;
pub mod environment;
pub mod error;
pub mod lifecycle;
pub mod log;
pub mod messages;
pub mod net;
pub mod panic_count;
pub mod panic_log;
pub mod peers;
mod settings_watcher;
