//! What survives a restart.

use serde::{Deserialize, Serialize};
use violetyoke_transport::messages::{ControlState, Epoch, ReplicaConfig, StoreId};

/// What a store must never forget once another store or a client may depend on it. It is written as a whole each time.
///
/// Encoded by position: fields keep their order across versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Identifies the disk; 0 where it is empty.
    pub id: StoreId,
    /// First start of the whole system, and no replica set has been accepted since.
    pub is_bootstrapping: bool,
    /// The highest epoch promised: nothing of a lower one is accepted. Never decreases.
    pub promised: Epoch,
    /// The newest replica set accepted. Its epoch never decreases.
    pub config: ReplicaConfig,
    /// The newest replicated state accepted. Its revision never decreases.
    pub state: ControlState,
}
