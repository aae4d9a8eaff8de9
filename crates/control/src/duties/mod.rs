//! Duties at the control plane: [`desk`] gives out leases by the rules of `violetyoke-ownership`, [`declared`] says
//! which duties there are, [`epochs`] keeps the mark that outlives the store, [`uses`] sums up what tenants use, and
//! [`upkeep`] is the work that control planes own.

pub mod backup;
pub mod declared;
pub mod desk;
mod epochs;
pub mod kept;
pub mod upkeep;
pub mod uses;

pub use desk::Desk;
pub use epochs::Mark;
