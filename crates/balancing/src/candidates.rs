//! The choice among the backends that may get an attempt.
//!
//! Where this proxy knows the load of most backends, the cheapest of all gets the attempt. Where it knows that of few, the
//! cheapest of all would be one of those that look good by chance, and all proxies together would load a few: then the
//! cheapest of a random sample gets it (the power of two choices; Mitzenmacher 2001), drawn in each locality, so that no
//! sample consists of distant backends alone.

use crate::backend::{Backend, LoadKnowledge};
use crate::rng::SplitMix64;

/// The least number of backends of a locality that are compared.
const MIN_SAMPLE: usize = 2;

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The id of the backend that gets the attempt.
    Backend(String),
    /// There are backends that may get it, and none has capacity now.
    AtCapacity,
    /// No known backend may get it.
    NoBackend,
}

/// How far a backend is from this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// A backend with its expected cost (ms).
type Candidate<'a> = (f64, &'a Backend);

/// The backends that may get the attempt, as far as they were looked at.
#[derive(Default)]
pub(crate) struct Candidates<'a> {
    pub(crate) any_eligible: bool,
    /// By [`Distance`].
    by_distance: [Vec<Candidate<'a>>; 3],
    /// How many of them have a known load.
    known: usize,
    /// The cheapest of those that have reported lately that a slot is free. What a backend reports, one proxy learns: no
    /// other is sent there by the same report (compare join-idle-queue; Lu et al. 2011).
    cheapest_free: Option<Candidate<'a>>,
    /// Of the idle ones among the ejected, the one whose ejection ends first.
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

    /// Where all backends are ejected, one of them is probed rather than the request refused.
    pub(crate) fn into_selection(mut self, rng: &SplitMix64) -> Selection {
        match self.cheapest_of_samples(rng).or(self.first_to_return) {
            Some(backend) => Selection::Backend(backend.id.clone()),
            None if self.any_eligible => Selection::AtCapacity,
            None => Selection::NoBackend,
        }
    }

    fn cheapest_of_samples(&mut self, rng: &SplitMix64) -> Option<&'a Backend> {
        let count: usize = self.by_distance.iter().map(Vec::len).sum();
        let known_part = self.known as f64 / count.max(1) as f64;
        let samples = self.by_distance.iter_mut().flat_map(|candidates| {
            let size = sample_size(candidates.len(), known_part);
            sample(candidates, size, rng)
        });
        let compared = samples.chain(self.cheapest_free.iter());
        compared.min_by(|(cost, _), (other, _)| cost.total_cmp(other)).map(|(_, backend)| *backend)
    }
}

/// How many of `count` backends are compared, where the load of this part of all is known: two where that of hardly any is,
/// all where that of most is.
fn sample_size(count: usize, known_part: f64) -> usize {
    let compared = MIN_SAMPLE + (known_part * known_part * count as f64).round() as usize;
    compared.min(count)
}

/// A random sample without replacement (the first steps of a Fisher-Yates shuffle).
fn sample<'a, 'b>(candidates: &'b mut [Candidate<'a>], size: usize, rng: &SplitMix64) -> &'b [Candidate<'a>] {
    if size < candidates.len() {
        for drawn in 0..size {
            let left = candidates.len() - drawn;
            let offset = (rng.sample_uniform() * left as f64) as usize;
            candidates.swap(drawn, drawn + offset.min(left - 1));
        }
    }
    &candidates[..size]
}
