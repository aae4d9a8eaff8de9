//! Why a snapshot is rejected.

use thiserror::Error;

/// Why a snapshot is rejected. The directory that it was for stays in force.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// No JSON, or not of this shape: truncated, or something else.
    #[error("not readable: {0}")]
    Unreadable(#[source] serde_json::Error),
    /// It has another format than this program reads.
    #[error("format {found} is not known, only {supported}")]
    UnsupportedFormat {
        /// Its format.
        found: u32,
        /// The format that this program reads.
        supported: u32,
    },
    /// Its content was changed after it was made.
    #[error("its sum is not that of what it holds")]
    ChecksumMismatch,
    /// It is older than the directory.
    #[error("revision {offered} is older than {held}, which is held")]
    OlderRevision {
        /// Revision of the directory.
        held: u64,
        /// Revision of the snapshot.
        offered: u64,
    },
    /// It is incremental, and starts from another revision than the directory's.
    #[error("it changes revision {base}, and {held} is held")]
    BaseMismatch {
        /// Revision of the directory.
        held: u64,
        /// The revision that it changes.
        base: u64,
    },
    /// A tenant of it is not valid.
    #[error("tenant {name:?}: {problem}")]
    Tenant {
        /// Name of the tenant.
        name: String,
        /// What is wrong with it.
        problem: TenantProblem,
    },
}

/// What is wrong with a tenant of a snapshot.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantProblem {
    /// A field of the tenant, or of one of its resources.
    #[error("{field}: {reason}")]
    Field {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Names of plans have to be unique in a tenant.
    #[error("two plans have one name")]
    DuplicatePlan,
    /// Names of accounts have to be unique in a tenant.
    #[error("account {0:?} stands there twice")]
    DuplicateAccount(String),
    /// An account refers to a plan that the tenant doesn't have.
    #[error("account {account:?} has plan {plan:?}, which is not there")]
    UnknownPlan {
        /// The account.
        account: String,
        /// The plan.
        plan: String,
    },
    /// Hosts tell tenants apart: two with the same would serve each other's requests.
    #[error("host {host:?} is tenant {other:?}'s too")]
    SharedHost {
        /// The host.
        host: String,
        /// The other tenant.
        other: String,
    },
}
