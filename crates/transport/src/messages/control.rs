//! States of control, and orders of operators on their way between registries and stores.

use super::Envelope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// The order of all states of control: a higher epoch's holder knows all that a lower one acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub seq: u64,
}

/// The whole state of control: the newest configuration, as its operator sent it, and the zones to be left empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    pub stamp: Stamp,
    pub version: u64,
    pub text: String,
    pub evacuated: BTreeSet<String>,
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
pub enum StoreRequest {
    /// Tell me what is newer than this.
    Watch {
        registry: Ipv4Addr,
        have: Stamp,
    },
    Do {
        call: u64,
        order: Order,
    },
    /// A envelope between stores comes on the same port.
    Envelope(Envelope),
}

/// A store to a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    Status { epoch: u64, active: bool, owners: Owners, stores: Vec<Ipv4Addr> },
    News(ControlState),
    Done { call: u64, outcome: Outcome },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is on the disks of all holders.
    Acknowledged,
    Read(ControlState),
    /// This store may not say; ask another.
    Elsewhere,
}
