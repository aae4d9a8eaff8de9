//! What a process of an ingress hands down to the next, sealed, as the builds before wrote it: Postcard goes by the
//! position of fields. The golden file is never edited; another form is another version (see `violetyoke_succession`).

#[path = "../../../transport/tests/golden/files.rs"]
mod files;

use super::*;
use crate::discovery::Phase;
use files::GoldenFolder;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_succession::{open, seal, Header};

/// All names in the order in which they are written, with every figure as 0 or 0.0.
fn form(inheritance: &Inheritance) -> String {
    let text = serde_json::to_string(inheritance).unwrap();
    let mut form = String::new();
    for letter in text.chars() {
        let letter = if letter.is_ascii_digit() { '0' } else { letter };
        if letter != '0' || !form.ends_with('0') {
            form.push(letter);
        }
    }
    form
}

/// With one node, one customer, and a value in each field.
fn sample() -> Inheritance {
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
    Inheritance {
        nodes: vec![serde_json::from_str(list).unwrap()],
        numbers: BTreeMap::from([(1, "n".to_string())]),
        back: BTreeMap::from([("a".to_string(), (1, 2))]),
        belief: gateway.export_state(3),
        ..Inheritance::default()
    }
}

/// Postcard tells no field from the next: a process of another build must not read one for the other.
#[test]
fn a_form_that_changes_is_another_version() {
    let of_version_3 = concat!(
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
    assert_eq!(form(&sample()), of_version_3);
}

fn header() -> Header {
    Header { ingress: "ingress-3".into(), settings: 42, to: "process-7".into() }
}

#[test]
fn the_inheritance_of_an_earlier_build_is_read_and_written_alike() {
    let folder = GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin");
    let golden = folder.read("inheritance", || seal(&header(), &sample()).expect("sealed"));

    let mut inheritance: Inheritance = open(&golden, &header()).expect("opened");

    assert_eq!(seal(&header(), &inheritance).expect("sealed"), golden);
    assert_eq!(inheritance.belief.entry_counts(), (1, 1), "one node and one customer");
    assert_eq!(inheritance.back["a"], (1, 2));
    let list = inheritance.list().expect("a list");
    assert_eq!((list.members.len(), list.members[0].id.as_str()), (1, "a"));
}

/// Postcard encodes an enum's variant by its place.
#[test]
fn the_phases_of_nodes_of_an_earlier_build_are_read_and_written_alike() {
    let phases = ["in_service", "terminating", "terminated"];
    let node = |phase| format!(r#"{{"id": "{phase}", "host_port": "127.0.0.1:1", "phase": "{phase}"}}"#);
    let nodes = phases.map(|phase| serde_json::from_str(&node(phase)).expect("a node"));
    let current = Inheritance { nodes: nodes.to_vec(), ..Inheritance::default() };
    let folder = GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin");
    let golden = folder.read("inheritance-phases", || seal(&header(), &current).expect("sealed"));

    let mut inheritance: Inheritance = open(&golden, &header()).expect("opened");

    assert_eq!(seal(&header(), &inheritance).expect("sealed"), golden);
    assert_eq!(seal(&header(), &current).expect("sealed"), golden);
    let members = inheritance.list().expect("a list").members;
    let read = members.iter().map(|node| (node.id.as_str(), node.phase));
    let expected = phases.into_iter().zip([Phase::InService, Phase::Terminating, Phase::Terminated]);
    assert!(read.eq(expected));
}
