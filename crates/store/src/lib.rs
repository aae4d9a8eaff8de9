//! The store of configuration. `register` decides, apart from sockets, clocks and disks; `disk` keeps what it must not
//! forget; `daemon` is the process round both.

pub mod daemon;
pub mod disk;
pub mod register;
