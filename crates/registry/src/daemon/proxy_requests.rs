//! Proxies' requests: one handler for each.

use super::registry::Registry;
use crate::operation_relay::WaitingProxy;
use crate::quota_shards::{CountingTerms, NotOwner};
use crate::updates::{is_installed_by_all, ProxyVersions};
use slog::{debug, info};
use violetyoke_quota::{Admission, WindowCounts};
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::{ProxyReply, ProxyRequest, Revision, Session};

/// Maximum time to a retry that is reported to a proxy (ms).
const MAX_RETRY_AFTER_MS: u64 = 60_000;

impl Registry {
    pub(super) fn on_proxy_request(&mut self, connection: ConnectionId, request: ProxyRequest) {
        match request {
            ProxyRequest::Hello(session) => self.on_hello(connection, session),
            ProxyRequest::Poll { revision, backend_list, membership, is_primary } => {
                let versions = ProxyVersions { state: revision, backend_list, membership };
                self.on_poll(connection, versions, is_primary);
            }
            ProxyRequest::CheckFreshness { request_id, known } => {
                self.on_check_freshness(connection, request_id, known);
            }
            ProxyRequest::Increment { request_id, tenant, fencing_token } => {
                self.on_increment(connection, request_id, &tenant, fencing_token);
            }
            ProxyRequest::TransferCount { tenant, fencing_token, current, previous } => {
                let usage = WindowCounts { current: f64::from(current), previous: f64::from(previous) };
                self.on_transfer_count(&tenant, fencing_token, usage);
            }
            ProxyRequest::Operation { request_id, request } => {
                self.on_operation_request(WaitingProxy { connection, request_id }, request);
            }
            ProxyRequest::HolderIncarnation(incarnation) => {
                self.response_reads.add_holder(connection, incarnation);
            }
            ProxyRequest::ReadResponse { request_id, holder } => {
                self.on_read_response(WaitingProxy { connection, request_id }, holder);
            }
            ProxyRequest::Response { request_id, response } => {
                self.on_response(connection, request_id, response);
            }
        }
    }

    /// A proxy opens its session, or reports that the session has changed.
    fn on_hello(&mut self, connection: ConnectionId, session: Session) {
        info!(self.log, "session"; "proxy" => &session.node, "ready" => session.is_ready);
        if self.sessions.register(connection, session) {
            self.batch.sessions_changed();
        }
        self.proxies.session_started(connection);
        self.batch.request_publication();
    }

    /// A proxy reports the versions that it has, and asks for newer ones.
    fn on_poll(&mut self, connection: ConnectionId, versions: ProxyVersions, is_primary: bool) {
        let now = self.now();
        if let Some(proxy) = self.proxies.get_mut(connection) {
            proxy.progress.on_poll(now, versions, is_primary);
        }
        self.proxy_reported.notify_waiters();
        self.batch.request_publication();
    }

    /// A proxy waits for an answer on whether there is a state newer than `known`. The answer is that state, or a
    /// reply that there is none.
    fn on_check_freshness(&mut self, connection: ConnectionId, request_id: u32, known: Revision) {
        let newest = self.publisher.latest_state().unwrap_or_default();
        if let Some(proxy) = self.proxies.get_mut(connection) {
            if newest > known {
                proxy.progress.request_state_since(known);
            } else {
                proxy.reply(&ProxyReply::Freshness { request_id, newest });
            }
        }
        self.batch.request_publication();
    }

    /// A proxy asks to count a request of a tenant.
    fn on_increment(
        &mut self,
        connection: ConnectionId,
        request_id: u32,
        tenant: &str,
        fencing_token: Revision,
    ) {
        let terms = CountingTerms {
            in_contact: self.contact.is_established(),
            allowed_overshoot: self.settings.terms.bounds.quota_overshoot,
        };
        let reply = match self.quota.increment(self.now(), tenant, fencing_token, terms) {
            Err(NotOwner) => ProxyReply::NotOwner { request_id },
            Ok(Admission::Admitted) => ProxyReply::Counted { request_id, retry_ms: None },
            Ok(Admission::Denied { retry_after_ms }) => {
                let retry_ms = Some(retry_after_ms.min(MAX_RETRY_AFTER_MS) as u32);
                ProxyReply::Counted { request_id, retry_ms }
            }
        };
        if let Some(proxy) = self.proxies.get(connection) {
            proxy.reply(&reply);
        }
    }

    /// A proxy transfers the requests that it admitted for a tenant whose counter this registry has newly become the
    /// owner of.
    fn on_transfer_count(&mut self, tenant: &str, fencing_token: Revision, usage: WindowCounts) {
        if let Err(stale) = self.quota.import(self.now(), tenant, fencing_token, usage) {
            debug!(self.log, "transferred count dropped"; "tenant" => tenant, "error" => %stale);
        }
    }

    /// Whether all proxies that have a session here have installed that version of the configuration, or a later one.
    pub(super) fn is_installed_by_all(&self, version: u64) -> bool {
        match self.publisher.revision_of(version) {
            None => self.state.version > version,
            Some(revision) => {
                let proxies = self.proxies.with_session();
                is_installed_by_all(revision, proxies.map(|proxy| proxy.progress.reported_state()))
            }
        }
    }
}
