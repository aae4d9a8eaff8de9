//! Updates for proxies: control states, backend lists and memberships.
//!
//! [`ProxyProgress`] decides which updates are due for one proxy. [`StateUpdates`], [`BackendListUpdates`] and
//! [`MembershipUpdates`] encode them, once for all proxies that have the same version: as a change from that version
//! if it is still known, and in full otherwise. `daemon` sends them.

mod backend_list;
mod membership;
mod progress;
mod staleness;
mod state;

pub use backend_list::BackendListUpdates;
pub use membership::{membership_interval, Installation, MembershipUpdates, MEMBERSHIP_INTERVAL};
pub use progress::{is_installed_by_all, LatestVersions, ProxyProgress, ProxyVersions, RESEND_AFTER};
pub use staleness::{StalenessTimers, UpdateKinds, FALLBACK_DELAY, FIRST_FALLBACK_DELAY};
pub use state::StateUpdates;

/// Number of versions that are kept, including the newest. A proxy that has one of them is sent only the change.
const HISTORY_LENGTH: usize = 8;
