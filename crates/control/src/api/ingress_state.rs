//! What an ingress reports of itself.

use serde::{Deserialize, Serialize};
use utoipa::ToSchema;

/// What an ingress has told of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
pub(super) struct IngressState {
    /// The revision that it runs.
    pub(super) held: u64,
    /// Unix time in milliseconds.
    pub(super) seen_at: u64,
    /// A revision that it did not take, and why.
    pub(super) rejected: Option<u64>,
    pub(super) reason: Option<String>,
}
