//! Communication between the system's own processes: stores, registries and proxies.
//!
//! - [`messages`]: the typed messages; [`codec`] and [`compression`] turn them into bytes, [`chunks`] into frames; [`error`]
//!   says why they could not.
//! - [`connection`]: connections that are kept up and found dead by a time-out, over the streams of [`net`]; [`peers`]:
//!   such connections to a set of peers that grows.
//! - [`daemon`] and [`lifecycle`]: how each process starts, gets new settings and shuts down; [`log`]: its log.
//! - [`environment`]: what an emulation installs in place of the operating system's network and disks.
//!
//! Nothing is decided here: which message is sent when is up to the crates of the daemons.

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
pub mod peers;
mod settings_watcher;
