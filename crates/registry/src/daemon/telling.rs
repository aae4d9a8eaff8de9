//! What proxies are told: states of control, lists of backends and members, each as what has changed since the one that
//! a proxy has, where that is still known here, and else as a whole.

use super::Registry;
use crate::backends::change;
use crate::waits::Waits;
use crate::Millis;
use bytes::Bytes;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::encode;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{
    BackendList, ControlState, ListDigest, Membership, ProxyReply, Revision,
};

/// Earlier states and lists that are known here.
const KNOWN: usize = 8;
/// Members are told of no more often: many come and go at once.
const MEMBERS_EVERY: Millis = 250;

/// A state of control, ready to be told.
struct State {
    revision: Revision,
    evacuated: BTreeSet<String>,
    configuration: Configuration,
}

/// Messages are made once for all proxies that have the same.
#[derive(Default)]
pub(super) struct Telling {
    states: VecDeque<State>,
    made: HashMap<Revision, Bytes>,
    lists: VecDeque<BackendList>,
    list_made: HashMap<ListDigest, Bytes>,
    pub members: Membership,
    members_at: Millis,
}

impl Telling {
    /// A newer state; whether proxies have to be told of it. `text_differs`: from the text of the state before it.
    pub fn state(&mut self, held: &ControlState, configuration: Configuration, text_differs: bool) -> bool {
        let same =
            |last: &State| last.configuration.version == held.version && last.evacuated == held.evacuated;
        if !text_differs && self.states.back().is_some_and(same) {
            return false;
        }
        self.made.clear();
        let evacuated = held.evacuated.clone();
        self.states.push_back(State { revision: held.revision, evacuated, configuration });
        if self.states.len() > KNOWN {
            self.states.pop_front();
        }
        true
    }

    /// The newest state's revision.
    pub fn revision(&self) -> Option<Revision> {
        self.states.back().map(|state| state.revision)
    }

    /// Under which revision proxies were told of a version first.
    pub fn stamp_of(&self, version: u64) -> Option<Revision> {
        self.states.iter().find(|state| state.configuration.version == version).map(|state| state.revision)
    }

    /// The message for a proxy that has the state under that revision.
    fn state_since(&mut self, have: Revision) -> Option<Bytes> {
        if let Some(made) = self.made.get(&have) {
            return Some(made.clone());
        }
        let newest = self.states.back()?;
        let (revision, evacuated) = (newest.revision, newest.evacuated.clone());
        let old = self.states.iter().find(|state| state.revision == have);
        let change =
            old.and_then(|old| ConfigurationChange::between(&old.configuration, &newest.configuration).ok());
        let says = match change.map(|change| Compressed::encode(&change)) {
            Some(Ok(packed)) => ProxyReply::StateChange { from: have, revision, evacuated, change: packed },
            _ => ProxyReply::FullState {
                revision,
                evacuated,
                configuration: Compressed::encode(&newest.configuration).ok()?,
            },
        };
        let frame = encode(&says);
        self.made.insert(have, frame.clone());
        Some(frame)
    }

    /// The digest of the newest list, or 0.
    fn list_digest(&self) -> ListDigest {
        self.lists.back().map_or(ListDigest::NONE, |list| list.digest)
    }

    /// The newest list is another.
    pub fn list(&mut self, list: Option<BackendList>) {
        if let Some(list) =
            list.filter(|list| self.lists.back().is_none_or(|last| last.digest != list.digest))
        {
            self.list_made.clear();
            self.lists.push_back(list);
            if self.lists.len() > KNOWN {
                self.lists.pop_front();
            }
        }
    }

    fn list_since(&mut self, have: ListDigest, newest: BackendList) -> Bytes {
        if let Some(made) = self.list_made.get(&have) {
            return made.clone();
        }
        let old = self.lists.iter().find(|list| list.digest == have);
        let says = match old {
            Some(old) => ProxyReply::BackendListChange(change(old, &newest)),
            None => ProxyReply::BackendList(newest),
        };
        let frame = encode(&says);
        self.list_made.insert(have, frame.clone());
        frame
    }
}

