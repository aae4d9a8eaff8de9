//! Faults of a holder that tests inject.

/// Faults that tests inject into a [`LeaseHolder`](crate::LeaseHolder), to prove that checks detect them. They can be
/// set only with the crate's feature `test-faults`, which no released program has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct InjectedFaults {
    /// Whether a lease's time counts from the response instead of the request.
    pub counts_from_response: bool,
    /// Whether leases are renewed even if their work makes no progress.
    pub renews_without_progress: bool,
}
