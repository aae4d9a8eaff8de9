//! Stubs of registries, which reply as a test has set.

use super::backends::Backend;
use super::operations::{OperationBehavior, Stores};
pub(crate) use super::registry_script::QuotaBehavior;
use super::registry_script::Script;
use serde_json::Value;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{self, ConnectionId, Event};
use violetyoke_transport::messages::{
    proxy_id, BackendList, ClaimHolder, Epoch, ListDigest, Membership, MembershipDigest, OperationRequest,
    ProxyReply, ProxyRequest, RecordedResponse, RegistryRequest, Revision, ShardOwners,
};
use violetyoke_transport::net::listen;

const PORT: u16 = 7461;

/// A stub of a registry, with its own address.
#[derive(Clone)]
pub(crate) struct Registry {
    pub(crate) ip: Ipv4Addr,
    script: Rc<RefCell<Script>>,
}

impl Registry {
    /// Starts a registry without any state. `number` is the last byte of its address.
    pub(crate) fn start(number: u8) -> Registry {
        let script = Script::default();
        let ip = Ipv4Addr::new(10, 9, 0, number);
        let registry = Registry { ip, script: Rc::new(RefCell::new(script)) };
        registry.listen();
        registry
    }

    fn listen(&self) {
        let listener = listen((self.ip, PORT).into()).expect("a listener");
        let registry = self.clone();
        tokio::task::spawn_local(connection::accept_all(listener, move |connection| {
            let registry = registry.clone();
            move |event| registry.on_event(connection, event)
        }));
    }

    /// Sets the configuration, at revision 1.`sequence`, and the list of backends.
    pub(crate) fn set_state(&self, sequence: u64, configuration: &Value, backends: &[&Backend]) {
        let configuration = Configuration::parse(configuration.to_string().as_bytes()).expect("valid");
        self.install(sequence, configuration, backends);
    }

    /// The same with a configuration that need not be valid: one that an earlier build accepted, and that the stores still
    /// have.
    pub(crate) fn set_accepted_state(&self, sequence: u64, configuration: &Value, backends: &[&Backend]) {
        let configuration = Configuration::decode(configuration.to_string().as_bytes()).expect("decodable");
        self.install(sequence, configuration, backends);
    }

    fn install(&self, sequence: u64, configuration: Configuration, backends: &[&Backend]) {
        let script = &mut *self.script.borrow_mut();
        script.state = Some((Revision { epoch: Epoch(1), sequence }, configuration));
        let backends = backends.iter().map(|backend| backend.list_entry()).collect();
        script.backends = BackendList { digest: ListDigest(77), age_ms: 10, backends };
    }

    /// Sets the digest of its list of backends without a change of the list.
    pub(crate) fn set_backend_list_digest(&self, digest: ListDigest) {
        self.script.borrow_mut().backends.digest = digest;
    }

    /// Removes its configuration, as after a start with an empty disk.
    pub(crate) fn clear_state(&self) {
        self.script.borrow_mut().state = None;
    }

    /// The revision of its configuration.
    pub(crate) fn revision(&self) -> Revision {
        self.script.borrow().state.as_ref().map(|(revision, _)| *revision).unwrap_or_default()
    }

    /// Sets the membership that it reports: the number of proxies, the registries (all of them owners of quota shards), and
    /// whether it is in contact with a majority of the registries.
    pub(crate) fn set_membership(&self, proxies: u32, registries: &[&Registry], in_contact: bool) {
        self.set_membership_with_fence(1, proxies, registries, in_contact);
    }

    /// The same, with a fencing token of the given epoch.
    pub(crate) fn set_membership_with_fence(
        &self,
        fencing_epoch: u64,
        proxies: u32,
        registries: &[&Registry],
        in_contact: bool,
    ) {
        let registries: Vec<Ipv4Addr> = registries.iter().map(|registry| registry.ip).collect();
        let mut proxies: Vec<u32> = (1..proxies).chain([proxy_id("edge-1")]).collect();
        proxies.sort_unstable();
        let fencing_token = Revision { epoch: Epoch(fencing_epoch), sequence: 0 };
        let newest = self.revision();
        let script = &mut *self.script.borrow_mut();
        script.membership = Membership {
            digest: MembershipDigest(script.membership.digest.0 + 1),
            proxies,
            shard_owners: ShardOwners { fencing_token, registries: registries.clone() },
            registries,
            in_contact,
            newest,
        };
    }

