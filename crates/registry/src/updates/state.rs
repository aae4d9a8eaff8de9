//! Encoded updates of the control state.

use super::HISTORY_LENGTH;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap, VecDeque};
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::encode;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{ControlState, ProxyReply, Revision};

/// A control state whose configuration has been parsed.
struct ParsedState {
    revision: Revision,
    evacuated: BTreeSet<String>,
    configuration: Configuration,
}

/// The most recent control states, and the encoded messages that update proxies to the newest one.
#[derive(Default)]
pub struct StateUpdates {
    history: VecDeque<ParsedState>,
    /// By the revision of the state that the proxy has.
    encoded: HashMap<Revision, Bytes>,
}

impl StateUpdates {
    /// Adds a newer state with its parsed configuration, unless it is equivalent for proxies to the one before.
    /// `has_other_text`: whether the text of its configuration differs from that of the state before.
    pub fn install(&mut self, state: &ControlState, configuration: Configuration, has_other_text: bool) {
        let is_equivalent = |last: &ParsedState| {
            last.configuration.version == state.version && last.evacuated == state.evacuated
        };
        if !has_other_text && self.history.back().is_some_and(is_equivalent) {
            return;
        }
        self.encoded.clear();
        let (revision, evacuated) = (state.revision, state.evacuated.clone());
        self.history.push_back(ParsedState { revision, evacuated, configuration });
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// The revision of the newest state, if there is one.
    pub fn latest(&self) -> Option<Revision> {
        self.history.back().map(|state| state.revision)
    }

    /// The revision under which a version of the configuration was sent first, if it is still known.
    pub fn revision_of(&self, version: u64) -> Option<Revision> {
        let state = self.history.iter().find(|state| state.configuration.version == version);
        state.map(|state| state.revision)
    }

    /// The encoded message for a proxy that has the state of revision `known`; `None` if there is no state, or if the
    /// state can't be compressed.
    pub fn update_from(&mut self, known: Revision) -> Option<Bytes> {
        if let Some(encoded) = self.encoded.get(&known) {
            return Some(encoded.clone());
        }
        let reply = self.change_from(known).or_else(|| self.full_state())?;
        let encoded = encode(&reply);
        self.encoded.insert(known, encoded.clone());
        Some(encoded)
    }

    fn change_from(&self, known: Revision) -> Option<ProxyReply> {
        let newest = self.history.back()?;
        let old = self.history.iter().find(|state| state.revision == known)?;
        let change = ConfigurationChange::between(&old.configuration, &newest.configuration).ok()?;
        Some(ProxyReply::StateChange {
            from: known,
            revision: newest.revision,
            evacuated: newest.evacuated.clone(),
            change: Compressed::encode(&change).ok()?,
        })
    }

    fn full_state(&self) -> Option<ProxyReply> {
        let newest = self.history.back()?;
        Some(ProxyReply::FullState {
            revision: newest.revision,
            evacuated: newest.evacuated.clone(),
            configuration: Compressed::encode(&newest.configuration).ok()?,
        })
    }
}
