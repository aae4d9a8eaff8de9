//! Words between registries and proxies, and between registries.

use super::{Owners, Stamp};
use crate::pack::Packed;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A proxy, as registries know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    pub node: String,
    pub front: SocketAddrV4,
    pub zone: String,
    pub region: String,
    pub ready: bool,
}

/// A proxy to a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRequest {
    Hello(Session),
    /// Tell me what is newer than this; `lead`: tell me first of all registries.
    Poll {
        have: Stamp,
        list: u64,
        members: u64,
        lead: bool,
    },
    /// One more of a tenant.
    Add {
        call: u32,
        tenant: String,
        fence: Stamp,
    },
    /// A key or a route is not known here: is there anything newer? Answered in any case.
    Newer {
        /// Repeated in the answer.
        question: u32,
        have: Stamp,
    },
    /// What this proxy let pass of a tenant in its last two windows, for a holder that knows nothing of it.
    Tell {
        tenant: String,
        fence: Stamp,
        current: u32,
        previous: u32,
    },
}

/// A registry to a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxyReply {
    /// The whole state: a packed [`violetyoke_api::Configuration`].
    Whole {
        stamp: Stamp,
        evacuated: BTreeSet<String>,
        packed: Packed,
    },
    /// From the state under `from` to the next: a packed [`violetyoke_api::change::Change`].
    Change {
        from: Stamp,
        stamp: Stamp,
        evacuated: BTreeSet<String>,
        packed: Packed,
    },
    /// Nothing newer than that is known.
    Newest {
        question: u32,
        stamp: Stamp,
    },
    List(List),
    ListChange(ListChange),
    Members(Members),
    /// Of an [`ProxyRequest::Add`]: `retry_ms` where it is past the limit.
    Counted {
        call: u32,
        retry_ms: Option<u32>,
    },
    /// This registry does not count for that tenant.
    NotMine {
        call: u32,
    },
}

/// Which proxies there are, and which registries, and who counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    pub digest: u64,
    /// Numbers of all proxies ([`member`]), in order.
    pub proxies: Vec<u32>,
    /// All registries that the sender knows of, connected or not.
    pub registries: Vec<Ipv4Addr>,
    /// The sender hears more than half of the registries: it is not the one that is cut off.
    pub in_contact: bool,
    pub owners: Owners,
    /// The newest state of control that the registry has; no part of the digest.
    pub newest: Stamp,
}

impl Members {
    /// Who counts, and whether the sender may say so: news of these is never put off.
    pub fn deal(&self) -> (bool, Stamp) {
        (self.in_contact, self.owners.fence)
    }
}

/// The platform's list of backends, as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub digest: u64,
    /// How long ago it was asked for (ms).
    pub age_ms: u64,
    pub backends: Vec<Backend>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    /// How much longer it stays cold, when the list was asked for (ms).
    pub cold_left_ms: u64,
}

/// What makes one list another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListChange {
    pub from: u64,
    pub digest: u64,
    pub age_ms: u64,
    pub set: Vec<Backend>,
    pub gone: Vec<String>,
}

/// A proxy's number: the same in every process and every build.
pub fn member(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as u32
}

/// A registry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    pub from: Ipv4Addr,
    pub sessions: Vec<Session>,
    /// Proxies whose sessions have ended of late, by their numbers.
    pub away: Vec<u32>,
    pub list: Option<List>,
}

/// What comes in at a registry's inner port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryRequest {
    Proxy(ProxyRequest),
    Registry(Gossip),
}
