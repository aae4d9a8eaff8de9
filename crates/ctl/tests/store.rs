//! A store's disk by hand: whole, torn, changed, empty.

#![cfg(test)]
#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::path::PathBuf;
use violetyoke_ctl::store::Inspected;
use violetyoke_ctl::verbs::{read, run, Ended};
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::SlotStorage;
use violetyoke_transport::messages::{AcceptedVersions, ControlState, ReplicaConfig, Revision, StoreNode};

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left of a test is of no use to anybody.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn state(version: u64) -> DurableState {
    let voter = |n: u8| StoreNode { id: u64::from(n), ip: [10, 0, 0, n].into(), zone: "a".into() };
    let config = ReplicaConfig {
        epoch: 3,
        voters: (1..=3).map(voter).collect(),
        data_replicas: vec![2, 1],
        previous_voters: Vec::new(),
    };
    let text = format!("{{\"version\":{version}}}");
    let state = ControlState {
        revision: Revision { epoch: 3, sequence: version },
        version,
        text,
        evacuated: ["b".to_owned()].into(),
        accepted: AcceptedVersions::default(),
    };
    DurableState { id: 2, is_bootstrapping: false, promised: 3, config, state }
}

/// A folder with two states in it.
fn folder(name: &str) -> Folder {
    let folder = Folder(std::env::temp_dir().join(format!("violetyoke-ctl-{name}-{}", std::process::id())));
    let (mut slots, _) = SlotStorage::open(&folder.0).expect("a folder");
    for version in [7, 9] {
        slots.write(&state(version)).expect("kept");
    }
    folder
}

fn ask(arguments: &[&str]) -> (Ended, String) {
    let wanted = read(lexopt::Parser::from_args(arguments)).expect("read");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let mut out = Vec::new();
    let ended = runtime.block_on(run(&wanted, &mut out));
    (ended, String::from_utf8(out).expect("text"))
}

#[test]
fn a_store_s_disk_is_told_in_words_and_for_programs() {
    let folder = folder("whole");
    insta::assert_snapshot!(Inspected::of(&folder.0).expect("read").text(), @r"
    place 0: write 1, epoch 3, version 7, digest fine
    place 1: write 2, epoch 3, version 9, digest fine
    this store: 10.0.0.2 (a), disk 2
    promised: epoch 3
    voters: 10.0.0.1 (a), 10.0.0.2 (a), 10.0.0.3 (a)
    holders, the primary first: 10.0.0.2 (a), 10.0.0.1 (a)
    held: version 9, 13 bytes, stamp 3.9
    evacuated: b
    ");
    let path = folder.0.to_string_lossy().into_owned();
    assert_eq!(ask(&["store", &path, "--configuration"]), (Ended::Done, "{\"version\":9}\n".to_owned()));
    let (ended, text) = ask(&["store", &path, "--json"]);
    let told: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((ended, &told[1]["version"], &told[1]["holders"][0]), (Ended::Done, &9.into(), &2.into()));
}

#[test]
fn a_flipped_byte_or_a_cut_leaves_the_other_place_and_both_leave_nothing() {
    let folder = folder("spoiled");
    let (first, second) = (folder.0.join("state-0"), folder.0.join("state-1"));
    let mut bytes = std::fs::read(&second).expect("bytes");
    let last = bytes.len() - 3;
    bytes[last] ^= 1;
    std::fs::write(&second, &bytes).expect("flipped");
    let found = Inspected::of(&folder.0).expect("read");
    assert!(found.text().contains("place 1: spoiled"), "{}", found.text());
    assert_eq!(found.configuration(), Some("{\"version\":7}"));
    std::fs::write(&first, &bytes[..40]).expect("cut");
    let (ended, text) = ask(&["store", &folder.0.to_string_lossy()]);
    assert!(matches!(ended, Ended::Refused(why) if why.contains("no state that can be trusted")));
    assert!(text.contains("knows nothing"), "{text}");
    let (ended, _) = ask(&["store", "/nowhere/at/all", "--configuration"]);
    assert!(matches!(ended, Ended::Refused(_)));
}
