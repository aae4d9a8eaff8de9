//! Checks that tests can switch off one by one.

/// The checks that make reconfiguration safe. A store always has all of them.
///
/// Hidden from the documentation: only the tests of this crate switch a check off, to show that the faults it prevents
/// are found by the simulation and the model checker. Without these negative controls a passing test would not show
/// that it looks in the right place.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A replica set also needs a majority of the voters of the replica sets before it.
    pub previous_majorities: bool,
    /// Only a voter of the newest replica set may lead and hold data.
    pub data_replicas_vote: bool,
    /// Only a learner that has the state gets a vote. For availability alone.
    pub learners_catch_up: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { previous_majorities: true, data_replicas_vote: true, learners_catch_up: true }
    }
}
