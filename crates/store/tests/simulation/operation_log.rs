//! A simulated operation log: synced records and pending appends.

use violetyoke_store::operations::AppendNumber;
use violetyoke_transport::messages::OperationRecord;

/// An append that is not synced yet.
pub(super) struct PendingAppend {
    pub(super) number: AppendNumber,
    pub(super) records: Vec<OperationRecord>,
}

/// The operation log of a machine.
#[derive(Default)]
pub struct OperationLog {
    pub(super) synced: Vec<OperationRecord>,
    pub(super) pending: Vec<PendingAppend>,
    pub(super) is_syncing: bool,
}

impl OperationLog {
    pub(super) fn wipe(&mut self) {
        *self = OperationLog::default();
    }

    /// The process dies: the first `kept` pending appends are on the disk, the others are lost.
    pub(super) fn lose_pending(&mut self, kept: u64) {
        for append in self.pending.drain(..).take(kept as usize) {
            self.synced.extend(append.records);
        }
        self.is_syncing = false;
    }

    pub(super) fn complete(&mut self, number: AppendNumber) {
        self.is_syncing = false;
        while self.pending.first().is_some_and(|append| append.number <= number) {
            self.synced.extend(self.pending.remove(0).records);
        }
    }
}
