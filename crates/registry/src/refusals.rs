//! Refusals of invalid configurations. Operators' clients repeat a command that failed, so a refusal is logged only
//! if it differs from the one before.

use violetyoke_api::ValidationError;

/// Why a configuration was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The version of the configuration, if the document has one.
    pub version: Option<u64>,
    /// The first invalid field, and the reason.
    pub error: ValidationError,
}

/// Remembers the newest refusal.
#[derive(Debug, Default)]
pub struct RefusalTracker {
    latest: Option<Refusal>,
}

impl RefusalTracker {
    /// Records a refusal. Returns whether it differs from the one before.
    pub fn record(&mut self, refusal: Refusal) -> bool {
        let is_new = self.latest.as_ref() != Some(&refusal);
        self.latest = Some(refusal);
        is_new
    }

    /// Forgets the newest refusal, because a valid configuration was received: the next refusal counts as new.
    pub fn clear(&mut self) {
        self.latest = None;
    }
}
