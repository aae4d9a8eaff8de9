//! Opens a connection to a backend in another region before the request may be sent there.

use super::attempt::connect;
use crate::forward::ForwardRequest;
use crate::state::Proxy;
use violetyoke_balancing::Selection;

/// Opens a connection to the backend that would be selected for the request now, and adds it to the pool as
/// an idle connection. Only done if the home regions exclude this proxy's region and no idle connection is
/// usable. The handshake takes a round trip between regions and runs concurrently with the check of the
/// tenant's limit, which may take one as well. Nothing is sent on the connection.
pub(crate) async fn preconnect(proxy: &Proxy, request: &ForwardRequest) {
    if !proxy.backends.excludes_local_region(&request.home_regions) {
        return;
    }
    let Selection::Backend(backend_id) = proxy.backends.select(request.criteria(&[])) else { return };
    let Some(target) = proxy.backends.target(&backend_id) else { return };
    let is_replayable = request.policy.is_idempotent && !request.body.is_streamed();
    if target.is_same_region || proxy.connection_pool.has_usable(&backend_id, is_replayable) {
        return;
    }
    // Errors are ignored: the attempt that needs the connection fails in the same way and records it.
    if let Ok(connection) = connect(proxy, target.address, false, request.deadline).await {
        let max_connections = proxy.backends.max_connections(&request.service);
        proxy.connection_pool.release(&backend_id, connection, None, max_connections);
        request.preconnected.set(Some(backend_id));
    }
}
