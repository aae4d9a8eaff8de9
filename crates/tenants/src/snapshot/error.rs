//! Errors of snapshots. Their texts are sent to the control plane, and must not change.

use thiserror::Error;

/// Why a snapshot is rejected. The present directory stays in force.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The text is truncated, not JSON, or JSON of another type.
    #[error("not readable: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// This program does not read the format of the snapshot.
    #[error("format {found} is not known, only {supported}")]
    UnsupportedFormat {
        /// The format of the snapshot.
        found: u32,
        /// The format that this program reads.
        supported: u32,
    },
    /// The content was changed after the checksum was made.
    #[error("its sum is not that of what it holds")]
    ChecksumMismatch,
    /// The snapshot is older than the directory.
    #[error("revision {offered} is older than {current}, which is held")]
    OlderRevision {
        /// The revision of the directory.
        current: u64,
        /// The revision of the snapshot.
        offered: u64,
    },
    /// The snapshot is incremental, and its base is not the revision of the directory.
    #[error("it changes revision {base}, and {current} is held")]
    BaseMismatch {
        /// The revision of the directory.
        current: u64,
        /// The revision that the snapshot is based on.
        base: u64,
    },
    /// A tenant is invalid.
    #[error("tenant {name:?}: {problem}")]
    Tenant {
        /// The name of the tenant.
        name: String,
        /// Why it is invalid.
        problem: TenantProblem,
    },
}

/// Why a tenant of a snapshot is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantProblem {
    /// A field of the tenant or of one of its resources is invalid.
    #[error("{field}: {reason}")]
    Field {
        /// The path of the field.
        field: String,
        /// Why it is invalid.
        reason: String,
    },
    /// Two plans have the same name.
    #[error("two plans have one name")]
    DuplicatePlan,
    /// Two accounts have the same name.
    #[error("account {0:?} stands there twice")]
    DuplicateAccount(String),
    /// An account refers to a plan that the tenant does not have.
    #[error("account {account:?} has plan {plan:?}, which is not there")]
    UnknownPlan {
        /// The account.
        account: String,
        /// The plan.
        plan: String,
    },
    /// Two tenants have the same host. Requests are assigned to tenants by host, so they would get each other's requests.
    #[error("host {host:?} is tenant {other:?}'s too")]
    SharedHost {
        /// The host.
        host: String,
        /// The other tenant.
        other: String,
    },
}
