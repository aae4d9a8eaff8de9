//! Identifiers of leases: a shard, and the epoch of one grant of it.

use crate::epoch::Epoch;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One shard of a singleton role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The role's name.
    #[serde(rename = "duty")]
    pub role: String,
    /// The number of the shard, from 0.
    #[serde(rename = "shard")]
    pub index: u32,
}

impl ShardId {
    /// Shard `index` of a role.
    pub fn new(role: impl Into<String>, index: u32) -> ShardId {
        ShardId { role: role.into(), index }
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.role, self.index)
    }
}

/// A lease that a process claims to hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Claim", into = "wire::Claim")]
pub struct Claim {
    /// The leased shard.
    pub shard: ShardId,
    /// The epoch of the grant.
    pub epoch: Epoch,
}

/// A claim whose work has made progress since its last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Renewal", into = "wire::Renewal")]
pub struct Renewal {
    /// The lease to renew.
    pub claim: Claim,
    /// Number of operations completed under this epoch so far.
    pub operations: u64,
}

/// The serialized forms, each as one flat object, so that a deserialization error names the field.
pub(crate) mod wire {
    use super::{Epoch, ShardId};
    use serde::{Deserialize, Serialize};

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub(crate) struct Claim {
        duty: String,
        shard: u32,
        epoch: Epoch,
    }

    impl From<Claim> for super::Claim {
        fn from(claim: Claim) -> Self {
            super::Claim { shard: ShardId::new(claim.duty, claim.shard), epoch: claim.epoch }
        }
    }

    impl From<super::Claim> for Claim {
        fn from(claim: super::Claim) -> Self {
            Claim { duty: claim.shard.role, shard: claim.shard.index, epoch: claim.epoch }
        }
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub(crate) struct Renewal {
        duty: String,
        shard: u32,
        epoch: Epoch,
        #[serde(default, rename = "acts")]
        operations: u64,
    }

    impl From<Renewal> for super::Renewal {
        fn from(Renewal { duty, shard, epoch, operations }: Renewal) -> Self {
            super::Renewal { claim: Claim { duty, shard, epoch }.into(), operations }
        }
    }

    impl From<super::Renewal> for Renewal {
        fn from(renewal: super::Renewal) -> Self {
            let Claim { duty, shard, epoch } = renewal.claim.into();
            Renewal { duty, shard, epoch, operations: renewal.operations }
        }
    }
}
