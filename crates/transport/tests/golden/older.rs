//! The state as builds before the history of accepted versions encoded it. The shapes here are those builds' and stay. The store's golden
//! tests include this file.

use serde::Serialize;
use std::collections::BTreeSet;
use violetyoke_transport::messages::{ControlState, Revision};

#[derive(Serialize)]
pub(crate) struct OlderControlState {
    revision: Revision,
    version: u64,
    text: String,
    evacuated: BTreeSet<String>,
}

impl OlderControlState {
    /// What such a build would have had of a state.
    pub(crate) fn of(state: &ControlState) -> OlderControlState {
        let ControlState { revision, version, text, evacuated, accepted: _ } = state.clone();
        OlderControlState { revision, version, text, evacuated }
    }
}
