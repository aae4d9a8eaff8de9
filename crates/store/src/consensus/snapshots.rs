//! The snapshots that the leader has sent to learners.

use super::event::Millis;
use std::collections::BTreeMap;
use violetyoke_transport::messages::{Revision, StoreId};

/// The leader sends a snapshot again after this time if the learner has not persisted it.
const SNAPSHOT_RETRY: Millis = 1_000;

#[derive(Clone, Debug)]
struct SentSnapshot {
    revision: Revision,
    sent_at: Millis,
}

/// The last snapshot that was sent to each learner, by the learner's id.
#[derive(Clone, Debug, Default)]
pub(super) struct SentSnapshots(BTreeMap<StoreId, SentSnapshot>);

impl SentSnapshots {
    /// Whether a state newer than `persisted`, the newest one that the learner reports, was sent within the retry time.
    pub(super) fn is_in_flight(&self, learner: StoreId, persisted: Revision, now: Millis) -> bool {
        self.0
            .get(&learner)
            .is_some_and(|sent| persisted < sent.revision && now < sent.sent_at + SNAPSHOT_RETRY)
    }

    pub(super) fn record(&mut self, learner: StoreId, revision: Revision, now: Millis) {
        self.0.insert(learner, SentSnapshot { revision, sent_at: now });
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}
