//! Emulates complete systems in virtual time: the production daemons run on emulated machines through days (scenarios)
//! of random faults, and rules are checked against what clients, backends and the operator observed.
//!
//! - `net`, `emulated_disk` and `process` emulate the machines; `fleet` runs the daemons on them.
//! - `clients`, `backends`, `platform` and `operator` are the environment, and record what they observe in [`records`].
//! - A [`day`] lists [`event`]s and their times; it may be read from a bench file ([`day_file`]). `fault_injection`
//!   applies the events to a [`simulation`] of a [`site`]; `configurations` and `spoiled_numbers` draw what is sent in them.
//! - The [`checker`] finds violated rules; [`trace`] minimizes a day that violates one; [`figures`] has the service
//!   quality of a day, and [`change_costs`] the cost of configuration changes.
//!
//! Processor time is not modelled: figures depend only on network and disk delays, losses and the daemons' decisions.

mod backends;
pub mod change_costs;
pub mod checker;
mod clients;
mod configurations;
pub mod day;
pub mod day_file;
mod emulated_disk;
pub mod event;
mod fault_injection;
pub mod figures;
mod fleet;
mod http_client;
mod log_recorder;
mod net;
mod operator;
mod platform;
mod process;
pub mod records;
pub mod simulation;
pub mod site;
mod spoiled_numbers;
pub mod trace;

pub use emulated_disk::{DiskWrites, EmulatedDisk};
pub use net::{Delays, Traffic};
