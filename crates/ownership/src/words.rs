//! What holder and grantor say to each other, as it goes on the wire.

use crate::Epoch;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One shard of a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    pub duty: String,
    pub shard: u32,
}

impl Name {
    pub fn new(duty: impl Into<String>, shard: u32) -> Name {
        Name { duty: duty.into(), shard }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.duty, self.shard)
    }
}

/// A lease that somebody says is theirs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Claim", into = "wire::Claim")]
pub struct Claim {
    pub name: Name,
    pub epoch: Epoch,
}

/// A claim whose work has gone on since it was renewed last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Renewal", into = "wire::Renewal")]
pub struct Renewal {
    pub claim: Claim,
    /// Acts done under this epoch so far.
    pub acts: u64,
}

/// One call of a holder. It is a candidate for the shards of those duties for as long as it calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Of one process: another one of the same name is another holder.
    pub holder: String,
    #[serde(default)]
    pub duties: Vec<String>,
    #[serde(default)]
    pub renew: Vec<Renewal>,
    /// Work that has ended.
    #[serde(default)]
    pub release: Vec<Claim>,
    /// Work that was left where it was, as its time was over by the holder's own clock.
    #[serde(default)]
    pub gave_up: Vec<Claim>,
    /// The newest epoch that it has heard of, from whomever.
    #[serde(default)]
    pub seen: Epoch,
    /// The token of the newest answer that has come: who hears no answers is given nothing.
    #[serde(default)]
    pub echo: u64,
    /// It ends: nothing is to be given to it.
    #[serde(default)]
    pub leaving: bool,
}

/// A lease that is the holder's, for `length_ms` from when it sent the call that this answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Given", into = "wire::Given")]
pub struct Given {
    pub claim: Claim,
    pub length_ms: u64,
    /// How far the shard's work has come, as its owners have noted.
    pub mark: u64,
    /// It is to end its work and release the lease: somebody else is to have it.
    pub hand_over: bool,
}

/// Why a lease is not the holder's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// Given to another since, or to the same holder anew.
    Newer,
    /// The grantor has no such grant on record.
    Unknown,
    /// It had run out when the renewal came.
    RanOut,
    /// The duty, or the shard of it, is no more.
    Gone,
}

/// What the grantor answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    pub given: Vec<Given>,
    pub lost: Vec<(Claim, Lost)>,
    /// When to call again at the latest, in milliseconds: before a lease ends that this holder is next for.
    pub again_ms: u64,
    /// The newest epoch.
    pub newest: Epoch,
    /// To be sent back with the next call: when this was, by the grantor's clock.
    #[serde(default)]
    pub token: u64,
    /// What of the call was left out, by field and reason; the rest was done.
    #[serde(default)]
    pub faults: Vec<(String, String)>,
}

/// The same on the wire, each in one object: an error of a field then names the field.
mod wire {
    use super::{Epoch, Name};
    use serde::{Deserialize, Serialize};

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Claim {
        duty: String,
        shard: u32,
        epoch: Epoch,
    }

    impl From<Claim> for super::Claim {
        fn from(claim: Claim) -> Self {
            super::Claim { name: Name::new(claim.duty, claim.shard), epoch: claim.epoch }
        }
    }

    impl From<super::Claim> for Claim {
        fn from(claim: super::Claim) -> Self {
            Claim { duty: claim.name.duty, shard: claim.name.shard, epoch: claim.epoch }
        }
    }

    #[derive(Serialize, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Renewal {
        duty: String,
        shard: u32,
        epoch: Epoch,
        #[serde(default)]
        acts: u64,
    }

    impl From<Renewal> for super::Renewal {
        fn from(Renewal { duty, shard, epoch, acts }: Renewal) -> Self {
            super::Renewal { claim: Claim { duty, shard, epoch }.into(), acts }
        }
    }

    impl From<super::Renewal> for Renewal {
        fn from(renewal: super::Renewal) -> Self {
            let Claim { duty, shard, epoch } = renewal.claim.into();
            Renewal { duty, shard, epoch, acts: renewal.acts }
        }
    }

    #[derive(Serialize, Deserialize)]
    pub struct Given {
        duty: String,
        shard: u32,
        epoch: Epoch,
        length_ms: u64,
        #[serde(default)]
        mark: u64,
        #[serde(default)]
        hand_over: bool,
    }

    impl From<Given> for super::Given {
        fn from(given: Given) -> Self {
            let Given { duty, shard, epoch, length_ms, mark, hand_over } = given;
            super::Given { claim: Claim { duty, shard, epoch }.into(), length_ms, mark, hand_over }
        }
    }

    impl From<super::Given> for Given {
        fn from(given: super::Given) -> Self {
            let Claim { duty, shard, epoch } = given.claim.into();
            let super::Given { length_ms, mark, hand_over, .. } = given;
            Given { duty, shard, epoch, length_ms, mark, hand_over }
        }
    }
}
