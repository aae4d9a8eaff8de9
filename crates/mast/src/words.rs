//! The words between stores, registries and proxies, as MessagePack. Times are told as ages: no two machines' clocks
//! are compared.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The order of all states of control: a higher epoch's holder knows all that a lower one acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub seq: u64,
}

/// The whole state of control: the newest configuration, as its operator sent it, and the zones to be left empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    pub stamp: Stamp,
    pub version: u64,
    pub text: String,
    pub evacuated: BTreeSet<String>,
}

/// A store as others know it. A disk that was lost makes a new one, with another `id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub id: u64,
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// Who may do what while an epoch stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub epoch: u64,
    pub voters: Vec<Member>,
    /// The first is the primary, the others its backups; voters that hold nothing are witnesses.
    pub holders: Vec<u64>,
    /// Voters of records before this one, as long as it is not known to stand.
    pub bases: Vec<Vec<Member>>,
}

/// What a store sends another, and from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    pub from: Member,
    pub word: PeerWord,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerWord {
    Beat(Beat),
    /// May I open this epoch? From then on nothing of a lower one is taken.
    Prepare {
        epoch: u64,
    },
    /// Yes; with the newest record and state that the voter has.
    Promise {
        epoch: u64,
        record: Record,
        held: Held,
    },
    /// No: a higher one is promised already.
    Refuse {
        epoch: u64,
        promised: u64,
    },
    /// An epoch's record; its holders get the state with it.
    Accept {
        record: Record,
        held: Option<Held>,
    },
    Accepted {
        epoch: u64,
    },
    /// That record stands.
    Stood {
        epoch: u64,
    },
    /// A state under an epoch that stands.
    Write {
        epoch: u64,
        held: Held,
    },
    Written {
        epoch: u64,
        stamp: Stamp,
    },
    /// Does this epoch still stand?
    Confirm {
        epoch: u64,
        nonce: u64,
    },
    Confirmed {
        epoch: u64,
        nonce: u64,
    },
}

/// What each store tells all others all the time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    pub record: Record,
    /// The sender is primary of its record, and the epoch stands.
    pub active: bool,
    /// The newest state known to be on all holders' disks.
    pub committed: Stamp,
    /// Its disk answers.
    pub disk: bool,
    /// First start of the whole system, and nothing held.
    pub fresh: bool,
    /// Other stores that it knows of.
    pub known: Vec<Ipv4Addr>,
}

/// Which registries count for which tenants, under the store's epoch as a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    pub fence: Stamp,
    pub registries: Vec<Ipv4Addr>,
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    Replace { version: u64, text: String },
    Evacuate { zone: String, empty: bool },
    Read,
}

/// A registry to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreAsk {
    /// Tell me what is newer than this.
    Watch {
        registry: Ipv4Addr,
        have: Stamp,
    },
    Do {
        call: u64,
        order: Order,
    },
    /// A letter between stores comes on the same port.
    Letter(Letter),
}

/// A store to a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreSays {
    Standing { epoch: u64, active: bool, owners: Owners, stores: Vec<Ipv4Addr> },
    News(Held),
    Done { call: u64, outcome: Outcome },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is on the disks of all holders.
    Acknowledged,
    Read(Held),
    /// This store may not say; ask another.
    Elsewhere,
}

/// A proxy, as registries know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    pub node: String,
    /// Drawn at each start of the process.
    pub life: u64,
    pub front: SocketAddrV4,
    pub zone: String,
    pub region: String,
    pub ready: bool,
}

/// A proxy to a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyAsk {
    Hello(Session),
    /// Tell me what is newer than this; `lead`: tell me first of all registries.
    Poll {
        have: Stamp,
        list: u64,
        members: u64,
        lead: bool,
    },
    /// One more of a tenant, and how many of it this proxy let go lately, for a holder that knows nothing.
    Add {
        call: u32,
        tenant: String,
        fence: Stamp,
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
pub enum ProxySays {
    News(Held),
    List(List),
    Members(Members),
    /// Of an [`ProxyAsk::Add`]: `retry_ms` where it is past the limit.
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
    pub proxies: Vec<String>,
    pub registries: Vec<Ipv4Addr>,
    pub owners: Owners,
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

/// A registry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    pub from: Ipv4Addr,
    pub sessions: Vec<Session>,
    pub list: Option<List>,
}

/// What comes in at a registry's inner port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryAsk {
    Proxy(ProxyAsk),
    Registry(Gossip),
}
