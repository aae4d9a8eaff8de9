//! The state as builds before the history of accepted versions encoded it. The shapes here are those builds' and stay. The store's golden
//! tests include this file.

use serde::Serialize;
use std::collections::BTreeSet;
use violetyoke_transport::messages::{ControlState, Stamp};

#[derive(Serialize)]
pub struct OlderControlState {
    stamp: Stamp,
    version: u64,
    text: String,
    evacuated: BTreeSet<String>,
}

impl OlderControlState {
    /// What such a build would have had of a state.
    pub fn of(state: &ControlState) -> OlderControlState {
        let ControlState { stamp, version, text, evacuated, accepted: _ } = state.clone();
        OlderControlState { stamp, version, text, evacuated }
    }
}
