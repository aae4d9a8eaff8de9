//! Chooses one of the backends that are eligible for an attempt.
//!
//! If this proxy knows the load of most backends, the one with the lowest cost gets the attempt. If it knows
//! the load of few, the lowest cost is often due to chance, and all proxies together would overload a few
//! backends. The attempt then goes to the lowest cost of a random sample (the power of two choices;
//! Mitzenmacher 2001). A sample is taken from each distance class, so that it never consists of distant
//! backends only.

use crate::backend::{Backend, LoadKnowledge};
use crate::rng::SplitMix64;

/// Smallest sample from the backends at one distance.
const MIN_SAMPLE: usize = 2;

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Id of the backend that gets the attempt.
    Backend(String),
    /// Backends are eligible, but none has free capacity.
    AtCapacity,
    /// No known backend is eligible.
    NoBackend,
}

/// Network distance of a backend from this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Expected cost (ms) and the backend.
type Candidate<'a> = (f64, &'a Backend);

/// The backends that were found eligible for an attempt.
#[derive(Default)]
pub(crate) struct Candidates<'a> {
    pub(crate) any_eligible: bool,
    /// Indexed by [`Distance`].
    by_distance: [Vec<Candidate<'a>>; 3],
    /// Number of candidates whose load is known.
    known: usize,
    /// The cheapest candidate that has recently reported a free slot. Each load report reaches one proxy
    /// only, so a report never sends several proxies to the same backend (compare join-idle-queue; Lu et al.
    /// 2011).
    cheapest_free: Option<Candidate<'a>>,
    /// The ejected backend without attempts in flight whose ejection ends first.
    first_to_return: Option<&'a Backend>,
}

impl<'a> Candidates<'a> {
    pub(crate) fn offer(
        &mut self,
        cost: f64,
        backend: &'a Backend,
        distance: Distance,
        knowledge: LoadKnowledge,
    ) {
        self.by_distance[distance as usize].push((cost, backend));
        self.known += usize::from(knowledge != LoadKnowledge::Unknown);
        let is_cheaper = self.cheapest_free.is_none_or(|(least, _)| cost < least);
        if knowledge == LoadKnowledge::Free && is_cheaper {
            self.cheapest_free = Some((cost, backend));
        }
    }

    pub(crate) fn offer_ejected(&mut self, backend: &'a Backend) {
        let returns_earlier =
            |other: &Backend| backend.outlier.ejected_until() < other.outlier.ejected_until();
        if backend.in_flight == 0 && self.first_to_return.is_none_or(returns_earlier) {
            self.first_to_return = Some(backend);
        }
    }

    /// If all backends are ejected, one of them is probed instead of rejecting the request.
    pub(crate) fn into_selection(mut self, rng: &SplitMix64) -> Selection {
        match self.cheapest_of_samples(rng).or(self.first_to_return) {
            Some(backend) => Selection::Backend(backend.id.clone()),
            None if self.any_eligible => Selection::AtCapacity,
            None => Selection::NoBackend,
        }
    }

    fn cheapest_of_samples(&mut self, rng: &SplitMix64) -> Option<&'a Backend> {
        let count: usize = self.by_distance.iter().map(Vec::len).sum();
        let known_fraction = self.known as f64 / count.max(1) as f64;
        let samples = self.by_distance.iter_mut().flat_map(|candidates| {
            let size = sample_size(candidates.len(), known_fraction);
            sample(candidates, size, rng)
        });
        let compared = samples.chain(self.cheapest_free.iter());
        compared.min_by(|(cost, _), (other, _)| cost.total_cmp(other)).map(|(_, backend)| *backend)
    }
}

/// How many of `count` backends are compared. The sample grows from [`MIN_SAMPLE`] to all backends with the
/// fraction of backends whose load is known.
fn sample_size(count: usize, known_fraction: f64) -> usize {
    let compared = MIN_SAMPLE + (known_fraction * known_fraction * count as f64).round() as usize;
    compared.min(count)
}

/// A random sample without replacement (the first steps of a Fisher-Yates shuffle).
fn sample<'a, 'b>(candidates: &'b mut [Candidate<'a>], size: usize, rng: &SplitMix64) -> &'b [Candidate<'a>] {
    if size < candidates.len() {
        for index in 0..size {
            let remaining = candidates.len() - index;
            let offset = (rng.sample_uniform() * remaining as f64) as usize;
            candidates.swap(index, index + offset.min(remaining - 1));
        }
    }
    &candidates[..size]
}
