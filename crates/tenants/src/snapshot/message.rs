//! Snapshots, as they are sent and stored.

use super::error::SnapshotError;
use super::view::TenantView;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The format that this program writes and reads.
pub const FORMAT: u32 = 1;

/// All tenants, or the changes of them since a revision.
#[expect(missing_docs, reason = "comments of fields would change docs/api.json")]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct Snapshot {
    pub format: u32,
    /// None for a full snapshot, which has all tenants; otherwise the revision since which the tenants have changed.
    pub base: Option<u64>,
    pub revision: u64,
    pub tenants: Vec<TenantView>,
    /// The tenants that were removed since `base`; empty in a full snapshot.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    /// The SHA-256 checksum of all fields above, as 64 hex digits.
    pub sum: String,
}

impl Snapshot {
    /// Creates a snapshot with its checksum. `base` is the revision that it is based on, or `None` for a full one; `removed`
    /// are the tenants that were removed since `base`.
    pub fn new(base: Option<u64>, revision: u64, tenants: Vec<TenantView>, removed: Vec<String>) -> Snapshot {
        let mut snapshot = Snapshot { format: FORMAT, base, revision, tenants, removed, sum: String::new() };
        snapshot.sum = snapshot.checksum_of_content();
        snapshot
    }

    fn checksum_of_content(&self) -> String {
        let mut hasher = Sha256::new();
        // All fields except the checksum.
        for part in [
            serde_json::to_vec(&(self.format, self.base, self.revision)),
            serde_json::to_vec(&self.tenants),
            serde_json::to_vec(&self.removed),
        ] {
            // Strings, numbers and lists always encode. If one did not, both sides would omit it.
            if let Ok(bytes) = part {
                hasher.update(bytes);
            }
            hasher.update([0]);
        }
        hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses a snapshot. It must not be used before [`TenantDirectory::apply`](super::TenantDirectory::apply) has validated
    /// it.
    ///
    /// # Errors
    /// If the text is not JSON of this type, or has another format.
    pub fn parse(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        // The format is checked first, as snapshots of other formats may have other fields.
        #[derive(Deserialize)]
        struct FormatOnly {
            format: u32,
        }
        let FormatOnly { format } = serde_json::from_slice(bytes).map_err(SnapshotError::Unreadable)?;
        check_format(format)?;
        serde_json::from_slice(bytes).map_err(SnapshotError::Unreadable)
    }

    /// Checks the format and the checksum.
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
