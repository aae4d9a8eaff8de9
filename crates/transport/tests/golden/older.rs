//! The control state as older builds encode it, without the history of accepted versions. The types in this file must not
//! change. The golden tests of the store include this file.

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
    /// The parts of a state that such a build has.
    pub(crate) fn of(state: &ControlState) -> OlderControlState {
        let ControlState { revision, version, text, evacuated, accepted: _ } = state.clone();
        OlderControlState { revision, version, text, evacuated }
    }
}
