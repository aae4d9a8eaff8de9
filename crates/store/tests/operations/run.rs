//! The negative controls and the results of a run.

use crate::proxies::Counts;

/// Checks that are disabled in a run (negative controls).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Controls {
    pub leaders_skip_recovery: bool,
    pub stores_skip_epochs: bool,
    pub learners_skip_records: bool,
    /// Not a check, but a permanent fault: most offers are lost.
    pub offers_are_lost: bool,
}

/// The results of a run, or their sums over several runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Run {
    pub violations: Vec<String>,
    /// Runs in which a new claim was granted after all faults had ended.
    pub recoveries: u64,
    /// Runs in which a majority of the voters lost their disks, with more disks lost at once than are tolerated.
    pub losses_beyond_tolerance: u64,
    pub counts: Counts,
    /// Faults between a claim and its grant.
    pub faults_in_claims: u64,
    /// Faults while an execution was running or its report was not confirmed.
    pub faults_before_records: u64,
    /// Faults while no store was active.
    pub faults_in_takeovers: u64,
    pub leader_changes: u64,
    pub voter_changes: u64,
}

impl Run {
    pub(crate) fn add(&mut self, other: &Run) {
        self.recoveries += other.recoveries;
        self.losses_beyond_tolerance += other.losses_beyond_tolerance;
        self.counts.executed += other.counts.executed;
        self.counts.replayed += other.counts.replayed;
        self.counts.rejected_in_progress += other.counts.rejected_in_progress;
        self.counts.unknown += other.counts.unknown;
        self.counts.given_up += other.counts.given_up;
        self.counts.released_after_grant += other.counts.released_after_grant;
        self.faults_in_claims += other.faults_in_claims;
        self.faults_before_records += other.faults_before_records;
        self.faults_in_takeovers += other.faults_in_takeovers;
        self.leader_changes += other.leader_changes;
        self.voter_changes += other.voter_changes;
    }
}
