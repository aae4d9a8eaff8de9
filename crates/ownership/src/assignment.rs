//! Assignment of shards to candidates by rendezvous hashing (Thaler and Ravishankar, 1998).
//!
//! When a candidate joins or leaves, only the shards that it gains or had move. Any two processes that know the same
//! candidates compute the same assignment.

use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of candidates that are kept for each shard, in order of preference.
const CANDIDATES_PER_SHARD: usize = 8;

/// The rendezvous weight of a candidate for a shard. It depends on names alone, so that it is the same in every
/// process and every build.
fn weight(group: &str, shard: u32, candidate: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(group.as_bytes());
    hasher.write_u8(0);
    hasher.write_u32(shard);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}

/// The shard that a key belongs to, of `shard_count` shards.
pub fn shard_of(key: &str, shard_count: u32) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    (hasher.finish() % u64::from(shard_count.max(1))) as u32
}

/// The shards of one group, each with its candidates in order of preference.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Assignment {
    candidates_by_shard: Vec<Vec<String>>,
}

impl Assignment {
    /// Assigns the shards of `group` to candidates, each of which gets at most `max_per_candidate` shards (0: no
    /// limit). Shards beyond these limits have no owner.
    pub fn new(group: &str, shard_count: u32, max_per_candidate: u32, candidates: &[&str]) -> Assignment {
        let mut assigned: BTreeMap<&str, u32> = BTreeMap::new();
        let candidates_by_shard = (0..shard_count).map(|shard| {
            let mut ranking: Vec<(u64, &str)> =
                candidates.iter().map(|candidate| (weight(group, shard, candidate), *candidate)).collect();
            ranking.sort_unstable_by(|a, b| b.cmp(a));
            let has_capacity = |candidate: &str| {
                max_per_candidate == 0
                    || assigned.get(candidate).is_none_or(|count| *count < max_per_candidate)
            };
            ranking.retain(|(_, candidate)| has_capacity(candidate));
            if let Some((_, owner)) = ranking.first() {
                *assigned.entry(owner).or_default() += 1;
            }
            ranking.iter().take(CANDIDATES_PER_SHARD).map(|(_, candidate)| (*candidate).to_string()).collect()
        });
        Assignment { candidates_by_shard: candidates_by_shard.collect() }
    }

    /// The owner of a shard: the most preferred candidate that has not failed, or else the one that failed longest
    /// ago. `failed` has the most recent failure last. Returns `None` if the shard has no candidates.
    pub fn owner(&self, shard: u32, failed: &[String]) -> Option<&str> {
        let ranking = self.candidates_by_shard.get(shard as usize)?;
        // `None` orders before every position: candidates that have not failed come first, in their ranking.
        let failed_at = |candidate: &&String| failed.iter().position(|failed| failed == *candidate);
        ranking.iter().min_by_key(failed_at).map(String::as_str)
    }
}
