//! Upkeep of the store, by the one control plane that holds its lease.

mod backup;
mod local_lease_client;
mod worker;

pub use backup::BackupPolicy;
pub use local_lease_client::LocalLeaseClient;
pub use worker::UpkeepWorker;
