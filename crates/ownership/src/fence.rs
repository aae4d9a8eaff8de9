//! The receiver's side: an effect carries the name and epoch of the lease that it was done under, and a receiver that
//! has seen a newer epoch of that name refuses it.

use crate::{Epoch, Name};
use std::collections::BTreeMap;
use std::fmt;

/// What a receiver keeps: the newest epoch of each name. It must outlive the receiver's restarts as long as what the
/// effects have changed does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<Name, Epoch>,
}

/// An effect is refused: a newer owner has been here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale {
    pub newest: Epoch,
}

impl fmt::Display for Stale {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "epoch: an owner with epoch {} has been here", self.newest)
    }
}

impl Fence {
    /// Whether an effect may be done. From then on none of an older epoch is.
    pub fn pass(&mut self, name: &Name, epoch: Epoch) -> Result<(), Stale> {
        match self.newest.get_mut(name) {
            Some(newest) if epoch < *newest => Err(Stale { newest: *newest }),
            Some(newest) => {
                *newest = epoch;
                Ok(())
            }
            None => {
                self.newest.insert(name.clone(), epoch);
                Ok(())
            }
        }
    }

    pub fn newest(&self, name: &Name) -> Option<Epoch> {
        self.newest.get(name).copied()
    }
}