impl Registry {
    /// Tells each proxy what is newer than what it has: at once where it asks here first, else a little later.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.gather_members(now);
        let digest = self.lists.digest();
        // A list is copied only when it is sent or is another: this runs at each message of each proxy.
        if self.telling.list_digest() != digest {
            self.telling.list(self.lists.newest(now, true));
        }
        let newest = self.telling.revision();
        // Ages in messages that were made before are too young by now.
        self.telling.list_made.clear();
        // The same for all proxies: encoded, and deflated where there are many members, once.
        let mut members_frame: Option<Bytes> = None;
        for proxy in self.proxies.by_connection.values_mut().filter(|proxy| proxy.hello) {
            let news = newest.filter(|revision| *revision > proxy.have);
            let other_list = digest != ListDigest::NONE && proxy.list != digest;
            let other_members = proxy.members != self.telling.members.digest;
            if news.is_none() && !other_list && !other_members {
                proxy.waits = Waits::default();
                continue;
            }
            proxy.waits.see(now, news.is_some(), other_list, other_members);
            if let Some(revision) = news.filter(|_| proxy.lead || proxy.waits.state_is_due(now)) {
                if let Some(frame) = self.telling.state_since(proxy.have) {
                    proxy.have = revision;
                    proxy.waits.state = None;
                    proxy.sender.send(frame);
                }
            }
            let list_is_due = other_list && (proxy.lead || proxy.waits.list_is_due(now));
            if let Some(list) = list_is_due.then(|| self.lists.newest(now, true)).flatten() {
                let frame = self.telling.list_since(proxy.list, list);
                proxy.list = digest;
                proxy.waits.list = None;
                proxy.sender.send(frame);
            }
            let deal = self.telling.members.ownership();
            // One that knows of nobody here begins: it waits to hear from all registries before it serves.
            let at_once = proxy.lead || proxy.members == 0 || proxy.deal != deal;
            if other_members && (at_once || proxy.waits.members_are_due(now)) {
                proxy.members = self.telling.members.digest;
                proxy.deal = deal;
                proxy.waits.members = None;
                let frame = members_frame.get_or_insert_with(|| {
                    let members =
                        Membership { newest: newest.unwrap_or_default(), ..self.telling.members.clone() };
                    encode(&ProxyReply::Membership(members))
                });
                proxy.sender.send(frame.clone());
            }
        }
    }

    fn gather_members(&mut self, now: Millis) {
        let live = self.live();
        let owners = self.stores.owners.clone();
        let seeds = self.settings.seeds();
        let in_contact = self.proxies.contact.see(seeds.len(), owners.registries.len(), live.len());
        // A registry that is cut off names those that it can't reach too: a proxy may reach them.
        let mut registries: BTreeSet<Ipv4Addr> = self.stores.known().chain(seeds).chain(live).collect();
        registries.extend(&owners.registries);
        let mut members = Membership {
            digest: 0,
            proxies: self.sessions.members().to_vec(),
            registries: registries.into_iter().collect(),
            in_contact,
            shard_owners: owners,
            newest: Revision::default(),
        };
        self.proxies.absent.update_members(now, &members.proxies, self.sessions.not_ready());
        let mut hasher = DefaultHasher::new();
        (&members.proxies, &members.registries, members.in_contact, members.shard_owners.fencing_token)
            .hash(&mut hasher);
        members.digest = hasher.finish() | 1;
        let last = &self.telling.members;
        let dealt = members.shard_owners != last.shard_owners;
        let at_once = dealt || members.in_contact != last.in_contact;
        if members.digest == last.digest || !(at_once || now >= self.telling.members_at + MEMBERS_EVERY) {
            return;
        }
        if dealt {
            self.proxies.deal(&members.shard_owners);
        }
        self.telling.members_at = now;
        self.telling.members = members;
    }
}
