//! Rate limits of tenants, decided by the owner of their counters.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::send;
use crate::support::registries::{QuotaBehavior, Registry};
use crate::support::{configuration, run_in_virtual_time, start_ready_proxy, wait_until};
use std::time::Duration;
use violetyoke_transport::messages::ProxyRequest;

#[test]
fn denied_request_gets_the_retry_time_of_the_owner() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, owner) = start_ready_proxy(&[&finder]).await;
        owner.set_quota_behavior(QuotaBehavior::Deny { retry_ms: 1_250 });

        let response = send("/search/1", "key-2", "a", b"").await;

        assert_eq!(response.status, 429);
        assert!(response.head.contains("retry-after: 1.250"), "{response:?}");
        assert_eq!(finder.received(), []);
    });
}

#[test]
fn request_of_a_tenant_without_a_limit_is_not_counted() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, owner) = start_ready_proxy(&[&finder]).await;
        owner.set_quota_behavior(QuotaBehavior::Deny { retry_ms: 1_250 });

        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn usage_is_transferred_to_a_new_owner_before_the_first_increment() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, old_owner) = start_ready_proxy(&[&finder]).await;
        let new_owner = Registry::start(2);
        new_owner.set_state(1, &configuration(1), &[&finder]);
        for registry in [&old_owner, &new_owner] {
            registry.set_membership_with_fence(2, 1, &[&new_owner], true);
        }
        for id in ["a", "b", "c"] {
            assert_eq!(send("/search/1", "key-2", id, b"").await.status, 200);
        }

        old_owner.send_membership();
        assert!(wait_until(Duration::from_secs(1), || new_owner.is_connected()).await);
        assert_eq!(send("/search/1", "key-2", "d", b"").await.status, 200);

        let received = new_owner.received().into_iter();
        let mut quota_messages = received.filter_map(|request| match request {
            ProxyRequest::TransferCount { current, previous, .. } => Some(current + previous),
            ProxyRequest::Increment { .. } => Some(0),
            _ => None,
        });
        assert_eq!(quota_messages.next(), Some(3), "the requests that were admitted under the old owner");
        assert_eq!(quota_messages.next(), Some(0), "the increment of this request");
    });
}
