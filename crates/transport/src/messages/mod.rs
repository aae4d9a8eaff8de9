//! The messages between stores, registries and proxies.
//!
//! They are encoded as MessagePack: structs by the position of their fields, enums by the names of their variants. During an
//! upgrade, processes of different builds communicate. Fields must therefore keep their order, and a variant that is renamed
//! must keep its encoded name with `#[serde(rename = "...")]`; the golden tests check this. Times are sent as ages, because
//! the clocks of different machines must not be compared.

mod backends;
mod control;
mod operations;
mod proxies;
mod registries;
mod replication;
mod state;
mod stores;

pub use backends::{Backend, BackendList, BackendListChange, ListDigest};
pub use control::{StoreReply, StoreRequest};
pub use operations::{
    ClaimHolder, ClaimId, OperationKey, OperationRecord, OperationReply, OperationRequest, OperationState,
    RecordedField, RecordedResponse,
};
pub use proxies::{proxy_id, Membership, MembershipDigest, Ownership, ProxyReply, ProxyRequest, Session};
pub use registries::{Gossip, RegistryRequest};
pub use replication::{BucketContents, BucketDigest, BucketId, OperationMessage};
pub use state::{Acceptance, AcceptedVersions, Command, ControlState, Epoch, Outcome, Revision, ShardOwners};
pub use stores::{Envelope, Heartbeat, InitialState, PeerMessage, ReplicaConfig, StoreId, StoreNode};
