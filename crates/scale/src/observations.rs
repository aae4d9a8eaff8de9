//! What all simulated proxies report.

use crate::installations::Installations;
use crate::traffic::Traffic;
use std::sync::atomic::{AtomicUsize, Ordering};
use violetyoke_transport::messages::{ListDigest, Revision};

/// Shared by all threads of simulated proxies.
#[derive(Debug, Default)]
pub struct Observations {
    pub(crate) traffic: Traffic,
    /// Installations of control states.
    pub(crate) states: Installations<Revision>,
    /// Installations of backend lists.
    pub(crate) lists: Installations<ListDigest>,
    /// Proxies that are settled.
    pub(crate) settled: AtomicUsize,
    /// Proxies that know all members.
    pub(crate) complete: AtomicUsize,
    /// How many members there are in all.
    pub(crate) members: AtomicUsize,
}

impl Observations {
    /// How many proxies have all that they need to serve.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.settled.load(Ordering::Relaxed)
    }

    /// How many proxies know all members.
    #[must_use]
    pub fn complete(&self) -> usize {
        self.complete.load(Ordering::Relaxed)
    }
}
