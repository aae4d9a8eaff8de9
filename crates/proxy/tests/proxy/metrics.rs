//! The published metrics.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::{metrics, send};
use crate::support::{run_in_virtual_time, start_ready_proxy};

/// The expected text. Names and help texts are part of the interface to operators.
const PUBLISHED: &str = "\
# HELP violetyoke_proxy_requests requests of clients.
# TYPE violetyoke_proxy_requests counter
violetyoke_proxy_requests_total 2
# HELP violetyoke_proxy_answered answered with what a backend said.
# TYPE violetyoke_proxy_answered counter
violetyoke_proxy_answered_total 1
# HELP violetyoke_proxy_past_limit refused past a tenant's limit.
# TYPE violetyoke_proxy_past_limit counter
violetyoke_proxy_past_limit_total 0
# HELP violetyoke_proxy_refused refused, never having run.
# TYPE violetyoke_proxy_refused counter
violetyoke_proxy_refused_total 0
# HELP violetyoke_proxy_failed given up on, having run perhaps.
# TYPE violetyoke_proxy_failed counter
violetyoke_proxy_failed_total 0
# HELP violetyoke_proxy_further further attempts.
# TYPE violetyoke_proxy_further counter
violetyoke_proxy_further_total 0
# HELP violetyoke_proxy_no_budget further attempts that the budget did not allow.
# TYPE violetyoke_proxy_no_budget counter
violetyoke_proxy_no_budget_total 0
# HELP violetyoke_proxy_unasked counted here, as their holder could not be asked.
# TYPE violetyoke_proxy_unasked counter
violetyoke_proxy_unasked_total 0
# HELP violetyoke_proxy_no_route denied: no such route.
# TYPE violetyoke_proxy_no_route counter
violetyoke_proxy_no_route_total 1
# HELP violetyoke_proxy_no_key denied: no such key.
# TYPE violetyoke_proxy_no_key counter
violetyoke_proxy_no_key_total 0
# HELP violetyoke_proxy_connections connections opened to backends.
# TYPE violetyoke_proxy_connections counter
violetyoke_proxy_connections_total 1
# HELP violetyoke_proxy_claims_granted keyed requests that were claimed and forwarded.
# TYPE violetyoke_proxy_claims_granted counter
violetyoke_proxy_claims_granted_total 0
# HELP violetyoke_proxy_claims_in_progress keyed requests whose operation another request was executing.
# TYPE violetyoke_proxy_claims_in_progress counter
violetyoke_proxy_claims_in_progress_total 0
# HELP violetyoke_proxy_claims_replayed keyed requests answered with a recorded response.
# TYPE violetyoke_proxy_claims_replayed counter
violetyoke_proxy_claims_replayed_total 0
# HELP violetyoke_proxy_claims_unknown keyed requests whose operation may have run without a response.
# TYPE violetyoke_proxy_claims_unknown counter
violetyoke_proxy_claims_unknown_total 0
# HELP violetyoke_proxy_claims_unavailable keyed requests refused, as no store decided on their claim in time.
# TYPE violetyoke_proxy_claims_unavailable counter
violetyoke_proxy_claims_unavailable_total 0
# HELP violetyoke_proxy_responses_read responses sent for repeats at other proxies.
# TYPE violetyoke_proxy_responses_read counter
violetyoke_proxy_responses_read_total 0
# HELP violetyoke_proxy_responses_missing responses that were asked for and are not kept here.
# TYPE violetyoke_proxy_responses_missing counter
violetyoke_proxy_responses_missing_total 0
# HELP violetyoke_proxy_claims_released claims given back, their request never having run.
# TYPE violetyoke_proxy_claims_released counter
violetyoke_proxy_claims_released_total 0
# HELP violetyoke_proxy_late_grants grants of claims that came too late to be used, or twice.
# TYPE violetyoke_proxy_late_grants counter
violetyoke_proxy_late_grants_total 0
# HELP violetyoke_proxy_longest_queue requests that wait for the service that has the most.
# TYPE violetyoke_proxy_longest_queue gauge
violetyoke_proxy_longest_queue 0
# HELP violetyoke_proxy_queue_limit requests that may wait for one service.
# TYPE violetyoke_proxy_queue_limit gauge
violetyoke_proxy_queue_limit 512
# EOF
";

#[test]
fn names_and_help_texts_of_the_metrics_are_unchanged() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let _proxy = start_ready_proxy(&[&finder]).await;
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
        assert_eq!(send("/nowhere/1", "key-1", "b", b"").await.status, 404);

        assert_eq!(metrics().await, PUBLISHED);
    });
}
