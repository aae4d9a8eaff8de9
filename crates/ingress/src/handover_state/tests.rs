//! The sealed state of an ingress process, as earlier builds wrote it. Postcard encodes fields by position. The
//! golden files are never edited: another encoding is another version (see `violetyoke_succession`).

#[path = "../../../transport/tests/golden/files.rs"]
mod files;

use super::*;
use crate::discovery::Phase;
use files::GoldenFolder;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_succession::{open, seal, Header};

/// All names of fields in the order of their encoding, with every number replaced by 0 or 0.0.
fn names_in_order(state: &HandoverState) -> String {
    let text = serde_json::to_string(state).unwrap();
    let mut names = String::new();
    for character in text.chars() {
        let character = if character.is_ascii_digit() { '0' } else { character };
        if character != '0' || !names.ends_with('0') {
            names.push(character);
        }
    }
    names
}

/// A state with one node, one customer, and a value in each field.
fn sample() -> HandoverState {
    let class = Class {
        latency_target: 500_000,
        latency_target_stretch: 0.0,
        deadline: 2_000_000,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        admission_only: false,
    };
    let plan = Plan { rate: 5.0, burst: 10.0, value: 1.0, ..Plan::default() };
    let counter = Some(Counter { timeout: 50_000, fee: 0.0 });
    let settings =
        Settings { gateways: 1, classes: vec![class], plans: vec![plan], counter, ..Settings::default() };
    let mut gateway = Gateway::new(settings, 1);
    let request = Request {
        id: 1,
        class: 0,
        plan: 0,
        customer: 42,
        units: 1.0,
        gateway_count: 1.0,
        first_gateway: 0.0,
        timeout: 2_000_000,
        is_retry: false,
        is_write: false,
    };
    let entry = BackendEntry { id: 1, condition: Condition::Ready, weight: 1.0, ..BackendEntry::default() };
    let mut actions = Vec::new();
    gateway.handle(
        1,
        Event::Backends { kind: ListKind::Full, version: 1, entries: vec![entry] },
        &mut actions,
    );
    gateway.handle(2, Event::Request(request), &mut actions);
    let list = r#"{"id": "a", "host_port": "127.0.0.1:1", "phase": "in_service"}"#;
    HandoverState {
        nodes: vec![serde_json::from_str(list).unwrap()],
        node_names: BTreeMap::from([(1, "n".to_string())]),
        restored_nodes: BTreeMap::from([("a".to_string(), (1, 2))]),
        learned_state: gateway.export_state(3),
        ..HandoverState::default()
    }
}

/// Guards against fields that change without a new version: Postcard does not identify fields, so a process of
/// another build would decode one as another.
#[test]
fn changed_fields_require_a_new_version() {
    let version_3 = concat!(
        r#"{"nodes":[{"id":"a","host_port":"0.0.0.0:0","locality":"","flavor":"","cell":0,"#,
        r#""phase":"in_service","size":0.0,"up_since_ms":0}],"numbers":{"0":"n"},"classes":[],"#,
        r#""plans":[],"back":{"a":[0,0]},"belief":{"exported_at":0,"#,
        r#""fleet":{"backends":{"0":{"in_flight":0,"latency":0.0,"failure_rate":0.0,"timeout_rate":0.0,"#,
        r#""speed":0.0,"lost":0,"ejected_until":0,"ejections":0,"started":0,"gaps_needed":0.0,"#,
        r#""attempts":{"value":0.0,"updated_at":0}}},"typical":[0.0],"best":[0.0],"limit":0.0,"#,
        r#""latency":0.0,"cut_at":0,"attempts":{"value":0.0,"updated_at":0},"capacity":{"value":0.0,"#,
        r#""updated_at":0}},"counter":{"query_interval":{"value":0.0,"updated_at":0},"#,
        r#""interval_raised_at":0,"failures":0,"fastest":0.0},"peer_updates_until":0,"#,
        r#""idle_connections":{"requests_by_idle_time":[[0.0,0.0],[0.0,0.0],[0.0,0.0],[0.0,0.0],[0.0,"#,
        r#"0.0],[0.0,0.0],[0.0,0.0],[0.0,0.0],[0.0,0.0],[0.0,0.0],[0.0,0.0]],"updated_at":0,"#,
        r#""idle_timeout":null},"customers":{"0":{"plan":0,"gateway_count":0.0,"first_gateway":0,"#,
        r#""window":0,"total":0.0,"unconfirmed":0.0,"added":0.0,"unreported":0.0,"previous":0.0,"#,
        r#""carried_in":0,"previous_known":false,"previous_queried":false,"excess_share":0.0,"#,
        r#""queried_at":0,"total_at":0,"home_window":0,"bucket":0.0,"bucket_at":0,"share":0.0,"#,
        r#""scaled":true,"allowance":0.0,"allowance_at":0,"peer_units":0.0,"unannounced":0.0,"#,
        r#""in_flight":0,"open_requests":0,"last_request_at":0}}}}"#,
    );
    assert_eq!(violetyoke_succession::VERSION, 3);
    assert_eq!(names_in_order(&sample()), version_3);
}

fn header() -> Header {
    Header { ingress: "ingress-3".into(), settings: 42, to: "process-7".into() }
}

#[test]
fn state_of_an_earlier_build_is_decoded_and_encoded_identically() {
    let folder = GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin");
    let golden = folder.read("inheritance", || seal(&header(), &sample()).expect("sealed"));

    let mut state: HandoverState = open(&golden, &header()).expect("opened");

    assert_eq!(seal(&header(), &state).expect("sealed"), golden);
    assert_eq!(state.learned_state.entry_counts(), (1, 1), "one node and one customer");
    assert_eq!(state.restored_nodes["a"], (1, 2));
    let list = state.take_target_list().expect("the state has a list");
    assert_eq!((list.members.len(), list.members[0].id.as_str()), (1, "a"));
}

/// Guards against a changed order of phases: Postcard encodes a variant of an enum by its position.
#[test]
fn phases_of_nodes_of_an_earlier_build_are_decoded_and_encoded_identically() {
    let phases = ["in_service", "terminating", "terminated"];
    let node = |phase| format!(r#"{{"id": "{phase}", "host_port": "127.0.0.1:1", "phase": "{phase}"}}"#);
    let nodes = phases.map(|phase| serde_json::from_str(&node(phase)).expect("a node"));
    let current = HandoverState { nodes: nodes.to_vec(), ..HandoverState::default() };
    let folder = GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin");
    let golden = folder.read("inheritance-phases", || seal(&header(), &current).expect("sealed"));

    let mut state: HandoverState = open(&golden, &header()).expect("opened");

    assert_eq!(seal(&header(), &state).expect("sealed"), golden);
    assert_eq!(seal(&header(), &current).expect("sealed"), golden);
    let members = state.take_target_list().expect("the state has a list").members;
    let read = members.iter().map(|node| (node.id.as_str(), node.phase));
    let expected = phases.into_iter().zip([Phase::InService, Phase::Terminating, Phase::Terminated]);
    assert!(read.eq(expected));
}
