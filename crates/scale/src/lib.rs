//! Scale runs: what each role costs at several sizes of a system.
//!
//! A [`testbed`] has real registries, stores and a few real proxies as processes on loopback addresses, and before them
//! any number of *simulated proxies*: the [`protocol`] of a proxy on real sockets, without its data plane ([`load`]). The
//! [`phases`] of a step measure what each role spends; [`record`] keeps it, [`fit`] says how each figure grows, and
//! [`page`] writes the tables that `docs/CAPACITY.md` quotes.
//!
//! Times of a simulated proxy are those of its messages: it decodes no configuration and serves no request.

pub mod documents;
mod figures;
pub mod fit;
pub mod installations;
pub mod load;
mod number_format;
mod observations;
pub mod page;
pub mod phases;
pub mod protocol;
pub mod record;
mod role_costs;
mod row_costs;
mod simulated_proxy;
pub mod testbed;
mod traffic;
pub mod usage;

pub use number_format::format_number;
pub use row_costs::{row_cost_table, slope};
