//! Polls the platform for the list of backends when a poll is due, and reports the list to the other registries.

use super::input::Input;
use super::registry::Registry;
use crate::platform::{fetch_backends, PlatformError};
use crate::Millis;
use violetyoke_transport::messages::Backend;

/// How often the list is reported to peers as still current (ms).
const REPORT_INTERVAL: Millis = 700;

impl Registry {
    /// Sends a poll to the platform if one is due.
    pub(super) fn poll_platform(&mut self, now: Millis) {
        let Some(api) = &self.settings.platform.cloud_api else { return };
        let local = self.settings.local.ip;
        if self.backend_lists.is_poll_due(now, local, &self.peers.connected_registries(local)) {
            self.backend_lists.poll_started();
            let (address, inputs) = (api.address, self.inputs.clone());
            // The task ends by itself: `fetch_backends` has a time-out.
            tokio::task::spawn_local(async move {
                let result = fetch_backends(address).await;
                inputs.send(Input::BackendsPolled { started_at: now, result });
            });
        }
    }

    /// Handles the result of a poll that was sent at `started_at`.
    pub(super) fn on_backends_polled(
        &mut self,
        started_at: Millis,
        result: Result<Vec<Backend>, PlatformError>,
    ) {
        let now = self.now();
        let backends = match result {
            Ok(backends) => backends,
            Err(error) => return self.on_poll_failed(now, &error),
        };
        if self.backend_lists.poll_succeeded(now, started_at, backends) {
            self.peers.list_reported_at = now;
            self.report_to_peers(self.backend_lists.newest(now));
            self.batch.request_publication();
        }
    }

    fn on_poll_failed(&mut self, now: Millis, error: &PlatformError) {
        if self.backend_lists.poll_failed(now) {
            slog::warn!(self.log, "backend list unavailable"; "error" => %error);
        }
    }

    /// Reports to peers that the list is still current, if this is the registry that polls for it.
    pub(super) fn report_backend_list(&mut self, now: Millis) {
        let local = self.settings.local.ip;
        let is_poller = self.peers.connected_registries(local).first() == Some(&local);
        if !is_poller || now <= self.peers.list_reported_at + REPORT_INTERVAL {
            return;
        }
        if let Some(list) = self.backend_lists.newest_without_backends(now) {
            self.peers.list_reported_at = now;
            self.report_to_peers(Some(list));
        }
    }
}
