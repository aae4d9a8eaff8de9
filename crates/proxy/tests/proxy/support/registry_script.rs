//! The state of a stub of a registry, and its replies.

use super::operations::{OperationBehavior, Stores};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_api::Configuration;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::connection::{ConnectionId, Sender};
use violetyoke_transport::messages::{
    BackendList, ClaimHolder, ListDigest, Membership, MembershipDigest, ProxyReply, ProxyRequest,
    RecordedResponse, Revision,
};

/// How a registry handles a quota increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaBehavior {
    /// Admits every request.
    Admit,
    /// Never replies.
    Hang,
    /// Denies every request, with this time until a retry (ms).
    Deny { retry_ms: u32 },
    /// Replies that it is not the owner.
    RejectAsNotOwner,
}

/// The state of a registry, and its behavior.
pub(super) struct Script {
    pub(super) state: Option<(Revision, Configuration)>,
    pub(super) backends: BackendList,
    pub(super) membership: Membership,
    pub(super) quota: QuotaBehavior,
    pub(super) operations: OperationBehavior,
    pub(super) stores: Stores,
    /// The machine of the leading store, as the registry reports it.
    pub(super) leader: Option<Ipv4Addr>,
    pub(super) replies_to_freshness_checks: bool,
    pub(super) replies_to_reads: bool,
    pub(super) received: Vec<ProxyRequest>,
    pub(super) connections: BTreeMap<ConnectionId, Sender>,
    /// The responses that other proxies have recorded, by their claims.
    pub(super) other_responses: BTreeMap<ClaimHolder, RecordedResponse>,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            state: None,
            backends: BackendList::default(),
            membership: Membership::default(),
            quota: QuotaBehavior::Admit,
            operations: OperationBehavior::Decide,
            stores: Stores::default(),
            leader: None,
            replies_to_freshness_checks: true,
            replies_to_reads: true,
            received: Vec::new(),
            connections: BTreeMap::new(),
            other_responses: BTreeMap::new(),
        }
    }
}

impl Script {
    pub(super) fn replies(&self, request: &ProxyRequest) -> Vec<ProxyReply> {
        match request {
            ProxyRequest::Poll { revision, backend_list, membership, .. } => {
                self.updates_since(*revision, *backend_list, *membership)
            }
            ProxyRequest::CheckFreshness { request_id, known } if self.replies_to_freshness_checks => {
                let newest = self.state.as_ref().map(|(revision, _)| *revision).unwrap_or_default();
                let up_to_date = ProxyReply::Freshness { request_id: *request_id, newest };
                vec![self.full_state_since(*known).unwrap_or(up_to_date)]
            }
            ProxyRequest::Increment { request_id, .. } => match self.quota {
                QuotaBehavior::Admit => {
                    vec![ProxyReply::Counted { request_id: *request_id, retry_ms: None }]
                }
                QuotaBehavior::Deny { retry_ms } => {
                    vec![ProxyReply::Counted { request_id: *request_id, retry_ms: Some(retry_ms) }]
                }
                QuotaBehavior::RejectAsNotOwner => {
                    vec![ProxyReply::NotOwner { request_id: *request_id }]
                }
                QuotaBehavior::Hang => Vec::new(),
            },
            ProxyRequest::Operation { request_id, request } => {
                let reply = self.stores.reply(&self.operations, request);
                reply
                    .map(|reply| ProxyReply::Operation {
                        request_id: *request_id,
                        reply,
                        leader: self.leader,
                    })
                    .into_iter()
                    .collect()
            }
            ProxyRequest::ReadResponse { request_id, holder } if self.replies_to_reads => {
                let response = self.other_responses.get(holder).cloned();
                vec![ProxyReply::Response { request_id: *request_id, response }]
            }
            ProxyRequest::Response { .. }
            | ProxyRequest::ReadResponse { .. }
            | ProxyRequest::HolderIncarnation(_)
            | ProxyRequest::Hello(_)
            | ProxyRequest::CheckFreshness { .. }
            | ProxyRequest::TransferCount { .. } => Vec::new(),
        }
    }

    /// All state that is newer than that of the poll. It is sent at once, whether the poll names this registry as the
    /// primary or not.
    fn updates_since(
        &self,
        revision: Revision,
        backend_list: ListDigest,
        membership: MembershipDigest,
    ) -> Vec<ProxyReply> {
        let mut updates: Vec<ProxyReply> = self.full_state_since(revision).into_iter().collect();
        if backend_list != self.backends.digest {
            updates.push(ProxyReply::BackendList(self.backends.clone()));
        }
        if membership != self.membership.digest {
            updates.push(ProxyReply::Membership(self.membership.clone()));
        }
        updates
    }

    fn full_state_since(&self, known: Revision) -> Option<ProxyReply> {
        let (revision, configuration) = self.state.as_ref().filter(|(revision, _)| *revision > known)?;
        let configuration = Compressed::encode(configuration).expect("encoded");
        Some(ProxyReply::FullState { revision: *revision, evacuated: BTreeSet::new(), configuration })
    }
}
