//! A stub of the stores behind the registries. It keeps one record for each operation key, or replies as a test has set.

use super::backends::Backend;
use super::registries::Registry;
use super::{configuration_with_keyed_route, start_ready_proxy_with, RunningProxy};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use violetyoke_transport::messages::{ClaimHolder, OperationKey, OperationReply, OperationRequest};

/// The region of the stores.
pub(crate) const STORE_REGION: &str = "west";

/// The reply of the stores that grants a claim.
pub(crate) fn granted() -> OperationReply {
    OperationReply::Granted { store_regions: vec![STORE_REGION.to_owned()] }
}

/// The header field with the key `k-1`.
pub(crate) const KEY: &str = "x-operation-key: k-1\r\n";

/// Starts a proxy with a keyed route, a registry, and the stores behind the registry.
pub(crate) async fn start_keyed(backends: &[&Backend]) -> (RunningProxy, Registry, Stores) {
    let (proxy, registry) = start_ready_proxy_with(&configuration_with_keyed_route(1), backends).await;
    let stores = Stores::default();
    registry.set_stores(&stores);
    (proxy, registry, stores)
}

/// All claims that a registry has received, resent ones included.
pub(crate) fn claims(registry: &Registry) -> Vec<(OperationKey, ClaimHolder)> {
    let claim = |request| match request {
        OperationRequest::Claim { key, holder, .. } => Some((key, holder)),
        _ => None,
    };
    registry.operations().into_iter().filter_map(claim).collect()
}

/// How the stores handle messages about operations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperationBehavior {
    /// They decide by their records.
    Decide,
    /// They send this reply to all claims, and do not record them.
    Reply(OperationReply),
    /// They grant all claims, but neither record nor confirm the ends of operations.
    GrantOnly,
    /// They never reply.
    Hang,
}

/// The recorded state of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    Claimed(ClaimHolder),
    Released(ClaimHolder),
    Unknown,
    Executed(ClaimHolder),
}

/// The records of all operations, shared by all registries of a test.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stores {
    records: Rc<RefCell<BTreeMap<String, Record>>>,
}

impl Stores {
    /// The record of the operation with this key.
    pub(crate) fn record(&self, key: &str) -> Option<Record> {
        self.records.borrow().get(key).cloned()
    }

    /// Handles a message, and returns the reply, if there is one.
    pub(super) fn reply(
        &self,
        behavior: &OperationBehavior,
        request: &OperationRequest,
    ) -> Option<OperationReply> {
        match (behavior, request) {
            (OperationBehavior::Hang, _) => None,
            (OperationBehavior::GrantOnly, request) => {
                matches!(request, OperationRequest::Claim { .. }).then(granted)
            }
            (OperationBehavior::Reply(reply), OperationRequest::Claim { .. }) => Some(reply.clone()),
            _ => Some(self.decide(request)),
        }
    }

    fn decide(&self, request: &OperationRequest) -> OperationReply {
        let records = &mut *self.records.borrow_mut();
        match request {
            OperationRequest::Claim { key, holder, .. } => claim(records, key, *holder),
            OperationRequest::Complete { key, holder } => {
                records.insert(key.key.clone(), Record::Executed(*holder));
                OperationReply::Recorded
            }
            OperationRequest::Abandon { key, .. } => {
                records.insert(key.key.clone(), Record::Unknown);
                OperationReply::Recorded
            }
            OperationRequest::Release { key, holder } => {
                let record = records.entry(key.key.clone()).or_insert(Record::Released(*holder));
                if *record == Record::Claimed(*holder) {
                    *record = Record::Released(*holder);
                }
                OperationReply::Recorded
            }
        }
    }
}

fn claim(records: &mut BTreeMap<String, Record>, key: &OperationKey, holder: ClaimHolder) -> OperationReply {
    match records.get(&key.key) {
        Some(Record::Claimed(other)) if *other != holder => {
            OperationReply::InProgress { retry_after_ms: 2_250 }
        }
        Some(Record::Released(other)) if *other == holder => OperationReply::Unavailable,
        Some(Record::Unknown) => OperationReply::Unknown,
        Some(Record::Executed(holder)) => OperationReply::Executed { holder: *holder },
        None | Some(Record::Claimed(_) | Record::Released(_)) => {
            records.insert(key.key.clone(), Record::Claimed(holder));
            granted()
        }
    }
}
