//! Fencing at a receiver of operations. Each operation carries the shard and epoch of its lease, and a receiver that
//! has seen a newer epoch of that shard rejects the operation.

use crate::claim::ShardId;
use crate::epoch::Epoch;
use std::collections::BTreeMap;

/// The newest epoch of each shard that a receiver has seen. It has to be kept across restarts of the receiver for as
/// long as the effects of the operations last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    newest: BTreeMap<ShardId, Epoch>,
}

/// An operation was rejected, because the receiver has admitted an operation of a newer owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch: an owner with epoch {newest} has been here")]
pub struct StaleEpoch {
    /// The newest epoch that was seen.
    pub newest: Epoch,
}

impl FencingGuard {
    /// Admits an operation, after which no older epoch of the shard is admitted.
    ///
    /// # Errors
    /// [`StaleEpoch`] if a newer epoch of the shard was admitted before.
    pub fn admit(&mut self, shard: &ShardId, epoch: Epoch) -> Result<(), StaleEpoch> {
        match self.newest.get_mut(shard) {
            Some(newest) if epoch < *newest => Err(StaleEpoch { newest: *newest }),
            Some(newest) => {
                *newest = epoch;
                Ok(())
            }
            None => {
                self.newest.insert(shard.clone(), epoch);
                Ok(())
            }
        }
    }

    /// The newest epoch of a shard that was admitted.
    pub fn newest(&self, shard: &ShardId) -> Option<Epoch> {
        self.newest.get(shard).copied()
    }
}
