//! The registry: the process on each core machine that proxies, operators and clients talk to.
//!
//! The registry keeps a session with each proxy, sends proxies the control state, the list of backends and the
//! membership, and counts the requests of the tenants whose quota shards it owns. It polls the platform for the list
//! of backends. Its HTTP API takes commands of operators, which it forwards to the leading store, and queries of
//! clients that need the address of a proxy.
//!
//! The registry has no persistent state and does not decide about the control state, which the stores replicate.
//! After a restart it receives everything again from stores, proxies and its peers.
//!
//! The modules below contain the logic, without sockets and clocks; [`daemon`] is the process that runs them:
//!
//! - [`sessions::Sessions`]: the proxies that have a session;
//! - [`backend_list::BackendListCache`]: the newest list of backends, and when to poll for the next;
//! - [`updates`]: which updates are due for a proxy, and their encoded messages;
//! - [`commands::CommandDispatcher`]: forwards operators' commands to the leading store;
//! - [`operation_relay::OperationRelay`]: forwards proxies' requests about operations to the leading store;
//! - [`response_reads::ResponseReads`]: reads responses from the proxies that received them;
//! - [`refusals::RefusalTracker`]: decides which refusals of configurations are logged;
//! - [`quota_shards::QuotaShards`]: the request counters of tenants;
//! - [`core_contact::CoreContact`]: whether the registry is in contact with the majority of the core.

pub mod backend_list;
pub mod commands;
pub mod core_contact;
pub mod daemon;
pub mod operation_relay;
pub mod operator_policy;
pub mod platform;
pub mod quota_shards;
pub mod refusals;
pub mod response_reads;
pub mod sessions;
pub mod updates;

/// Milliseconds of a clock that only advances.
pub type Millis = u64;
