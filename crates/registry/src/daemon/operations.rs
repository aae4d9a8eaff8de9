//! Forwards proxies' requests about operations to the leading store, and the replies to the proxies.

use super::registry::Registry;
use crate::commands::StoreConnection;
use crate::operation_relay::WaitingProxy;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{OperationReply, OperationRequest, ProxyReply, StoreRequest};

impl Registry {
    /// Forwards a request to the leading store. If no leader is known, the proxy is sent a reply that says so at
    /// once.
    pub(super) fn on_operation_request(&mut self, proxy: WaitingProxy, request: OperationRequest) {
        let now = self.now();
        let Some(leader) = self.stores.leader() else {
            return self.reply_to_operation(proxy, OperationReply::Unavailable);
        };
        let request_id = self.operations.forward(now, proxy, leader.id);
        leader.sender.send(encode(&StoreRequest::Operation { request_id, request }));
    }

    /// Handles the reply of a store.
    pub(super) fn on_operation_reply(
        &mut self,
        from: StoreConnection,
        request_id: u64,
        reply: OperationReply,
    ) {
        if let Some(proxy) = self.operations.complete(from, request_id) {
            self.reply_to_operation(proxy, reply);
        }
    }

    /// Handles the end of a connection to a store: the requests that were sent on it have no known result.
    pub(super) fn on_operations_lost(&mut self, connection: StoreConnection) {
        for proxy in self.operations.connection_lost(connection) {
            self.reply_to_operation(proxy, OperationReply::Unavailable);
        }
    }

    fn reply_to_operation(&self, proxy: WaitingProxy, reply: OperationReply) {
        if let Some(connection) = self.proxies.get(proxy.connection) {
            let leader = self.stores.leader().map(|leader| leader.id.store);
            connection.reply(&ProxyReply::Operation { request_id: proxy.request_id, reply, leader });
        }
    }
}
