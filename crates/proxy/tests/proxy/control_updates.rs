//! Updates of the configuration and of the backend list that a registry sends without a poll.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::send;
use crate::support::registries::Registry;
use crate::support::{
    configuration, configuration_with_route, run_in_virtual_time, start_ready_proxy, wait_until,
};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::Configuration;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{
    BackendListChange, Epoch, ListDigest, ProxyReply, ProxyRequest, Revision,
};

/// The time within which an update must take effect.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(1);

fn revision(sequence: u64) -> Revision {
    Revision { epoch: Epoch(1), sequence }
}

fn parse(configuration: &Value) -> Configuration {
    Configuration::parse(configuration.to_string().as_bytes()).expect("valid")
}

/// The change that adds the route `/new/` to [`configuration`], as a change from the revision `from` to the revision `to`.
fn state_change(from: Revision, to: Revision) -> ProxyReply {
    let (old, new) = (parse(&configuration(1)), parse(&configuration_with_route(2, "/new/")));
    let change = ConfigurationChange::between(&old, &new).expect("a change");
    let change = Compressed::encode(&change).expect("encoded");
    ProxyReply::StateChange { from, revision: to, evacuated: BTreeSet::new(), change }
}

/// The revisions in the proxy's polls of this registry, in order.
fn polled_revisions(registry: &Registry) -> Vec<Revision> {
    let polls = registry.received().into_iter().filter_map(|request| match request {
        ProxyRequest::Poll { revision, .. } => Some(revision),
        _ => None,
    });
    polls.collect()
}

#[test]
fn state_change_based_on_the_configuration_in_force_is_installed() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;

        registry.send(&state_change(revision(1), revision(2)));

        assert!(
            wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).last() == Some(&revision(2))).await
        );
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn state_change_based_on_another_configuration_makes_the_proxy_poll_for_the_full_state() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        registry.set_state(8, &configuration_with_route(2, "/new/"), &[&finder]);
        let polls_before = polled_revisions(&registry).len();

        registry.send(&state_change(revision(7), revision(8)));

        assert!(
            wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).last() == Some(&revision(8))).await
        );
        assert_eq!(polled_revisions(&registry)[polls_before], Revision::default());
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn older_state_does_not_replace_the_configuration_in_force() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        registry.send(&state_change(revision(1), revision(3)));
        assert!(
            wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).last() == Some(&revision(3))).await
        );
        let polls_before = polled_revisions(&registry).len();

        let configuration = Compressed::encode(&parse(&configuration(1))).expect("encoded");
        registry.send(&ProxyReply::FullState {
            revision: revision(2),
            evacuated: BTreeSet::new(),
            configuration,
        });

        assert!(wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).len() > polls_before).await);
        assert_eq!(polled_revisions(&registry).last(), Some(&revision(3)));
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn backend_list_change_based_on_another_list_is_not_applied() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        let removal = |from| BackendListChange {
            from,
            digest: ListDigest(78),
            age_ms: 0,
            upserted: Vec::new(),
            removed: vec!["finder-1".to_owned()],
        };
        let polls_before = polled_revisions(&registry).len();

        registry.send(&ProxyReply::BackendListChange(removal(ListDigest(1))));

        assert!(wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).len() > polls_before).await);
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
        // Counter-check: based on the list in force, the same change removes the backend.
        registry.set_backend_list_digest(ListDigest(78));
        registry.send(&ProxyReply::BackendListChange(removal(ListDigest(77))));
        assert!(wait_until(UPDATE_TIMEOUT, || polled_revisions(&registry).len() > polls_before + 1).await);
        assert_eq!(send("/search/1", "key-1", "b", b"").await.status, 503);
    });
}
