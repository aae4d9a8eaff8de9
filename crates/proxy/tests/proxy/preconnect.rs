//! Connections to backends in other regions, which are opened while a request's rate limit is checked.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::{is_ready_within, send, start_with_body_as};
use crate::support::registries::{QuotaBehavior, Registry};
use crate::support::{
    configuration_with_distant_home, run_in_virtual_time, start_proxy, wait_until, RunningProxy,
};
use std::time::Duration;
use tokio::time::sleep;

/// A proxy in the region `west` and a backend of bookings in `east`.
async fn start() -> (RunningProxy, Registry, Backend) {
    let ledger = Backend::ledger(1, Behavior::respond_ok("booked")).in_zone("b");
    let registry = Registry::start(1);
    registry.set_state(1, &configuration_with_distant_home(1), &[&ledger]);
    registry.set_membership(1, &[&registry], true);
    let proxy = start_proxy(&[&registry]);
    assert!(is_ready_within(Duration::from_secs(5)).await);
    (proxy, registry, ledger)
}

#[test]
fn backend_in_another_region_is_connected_before_the_quota_owner_replies() {
    run_in_virtual_time(|| async {
        let (_proxy, registry, ledger) = start().await;
        registry.set_quota_behavior(QuotaBehavior::Hang);

        let request = start_with_body_as("/book/1", "key-2", "a", 1, 1).await;
        sleep(Duration::from_millis(5)).await;
        assert_eq!(
            (ledger.connections_opened(), ledger.received().len()),
            (1, 0),
            "the connection is open, and nothing was sent"
        );

        // No reply arrives, so the proxy admits the request locally.
        assert_eq!(request.wait().await.map(|response| response.status), Some(200));
        assert_eq!(
            ledger.connections_used(),
            [1],
            "the request was sent on the connection that was already open"
        );
    });
}

#[test]
fn connection_opened_for_a_denied_request_is_used_by_the_next_requests() {
    run_in_virtual_time(|| async {
        let (_proxy, registry, ledger) = start().await;
        registry.set_quota_behavior(QuotaBehavior::Deny { retry_ms: 500 });
        assert_eq!(send("/book/1", "key-2", "a", b"x").await.status, 429);
        assert!(wait_until(Duration::from_secs(1), || ledger.connections_opened() <= 1).await);
        assert_eq!(ledger.received(), []);

        registry.set_quota_behavior(QuotaBehavior::Admit);
        assert_eq!(send("/book/1", "key-2", "b", b"x").await.status, 200);
        assert_eq!(send("/book/1", "key-2", "c", b"x").await.status, 200);
        assert_eq!(
            ledger.connections_used(),
            [ledger.connections_opened(); 2],
            "the connection is kept for the next requests"
        );
    });
}
