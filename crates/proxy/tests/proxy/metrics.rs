//! The published metrics.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::{metrics, send};
use crate::support::{run_in_virtual_time, start_ready_proxy};

/// Names and help texts are part of the interface to operators.
const PUBLISHED: &str = "\
# HELP violetyoke_proxy_requests_total requests of clients
# TYPE violetyoke_proxy_requests_total counter
violetyoke_proxy_requests_total 2
# HELP violetyoke_proxy_answered_total answered with what a backend said
# TYPE violetyoke_proxy_answered_total counter
violetyoke_proxy_answered_total 1
# HELP violetyoke_proxy_past_limit_total refused past a tenant's limit
# TYPE violetyoke_proxy_past_limit_total counter
violetyoke_proxy_past_limit_total 0
# HELP violetyoke_proxy_refused_total refused, never having run
# TYPE violetyoke_proxy_refused_total counter
violetyoke_proxy_refused_total 0
# HELP violetyoke_proxy_failed_total given up on, having run perhaps
# TYPE violetyoke_proxy_failed_total counter
violetyoke_proxy_failed_total 0
# HELP violetyoke_proxy_further_total further attempts
# TYPE violetyoke_proxy_further_total counter
violetyoke_proxy_further_total 0
# HELP violetyoke_proxy_no_budget_total further attempts that the budget did not allow
# TYPE violetyoke_proxy_no_budget_total counter
violetyoke_proxy_no_budget_total 0
# HELP violetyoke_proxy_unasked_total counted here, as their holder could not be asked
# TYPE violetyoke_proxy_unasked_total counter
violetyoke_proxy_unasked_total 0
# HELP violetyoke_proxy_no_route_total denied: no such route
# TYPE violetyoke_proxy_no_route_total counter
violetyoke_proxy_no_route_total 1
# HELP violetyoke_proxy_no_key_total denied: no such key
# TYPE violetyoke_proxy_no_key_total counter
violetyoke_proxy_no_key_total 0
# HELP violetyoke_proxy_connections_total connections opened to backends
# TYPE violetyoke_proxy_connections_total counter
violetyoke_proxy_connections_total 1
";

#[test]
fn metrics_are_published_under_their_fixed_names() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let _proxy = start_ready_proxy(&[&finder]).await;
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
        assert_eq!(send("/nowhere/1", "key-1", "b", b"").await.status, 404);

        assert_eq!(metrics().await, PUBLISHED);
    });
}
