//! Faults of a holder that tests inject.

/// Faults that tests inject into a [`LeaseHolder`](crate::LeaseHolder), to prove that checks detect them. They can be
/// set only with the crate's feature `test-faults`, which no released program has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct InjectedFaults {
    /// Counts a lease's time from the response instead of the request.
    pub counts_from_response: bool,
    /// Renews leases whether or not their work makes progress.
    pub renews_without_progress: bool,
}
