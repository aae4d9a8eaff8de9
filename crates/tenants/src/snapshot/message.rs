//! A snapshot as it is sent and stored.

use super::error::SnapshotError;
use super::view::TenantView;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The format that this program writes and reads.
pub const FORMAT: u32 = 1;

/// All tenants, or a part of them.
#[expect(missing_docs, reason = "comments of fields would change docs/api.json")]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct Snapshot {
    pub format: u32,
    /// None: these are all; else what has changed since that revision.
    pub base: Option<u64>,
    pub revision: u64,
    pub tenants: Vec<TenantView>,
    /// Tenants that are no longer there, of a part only.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    /// SHA-256 of all the above, as 64 hex digits.
    pub sum: String,
}

impl Snapshot {
    /// A snapshot with its checksum. `base`: the revision that it changes, or `None` if it is full. `removed`: the tenants
    /// that were removed since `base`.
    pub fn new(base: Option<u64>, revision: u64, tenants: Vec<TenantView>, removed: Vec<String>) -> Snapshot {
        let mut snapshot = Snapshot { format: FORMAT, base, revision, tenants, removed, sum: String::new() };
        snapshot.sum = snapshot.checksum_of_content();
        snapshot
    }

    fn checksum_of_content(&self) -> String {
        let mut hasher = Sha256::new();
        // Field by field, without the checksum itself.
        for part in [
            serde_json::to_vec(&(self.format, self.base, self.revision)),
            serde_json::to_vec(&self.tenants),
            serde_json::to_vec(&self.removed),
        ] {
            // Strings, numbers and lists of them always encode; were one not to, both sides would leave it out alike.
            if let Ok(bytes) = part {
                hasher.update(bytes);
            }
            hasher.update([0]);
        }
        hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads a snapshot. Nothing of it may be used before
    /// [`TenantDirectory::apply`](super::TenantDirectory::apply) has validated it.
    ///
    /// # Errors
    /// If it is no JSON of this shape, or has another format.
    pub fn parse(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        // The format first: a later one may have any shape.
        #[derive(Deserialize)]
        struct FormatOnly {
            format: u32,
        }
        let FormatOnly { format } = serde_json::from_slice(bytes).map_err(SnapshotError::Unreadable)?;
        check_format(format)?;
        serde_json::from_slice(bytes).map_err(SnapshotError::Unreadable)
    }

    /// Checks what can be told from the envelope: its format, and that the content has not changed.
    pub(super) fn check_envelope(&self) -> Result<(), SnapshotError> {
        check_format(self.format)?;
        if self.sum != self.checksum_of_content() {
            return Err(SnapshotError::ChecksumMismatch);
        }
        Ok(())
    }
}

fn check_format(found: u32) -> Result<(), SnapshotError> {
    if found != FORMAT {
        return Err(SnapshotError::UnsupportedFormat { found, supported: FORMAT });
    }
    Ok(())
}
