//! The state that survives a restart.

use serde::{Deserialize, Serialize};
use violetyoke_transport::messages::{ControlState, Epoch, ReplicaConfig, StoreId};

/// The state that a store must not lose once another store or a client may depend on it. Each write contains all of it.
///
/// Encoded by position: fields keep their order across versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Identifies the disk; 0 if the disk is empty.
    pub id: StoreId,
    /// Whether the system starts for the first time and this store has not accepted a replica set yet.
    pub is_bootstrapping: bool,
    /// The highest epoch promised: messages of a lower epoch are not accepted. Never decreases.
    pub promised: Epoch,
    /// The newest replica set accepted. Its epoch never decreases.
    pub config: ReplicaConfig,
    /// The newest replicated state accepted. Its revision never decreases.
    pub state: ControlState,
}
