//! Random number generator for samples, jitter and probabilistic admission.

use std::cell::Cell;

/// SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014).
///
/// Each proxy seeds the generator with its own id: proxies with the same backends choose differently, and a
/// simulation of one proxy is reproducible. The generator is not cryptographically secure.
#[derive(Debug, Default)]
pub(crate) struct SplitMix64 {
    state: Cell<u64>,
}

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: Cell::new(seed) }
    }

    /// The next number, uniform in `0.0..1.0`. Takes `&self` because a selection changes no other state of a
    /// directory.
    pub(crate) fn sample_uniform(&self) -> f64 {
        let state = self.state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.state.set(state);
        let mut mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        // The upper 53 bits: an f64 represents integers of this size exactly.
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
