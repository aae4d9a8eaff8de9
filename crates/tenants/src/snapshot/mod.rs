//! Snapshots, with which ingresses receive tenants from the control plane: all tenants at a revision (full), or those that
//! have changed since an earlier revision (incremental). A snapshot is validated completely before any of it is used.

mod directory;
mod error;
mod message;
mod view;

pub use directory::TenantDirectory;
pub use error::{SnapshotError, TenantProblem};
pub use message::{Snapshot, FORMAT};
pub use view::TenantView;
