//! Encoded updates of the backend list.

use super::HISTORY_LENGTH;
use crate::backend_list::change_between;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{BackendList, ListDigest, ProxyReply};

/// The most recent backend lists, and the encoded messages that update proxies to the newest one.
#[derive(Default)]
pub struct BackendListUpdates {
    history: VecDeque<BackendList>,
    /// By the digest of the list that the proxy has.
    encoded: HashMap<ListDigest, Bytes>,
}

impl BackendListUpdates {
    /// The digest of the newest list, or [`ListDigest::NONE`] without a list.
    pub fn latest(&self) -> ListDigest {
        self.history.back().map_or(ListDigest::NONE, |list| list.digest)
    }

    /// Adds a list, unless it is the same as the newest one.
    pub fn install(&mut self, list: BackendList) {
        if list.digest == self.latest() && !self.history.is_empty() {
            return;
        }
        self.encoded.clear();
        self.history.push_back(list);
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Drops the encoded messages: they contain the age of the list at the time of encoding.
    pub fn discard_encoded(&mut self) {
        self.encoded.clear();
    }

    /// The encoded message for a proxy that has the list `known`; `newest` is the newest list, with its present age.
    pub fn update_from(&mut self, known: ListDigest, newest: BackendList) -> Bytes {
        if let Some(encoded) = self.encoded.get(&known) {
            return encoded.clone();
        }
        let reply = match self.history.iter().find(|list| list.digest == known) {
            Some(old) => ProxyReply::BackendListChange(change_between(old, &newest)),
            None => ProxyReply::BackendList(newest),
        };
        let encoded = encode(&reply);
        self.encoded.insert(known, encoded.clone());
        encoded
    }
}
