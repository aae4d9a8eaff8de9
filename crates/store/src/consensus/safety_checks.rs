//! Checks that tests can switch off one by one.

/// The checks that make reconfiguration safe. In production all of them are on.
///
/// Hidden from the documentation: only the tests of this crate switch a check off, to show that the simulation and
/// the model checker find the faults that it prevents. Without these negative controls, a passing test would not show
/// that it can detect these faults.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// To be installed, a replica set also needs a majority of the voters of each earlier set that may not be
    /// installed.
    pub previous_majorities: bool,
    /// Only a voter of the newest replica set may lead and hold data.
    pub data_replicas_vote: bool,
    /// Only a learner that has caught up gets a vote. This protects availability, not safety.
    pub learners_catch_up: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks { previous_majorities: true, data_replicas_vote: true, learners_catch_up: true }
    }
}
