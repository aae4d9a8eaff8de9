//! Whose shard is whose: by rendezvous hash (Thaler and Ravishankar, 1998), so that a process that comes or goes
//! moves only the shards that become or were its own, and any two that know the same candidates deal alike.

use crate::duty::Duty;
use crate::Name;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Candidates kept for each shard, in the order in which it is theirs.
const DEPTH: usize = 8;

fn weight(name: &Name, candidate: &str) -> u64 {
    // Names alone: the same in every process and every build.
    let mut hasher = SipHasher13::new();
    hasher.write(name.duty.as_bytes());
    hasher.write_u8(0);
    hasher.write_u32(name.shard);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}

/// The shard that a thing belongs to.
pub fn shard_of(thing: &str, shards: u32) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(thing.as_bytes());
    (hasher.finish() % u64::from(shards.max(1))) as u32
}

/// The shards of one duty, dealt to its candidates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Deal {
    /// For each shard its candidates, the first first.
    orders: Vec<Vec<String>>,
}

impl Deal {
    pub fn new(duty: &Duty, candidates: &[&str]) -> Deal {
        let mut deal = Deal::default();
        let mut load: BTreeMap<&str, u32> = BTreeMap::new();
        for shard in 0..duty.shards {
            let name = Name::new(duty.name.clone(), shard);
            let mut order: Vec<(u64, &str)> =
                candidates.iter().map(|candidate| (weight(&name, candidate), *candidate)).collect();
            order.sort_unstable_by(|a, b| b.cmp(a));
            // Who has as many as it may have gets no more: the rest stays nobody's.
            let full = |candidate: &str| load.get(candidate).is_some_and(|held| *held >= duty.most);
            order.retain(|(_, candidate)| duty.most == 0 || !full(candidate));
            if let Some((_, owner)) = order.first() {
                *load.entry(owner).or_default() += 1;
            }
            let order: Vec<String> =
                order.iter().take(DEPTH).map(|(_, candidate)| candidate.to_string()).collect();
            deal.orders.push(order);
        }
        deal
    }

    /// Who is to have a shard: the first that has not fallen, or else the one that fell longest ago. `fallen` has the
    /// newest last.
    pub fn owner(&self, shard: u32, fallen: &[String]) -> Option<&str> {
        let order = self.orders.get(shard as usize)?;
        // None is before all: who has not fallen comes first, and of those the first of the order.
        let fell = |candidate: &&String| fallen.iter().position(|fallen| fallen == *candidate);
        order.iter().min_by_key(fell).map(String::as_str)
    }
}
