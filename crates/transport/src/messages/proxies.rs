//! Messages between registries and proxies.

use super::{
    BackendList, BackendListChange, ClaimHolder, ListDigest, OperationReply, OperationRequest,
    RecordedResponse, Revision, ShardOwners,
};
use crate::compression::Compressed;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What a proxy announces of itself to registries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    /// The name of the proxy, which is unique among all proxies.
    pub node: String,
    /// The address on which it accepts requests of clients.
    pub front_address: SocketAddrV4,
    /// The zone of its machine.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Whether clients may be directed to it: it has started completely, and is not shutting down.
    pub is_ready: bool,
}

/// A message from a proxy to a registry.
///
/// Renamed variants keep the encoded names of builds up to 0.2, as an upgrade mixes both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyRequest {
    /// Opens the session, or updates it.
    Hello(Session),
    /// Reports which state the proxy has, and requests newer state.
    Poll {
        /// The revision of the proxy's control state.
        revision: Revision,
        /// The digest of the proxy's backend list.
        backend_list: ListDigest,
        /// The digest of the membership that the proxy has from this registry.
        membership: MembershipDigest,
        /// Whether this registry is to send updates at once. The other registries send them later, if they are still needed.
        is_primary: bool,
    },
    /// Counts one request of a tenant.
    #[serde(rename = "Add")]
    Increment {
        /// Repeated in the reply.
        request_id: u32,
        /// The tenant's name.
        tenant: String,
        /// The token of the assignment by which this registry owns the tenant's counter.
        fencing_token: Revision,
    },
    /// Queries whether there is a newer state than `known`, because the proxy does not know a key or a route. Always
    /// answered.
    #[serde(rename = "Newer")]
    CheckFreshness {
        /// Repeated in the reply.
        request_id: u32,
        /// The revision of the proxy's control state.
        known: Revision,
    },
    /// The number of requests of a tenant that this proxy admitted in the last two windows, for a new owner of the counter.
    #[serde(rename = "Tell")]
    TransferCount {
        /// The tenant's name.
        tenant: String,
        /// The token of the assignment by which this registry owns the tenant's counter.
        fencing_token: Revision,
        /// The number of requests in the current window.
        current: u32,
        /// The number of requests in the previous window.
        previous: u32,
    },
    /// A request about an operation, which the registry forwards to the leading store.
    Operation {
        /// Repeated in the reply.
        request_id: u32,
        /// The request.
        request: OperationRequest,
    },
    /// The proxy's incarnation. The proxy has the responses to operations whose claims have this incarnation.
    HolderIncarnation(u64),
    /// Reads the response to an operation that another proxy executed.
    ReadResponse {
        /// Repeated in the reply.
        request_id: u32,
        /// The holder of the claim under which it was executed.
        holder: ClaimHolder,
    },
    /// The reply to a [`ProxyReply::ReadResponse`].
    Response {
        /// The id of the request.
        request_id: u64,
        /// The response, if the proxy has it.
        response: Option<RecordedResponse>,
    },
}

/// A message from a registry to a proxy.
///
/// Renamed variants keep the encoded names of builds up to 0.2.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxyReply {
    /// The full control state.
    #[serde(rename = "Whole")]
    FullState {
        /// The state's revision.
        revision: Revision,
        /// The evacuated zones, to which no requests must be sent.
        evacuated: BTreeSet<String>,
        /// A [`violetyoke_api::Configuration`].
        configuration: Compressed,
    },
    /// A change of the control state that the proxy has.
    #[serde(rename = "Change")]
    StateChange {
        /// The revision to which the change applies.
        from: Revision,
        /// The resulting revision.
        revision: Revision,
        /// The evacuated zones, to which no requests must be sent.
        evacuated: BTreeSet<String>,
        /// A [`violetyoke_api::change::ConfigurationChange`].
        change: Compressed,
    },
    /// The reply to a [`ProxyRequest::CheckFreshness`], if there is no newer state.
    #[serde(rename = "Newest")]
    Freshness {
        /// The id of the request.
        request_id: u32,
        /// The newest revision that the registry has.
        newest: Revision,
    },
    /// The full list of backends.
    #[serde(rename = "List")]
    BackendList(BackendList),
    /// A change of the list that the proxy has.
    #[serde(rename = "ListChange")]
    BackendListChange(BackendListChange),
    /// The proxies, registries and owners of counters.
    #[serde(rename = "Members")]
    Membership(Membership),
    /// The reply to a [`ProxyRequest::Increment`].
    Counted {
        /// The id of the request.
        request_id: u32,
        /// If the request is over the limit, the time after which another one may be admitted (ms).
        retry_ms: Option<u32>,
    },
    /// The reply to a [`ProxyRequest::Increment`] if this registry does not own the tenant's counter.
    #[serde(rename = "NotMine")]
    NotOwner {
        /// The id of the request.
        request_id: u32,
    },
    /// The reply to a [`ProxyRequest::Operation`].
    Operation {
        /// The id of the request.
        request_id: u32,
        /// The reply.
        reply: OperationReply,
        /// The machine of the leading store, if the registry knows it. Requests to the registry on that machine save a hop.
        leader: Option<Ipv4Addr>,
    },
    /// Reads the response to an operation that this proxy executed, because another proxy received a repeat.
    ReadResponse {
        /// Repeated in the reply.
        request_id: u64,
        /// The holder of the claim under which it was executed.
        holder: ClaimHolder,
    },
    /// The reply to a [`ProxyRequest::ReadResponse`].
    Response {
        /// The id of the request.
        request_id: u32,
        /// The response; `None` if its holder no longer has it or can't be reached.
        response: Option<RecordedResponse>,
    },
}

/// Identifies the content of a membership, among those of one registry. Encoded as a plain number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MembershipDigest(pub u64);

impl MembershipDigest {
    /// The digest of a receiver without a membership.
    pub const NONE: MembershipDigest = MembershipDigest(0);
}

/// The proxies, the registries, and the owners of the quota counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identifies the content.
    pub digest: MembershipDigest,
    /// The ids of all proxies ([`proxy_id`]), in ascending order.
    pub proxies: Vec<u32>,
    /// All registries that the sender knows, connected or not.
    pub registries: Vec<Ipv4Addr>,
    /// Whether the sender is connected to more than half of the registries, and so is not partitioned.
    pub in_contact: bool,
    /// The owners of the quota counters.
    pub shard_owners: ShardOwners,
    /// The revision of the newest control state that the sender has. It is not part of the digest.
    pub newest: Revision,
}

impl Membership {
    /// The part whose changes are sent to proxies without delay.
    pub fn ownership(&self) -> Ownership {
        Ownership { in_contact: self.in_contact, fencing_token: self.shard_owners.fencing_token }
    }
}

/// The assignment of quota counters that a registry reports, and whether the registry is in contact with a majority of the
/// registries. A part of a [`Membership`], not a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ownership {
    /// [`Membership::in_contact`].
    pub in_contact: bool,
    /// The token of [`Membership::shard_owners`].
    pub fencing_token: Revision,
}

/// The id of the proxy with a name. It is the same in every process and every build.
pub fn proxy_id(name: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish() as u32
}
