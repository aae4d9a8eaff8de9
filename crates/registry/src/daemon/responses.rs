//! Handles reads of responses by a proxy from the proxy that received them.

use super::registry::Registry;
use crate::operation_relay::WaitingProxy;
use crate::Millis;
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::{ClaimHolder, ProxyReply, RecordedResponse};

impl Registry {
    /// A proxy asks for a response that another proxy has received.
    pub(super) fn on_read_response(&mut self, reader: WaitingProxy, holder: ClaimHolder) {
        let read = self.response_reads.begin(self.now(), reader, holder);
        match read.and_then(|read| Some((self.proxies.get(read.to)?, read.request_id))) {
            Some((proxy, request_id)) => proxy.reply(&ProxyReply::ReadResponse { request_id, holder }),
            None => self.reply_with_response(reader, None),
        }
    }

    /// A proxy has replied with a response, or that it no longer has it.
    pub(super) fn on_response(
        &mut self,
        from: ConnectionId,
        request_id: u64,
        response: Option<RecordedResponse>,
    ) {
        if let Some(reader) = self.response_reads.complete(from, request_id) {
            self.reply_with_response(reader, response);
        }
    }

    /// Handles the end of a proxy's connection: other proxies may be waiting for responses from it.
    pub(super) fn on_holder_lost(&mut self, connection: ConnectionId) {
        for reader in self.response_reads.connection_lost(connection) {
            self.reply_with_response(reader, None);
        }
    }

    /// Answers reads that have timed out without a response.
    pub(super) fn expire_response_reads(&mut self, now: Millis) {
        for reader in self.response_reads.expire(now) {
            self.reply_with_response(reader, None);
        }
    }

    fn reply_with_response(&self, reader: WaitingProxy, response: Option<RecordedResponse>) {
        if let Some(connection) = self.proxies.get(reader.connection) {
            connection.reply(&ProxyReply::Response { request_id: reader.request_id, response });
        }
    }
}
