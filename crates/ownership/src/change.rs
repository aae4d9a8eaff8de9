//! What becomes of leases, as the holder tells whoever runs the work.

use crate::{Claim, Epoch, Lost};

/// What has changed, for whoever runs the work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Work begins, from that mark on.
    Gained { claim: Claim, mark: u64 },
    /// Work is to end in order, and to be told of with [`Holder::ended`].
    HandOver(Claim),
    /// Work is to stop where it is.
    Lost { claim: Claim, why: Why },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The grantor has said so.
    Told(Lost),
    /// Its time is over, by the holder's own clock.
    OverTime,
    /// A receiver has seen a newer epoch.
    Fenced { newest: Epoch },
}
