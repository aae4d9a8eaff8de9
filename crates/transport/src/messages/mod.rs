//! The messages between stores, registries and proxies, as MessagePack. Times are told as ages: no two machines' clocks
//! are compared.

mod control;
mod proxies;
mod stores;

pub use control::*;
pub use proxies::*;
pub use stores::*;
