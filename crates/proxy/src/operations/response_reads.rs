//! Reads of recorded responses between proxies: this proxy reads the responses of others, and they read its own.

use super::OperationClient;
use crate::registries::RegistryConnectionId;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ClaimHolder, ProxyRequest, RecordedResponse, RegistryRequest};

/// A read ends at least this long before the deadline of the request, which leaves time to send the response to the client.
const RETURN_MARGIN: Duration = Duration::from_millis(20);
/// The maximum number of registries that a read is sent to, one after another, when connections are lost.
const MAX_READS: usize = 3;

/// A read that was sent to a registry. Dropping it removes it from the outstanding reads.
struct SentRead<'a> {
    client: &'a OperationClient,
    request_id: u32,
    registry: Ipv4Addr,
    response: oneshot::Receiver<Option<RecordedResponse>>,
}

impl Drop for SentRead<'_> {
    fn drop(&mut self) {
        self.client.state.borrow_mut().response_reads.cancel(self.request_id);
    }
}

impl OperationClient {
    /// Returns the response to the operation that was executed under a claim, by this proxy or another one. `None` if it is
    /// not known or does not arrive in time.
    pub(crate) async fn read_response(
        &self,
        holder: ClaimHolder,
        deadline: Instant,
    ) -> Option<RecordedResponse> {
        if holder.incarnation == self.incarnation {
            return self.responses.borrow().get(holder);
        }
        let read_deadline = deadline.checked_sub(RETURN_MARGIN)?;
        let mut tried = Vec::new();
        for _ in 0..MAX_READS {
            let mut sent = self.send_read(holder, &tried)?;
            tried.push(sent.registry);
            match timeout_at(read_deadline, &mut sent.response).await {
                Ok(Ok(response)) => return response,
                // The connection is lost: try the next registry.
                Ok(Err(_)) => {}
                Err(_) => return None,
            }
        }
        None
    }

    fn send_read(&self, holder: ClaimHolder, tried: &[Ipv4Addr]) -> Option<SentRead<'_>> {
        let state = &mut *self.state.borrow_mut();
        let (connection, sender) = self.connection(&state.registries, tried)?;
        let (request_id, response) = state.response_reads.register(connection);
        let request = ProxyRequest::ReadResponse { request_id, holder };
        sender.send_urgent(encode(&RegistryRequest::Proxy(request)));
        Some(SentRead { client: self, request_id, registry: connection.registry, response })
    }

    /// Handles a response that arrived on the connection `from`.
    pub(crate) fn on_response(
        &self,
        from: RegistryConnectionId,
        request_id: u32,
        response: Option<RecordedResponse>,
    ) {
        self.state.borrow_mut().response_reads.complete(from, request_id, response);
    }

    /// Another proxy reads, through a registry, the response to an operation that was executed by this proxy.
    pub(crate) fn on_read_response(&self, registry: Ipv4Addr, request_id: u64, holder: ClaimHolder) {
        let response = self.responses.borrow().get(holder);
        let metrics = &self.metrics;
        let counter = if response.is_some() { &metrics.responses_read } else { &metrics.responses_missing };
        counter.inc();
        if let Some((_, sender)) = self.registries.connection(registry) {
            sender.send(encode(&RegistryRequest::Proxy(ProxyRequest::Response { request_id, response })));
        }
    }

    /// Records a response for repeats of its request.
    pub(super) fn record_response(&self, holder: ClaimHolder, response: RecordedResponse) {
        self.responses.borrow_mut().insert(Instant::now(), holder.request, response);
    }
}
