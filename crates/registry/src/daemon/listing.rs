//! The backends' list: asked for when it is this registry's turn, told to the others.

use super::{Input, Registry};
use crate::{platform, Millis};
use violetyoke_transport::messages::{Backend, ListDigest};

/// So often other registries are told that the list still holds.
const TELL_LIST: Millis = 700;

impl Registry {
    pub(super) fn ask_platform(&mut self, now: Millis) {
        let Some(api) = &self.settings.platform.cloud_api else { return };
        if self.lists.due(now, self.settings.local.ip, &self.live()) {
            self.lists.asked();
            let (address, inputs) = (api.address, self.inputs.clone());
            tokio::task::spawn_local(async move {
                let backends = platform::whole(address).await;
                drop(inputs.send(Input::Listed { asked_at: now, backends }));
            });
        }
    }

    /// The platform has answered, or has not.
    pub(super) fn listed(&mut self, now: Millis, asked_at: Millis, backends: Option<Vec<Backend>>) {
        let Some(backends) = backends else { return self.lists.failed(now) };
        if self.lists.answered(now, asked_at, backends) {
            self.told_list = now;
            self.gossip(self.lists.newest(now, true));
            self.publish();
        }
    }

    /// Tells the others that the list still holds, where this registry is the one that asks.
    pub(super) fn tell_list(&mut self, now: Millis) {
        let asks = self.live().first() == Some(&self.settings.local.ip);
        if asks && self.lists.digest() != ListDigest::NONE && now > self.told_list + TELL_LIST {
            self.told_list = now;
            self.gossip(self.lists.newest(now, false));
        }
    }
}