    /// Sets how it handles quota increments.
    pub(crate) fn set_quota_behavior(&self, behavior: QuotaBehavior) {
        self.script.borrow_mut().quota = behavior;
    }

    /// Sets how the stores behind it handle messages about operations.
    pub(crate) fn set_operation_behavior(&self, behavior: OperationBehavior) {
        self.script.borrow_mut().operations = behavior;
    }

    /// Sets the stores to which it forwards messages about operations.
    pub(crate) fn set_stores(&self, stores: &Stores) {
        self.script.borrow_mut().stores = stores.clone();
    }

    /// Sets the machine that it reports as that of the leading store.
    pub(crate) fn set_leader(&self, leader: Option<Ipv4Addr>) {
        self.script.borrow_mut().leader = leader;
    }

    /// All messages about operations that it has received.
    pub(crate) fn operations(&self) -> Vec<OperationRequest> {
        let operation = |request| match request {
            ProxyRequest::Operation { request, .. } => Some(request),
            _ => None,
        };
        self.received().into_iter().filter_map(operation).collect()
    }

    /// The request ids of all messages about operations that it has received.
    pub(crate) fn operation_ids(&self) -> Vec<u32> {
        let id = |request| match request {
            ProxyRequest::Operation { request_id, .. } => Some(request_id),
            _ => None,
        };
        self.received().into_iter().filter_map(id).collect()
    }

    /// Sets whether it replies when the proxy reads a response of another proxy.
    pub(crate) fn set_replies_to_reads(&self, replies: bool) {
        self.script.borrow_mut().replies_to_reads = replies;
    }

    /// Adds a response that another proxy has recorded.
    pub(crate) fn set_other_response(&self, holder: ClaimHolder, response: RecordedResponse) {
        self.script.borrow_mut().other_responses.insert(holder, response);
    }

    /// The responses that the proxy has sent when they were read; `None` if the proxy did not have the response.
    pub(crate) fn responses(&self) -> Vec<Option<RecordedResponse>> {
        let response = |request| match request {
            ProxyRequest::Response { response, .. } => Some(response),
            _ => None,
        };
        self.received().into_iter().filter_map(response).collect()
    }

    /// Closes all connections.
    pub(crate) fn disconnect_all(&self) {
        self.script.borrow_mut().connections.clear();
    }

    /// Sets whether it replies to freshness checks.
    pub(crate) fn set_replies_to_freshness_checks(&self, replies: bool) {
        self.script.borrow_mut().replies_to_freshness_checks = replies;
    }

    /// Sends a message to all connected proxies.
    pub(crate) fn send(&self, reply: &ProxyReply) {
        for sender in self.script.borrow().connections.values() {
            sender.send(encode(reply));
        }
    }

    /// Sends the membership that it reports to all connected proxies.
    pub(crate) fn send_membership(&self) {
        let membership = self.script.borrow().membership.clone();
        self.send(&ProxyReply::Membership(membership));
    }

    /// All messages that it has received.
    pub(crate) fn received(&self) -> Vec<ProxyRequest> {
        self.script.borrow().received.clone()
    }

    pub(crate) fn is_connected(&self) -> bool {
        !self.script.borrow().connections.is_empty()
    }

    /// Whether the newest poll that it has received names it as the primary registry.
    pub(crate) fn is_primary(&self) -> bool {
        let script = self.script.borrow();
        let mut polls = script.received.iter().rev().filter_map(|request| match request {
            ProxyRequest::Poll { is_primary, .. } => Some(*is_primary),
            _ => None,
        });
        polls.next().unwrap_or(false)
    }

    fn on_event(&self, connection: ConnectionId, event: Event) {
        let script = &mut *self.script.borrow_mut();
        match event {
            Event::Connected(sender) => drop(script.connections.insert(connection, sender)),
            Event::Disconnected => drop(script.connections.remove(&connection)),
            Event::Message(message) => {
                let Ok(RegistryRequest::Proxy(request)) = decode(&message) else { return };
                let Some(sender) = script.connections.get(&connection).cloned() else { return };
                for reply in script.replies(&request) {
                    sender.send(encode(&reply));
                }
                script.received.push(request);
            }
        }
    }
}
