//! The backends' list: the newest that any registry has, whose turn it is to ask the platform, and how often.

use crate::Millis;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Backend, BackendList, BackendListChange, ListDigest};

/// The pause between two calls for the list.
const EVERY: Millis = 500;
/// A list of another registry that is older than this is asked for here.
const STALE: Millis = 1_700;
/// A refused call is made again after so long, doubled each time.
const REFUSED: Millis = 400;
const LONGEST: Millis = 3_000;
/// Cold times that differ by less are the same (ms).
const GRAIN: Millis = 400;

#[derive(Clone, Debug, Default)]
pub struct Lists {
    newest: Option<(Millis, BackendList)>,
    next: Millis,
    refusals: u32,
    asking: bool,
}

/// What makes two lists differ: all but the running down of cold times.
pub fn digest(backends: &[Backend], asked_at: Millis) -> ListDigest {
    let mut hasher = DefaultHasher::new();
    for backend in backends {
        (&backend.id, &backend.service, backend.address, &backend.zone).hash(&mut hasher);
        (backend.slots, backend.draining).hash(&mut hasher);
        let warm_at =
            if backend.slow_start_left_ms > 0 { (asked_at + backend.slow_start_left_ms) / GRAIN } else { 0 };
        (warm_at > 0).hash(&mut hasher);
    }
    ListDigest(hasher.finish())
}

/// What makes one list another.
pub fn change(old: &BackendList, new: &BackendList) -> BackendListChange {
    let before: HashMap<&str, &Backend> = old.backends.iter().map(|it| (it.id.as_str(), it)).collect();
    let after: HashSet<&str> = new.backends.iter().map(|it| it.id.as_str()).collect();
    // Cold times run down by themselves; one that is warm by now, or has become cold, is another.
    let same = |a: &Backend, b: &Backend| {
        let but_cold = Backend { slow_start_left_ms: b.slow_start_left_ms, ..a.clone() };
        but_cold == *b && (a.slow_start_left_ms > 0) == (b.slow_start_left_ms > 0)
    };
    let set = new.backends.iter().filter(|it| !before.get(it.id.as_str()).is_some_and(|old| same(old, it)));
    let gone = old.backends.iter().filter(|it| !after.contains(it.id.as_str())).map(|it| it.id.clone());
    BackendListChange {
        from: old.digest,
        digest: new.digest,
        age_ms: new.age_ms,
        upserted: set.cloned().collect(),
        removed: gone.collect(),
    }
}

impl Lists {
    /// Whether this registry, one of `registries`, is to ask now: the first does, and whoever hears of no fresh list.
    pub fn due(&self, now: Millis, me: Ipv4Addr, registries: &[Ipv4Addr]) -> bool {
        let first = registries.iter().min().is_none_or(|first| *first == me);
        let fresh = self.newest.as_ref().is_some_and(|(at, _)| now < at + STALE);
        !self.asking && now >= self.next && (first || !fresh)
    }

    pub fn asked(&mut self) {
        self.asking = true;
    }

    /// The platform has answered a call made at `asked_at`; whether the list is another than before.
    pub fn answered(&mut self, now: Millis, asked_at: Millis, mut backends: Vec<Backend>) -> bool {
        self.asking = false;
        self.refusals = 0;
        self.next = now.max(asked_at + EVERY);
        // Cold times run from when a page was written, which is after the call was made: long after, for the last of many
        // pages from afar. Counted from the answer they end late, never early.
        let took = now.saturating_sub(asked_at);
        for backend in backends.iter_mut().filter(|backend| backend.slow_start_left_ms > 0) {
            backend.slow_start_left_ms += took;
        }
        backends.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = digest(&backends, asked_at);
        self.take(asked_at, BackendList { digest, age_ms: 0, backends })
    }

    /// No answer, or a refusal.
    pub fn failed(&mut self, now: Millis) {
        self.asking = false;
        self.refusals += 1;
        self.next = now + (REFUSED << self.refusals.min(8)).min(LONGEST);
    }

    /// Another registry's list; one without backends only says that its last one still holds.
    pub fn told(&mut self, now: Millis, list: BackendList) -> bool {
        let at = now.saturating_sub(list.age_ms);
        match &mut self.newest {
            Some((known, mine)) if list.backends.is_empty() => {
                if mine.digest == list.digest {
                    *known = at.max(*known);
                }
                false
            }
            _ => self.take(at, list),
        }
    }

    fn take(&mut self, at: Millis, list: BackendList) -> bool {
        if self.newest.as_ref().is_some_and(|(known, _)| at < *known) {
            return false;
        }
        let news = self.newest.as_ref().is_none_or(|(_, mine)| mine.digest != list.digest);
        match &mut self.newest {
            // The same backends in the same states: the time is all that is new.
            Some((known, _)) if !news => *known = at,
            newest => *newest = Some((at, list)),
        }
        news
    }

    /// The newest list, with its age; `whole`: with its backends.
    pub fn newest(&self, now: Millis, whole: bool) -> Option<BackendList> {
        let (at, list) = self.newest.as_ref()?;
        let backends = if whole { list.backends.clone() } else { Vec::new() };
        Some(BackendList { digest: list.digest, age_ms: now.saturating_sub(*at), backends })
    }

    pub fn digest(&self) -> ListDigest {
        self.newest.as_ref().map_or(ListDigest::NONE, |(_, list)| list.digest)
    }
}
