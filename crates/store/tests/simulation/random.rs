//! Pseudo-random numbers (SplitMix64), identical for the same seed on every build. The sequence must not change: tests
//! keep the seeds of schedules that once violated an invariant.

/// A generator; the field is its state.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    /// A number in `0..bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % bound.max(1)
    }

    /// True with a probability of 1 in `times`.
    pub fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }

    /// A number in a range.
    pub fn within(&mut self, range: std::ops::Range<u64>) -> u64 {
        range.start + self.below(range.end - range.start)
    }
}
