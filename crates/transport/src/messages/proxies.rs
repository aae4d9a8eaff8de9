//! Messages between registries and proxies, and between registries.

use super::{Revision, ShardOwners};
use crate::compression::Compressed;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A proxy, as registries know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    pub node: String,
    /// Where it takes the requests of clients.
    pub front_address: SocketAddrV4,
    pub zone: String,
    pub region: String,
    pub is_ready: bool,
}

/// From a proxy to a registry.
///
/// Variants keep the names under which builds up to 0.2 encode them: an upgrade mixes both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRequest {
    /// Opens the session, or changes what was said of the proxy.
    Hello(Session),
    /// Says which state, backend list and membership (by their digests) the proxy has, and asks for what is newer.
    /// `is_primary`: this registry is to answer at once; the others follow later, and only if it has not.
    Poll { revision: Revision, backend_list: ListDigest, membership: u64, is_primary: bool },
    /// Counts one request of a tenant.
    #[serde(rename = "Add")]
    Increment { request_id: u32, tenant: String, fencing_token: Revision },
    /// A key or a route is not known to the proxy: is there a newer state than `known`? Answered in any case.
    #[serde(rename = "Newer")]
    CheckFreshness {
        /// Repeated in the answer.
        request_id: u32,
        known: Revision,
    },
    /// What this proxy admitted of a tenant in its last two windows, for an owner that is new to the counter.
    #[serde(rename = "Tell")]
    TransferCount { tenant: String, fencing_token: Revision, current: u32, previous: u32 },
}

/// From a registry to a proxy.
///
/// Variants keep the names under which builds up to 0.2 encode them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxyReply {
    /// The full state: a compressed [`violetyoke_api::Configuration`].
    #[serde(rename = "Whole")]
    FullState { revision: Revision, evacuated: BTreeSet<String>, configuration: Compressed },
    /// From the state at revision `from` to the next: a compressed [`violetyoke_api::change::ConfigurationChange`].
    #[serde(rename = "Change")]
    StateChange { from: Revision, revision: Revision, evacuated: BTreeSet<String>, change: Compressed },
    /// The answer to a [`ProxyRequest::CheckFreshness`]: the newest revision that the registry knows.
    #[serde(rename = "Newest")]
    Freshness { request_id: u32, newest: Revision },
    /// The full list of backends.
    #[serde(rename = "List")]
    BackendList(BackendList),
    /// What changed since the list that the proxy has.
    #[serde(rename = "ListChange")]
    BackendListChange(BackendListChange),
    /// The proxies, registries and owners of counters.
    #[serde(rename = "Members")]
    Membership(Membership),
    /// The answer to a [`ProxyRequest::Increment`]: `retry_ms` where it is over the limit.
    Counted { request_id: u32, retry_ms: Option<u32> },
    /// This registry does not own the counter of that tenant.
    #[serde(rename = "NotMine")]
    NotOwner { request_id: u32 },
}

/// The proxies, the registries, and the owners of the quota counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    pub digest: u64,
    /// Numbers of all proxies ([`proxy_id`]), in order.
    pub proxies: Vec<u32>,
    /// All registries that the sender knows of, connected or not.
    pub registries: Vec<Ipv4Addr>,
    /// The sender hears more than half of the registries: it is not the one that is cut off.
    pub in_contact: bool,
    pub shard_owners: ShardOwners,
    /// The newest state of control that the registry has; no part of the digest.
    pub newest: Revision,
}

impl Membership {
    /// Who counts, and whether the sender may say so: news of these is never put off.
    pub fn ownership(&self) -> (bool, Revision) {
        (self.in_contact, self.shard_owners.fencing_token)
    }
}

/// Identifies the content of a backend list. Encoded as the number alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(pub u64);

impl ListDigest {
    /// Stands for having no list.
    pub const NONE: ListDigest = ListDigest(0);
}

/// The platform's list of backends, as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendList {
    pub digest: ListDigest,
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
    /// How much longer its slow start lasts, when the list was asked for (ms).
    pub slow_start_left_ms: u64,
}

/// What makes one list another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendListChange {
    pub from: ListDigest,
    pub digest: ListDigest,
    pub age_ms: u64,
    /// Backends that are new or changed.
    pub upserted: Vec<Backend>,
    /// Ids of backends that left the list.
    pub removed: Vec<String>,
}

/// A proxy's number: the same in every process and every build.
pub fn proxy_id(name: &str) -> u32 {
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
    pub partitioned: Vec<u32>,
    pub backends: Option<BackendList>,
}

/// What comes in at a registry's inner port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryRequest {
    Proxy(ProxyRequest),
    Registry(Gossip),
}
