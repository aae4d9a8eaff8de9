//! Inspection of a store's folder: complete, truncated, changed and empty slots.

#![cfg(test)]

use std::path::PathBuf;
use violetyoke_ctl::command_line::CommandLine;
use violetyoke_ctl::commands::run;
use violetyoke_ctl::store::StoreInspection;
use violetyoke_ctl::CommandError;
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::SlotStorage;
use violetyoke_transport::messages::{
    AcceptedVersions, ControlState, Epoch, ReplicaConfig, Revision, StoreId, StoreNode,
};

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        #[expect(clippy::let_underscore_must_use, reason = "a folder that stays behind harms no later test")]
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn state(version: u64) -> DurableState {
    let voter = |n: u8| StoreNode { id: StoreId(u64::from(n)), ip: [10, 0, 0, n].into(), zone: "a".into() };
    let config = ReplicaConfig {
        epoch: Epoch(3),
        voters: (1..=3).map(voter).collect(),
        data_replicas: vec![StoreId(2), StoreId(1)],
        previous_voters: Vec::new(),
    };
    let text = format!("{{\"version\":{version}}}");
    let state = ControlState {
        revision: Revision { epoch: Epoch(3), sequence: version },
        version,
        text,
        evacuated: ["b".to_owned()].into(),
        accepted: AcceptedVersions::default(),
    };
    DurableState { id: StoreId(2), is_bootstrapping: false, promised: Epoch(3), config, state }
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

fn run_ctl(arguments: &[&str]) -> (Result<(), CommandError>, String) {
    let line = CommandLine::parse(lexopt::Parser::from_args(arguments)).expect("read");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let mut out = Vec::new();
    let ended = runtime.block_on(run(&line, &mut out));
    (ended, String::from_utf8(out).expect("text"))
}

#[test]
fn a_store_folder_is_printed_as_text_and_as_json() {
    let folder = folder("whole");
    insta::assert_snapshot!(StoreInspection::read(&folder.0).expect("read").to_text(), @r"
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
    let (ended, text) = run_ctl(&["store", &path, "--configuration"]);
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(text, "{\"version\":9}\n");
    let (ended, text) = run_ctl(&["store", &path, "--json"]);
    let slots: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!((&slots[1]["version"], &slots[1]["holders"][0]), (&9.into(), &2.into()));
}

#[test]
fn a_corrupt_slot_leaves_the_other_one_and_two_leave_no_state() {
    let folder = folder("spoiled");
    let (first, second) = (folder.0.join("state-0"), folder.0.join("state-1"));
    let mut bytes = std::fs::read(&second).expect("bytes");
    let last = bytes.len() - 3;
    bytes[last] ^= 1;
    std::fs::write(&second, &bytes).expect("flipped");
    let found = StoreInspection::read(&folder.0).expect("read");
    assert!(found.to_text().contains("place 1: spoiled"), "{}", found.to_text());
    assert_eq!(found.configuration(), Some("{\"version\":7}"));
    std::fs::write(&first, &bytes[..40]).expect("cut");
    let (ended, text) = run_ctl(&["store", &folder.0.to_string_lossy()]);
    let error = ended.expect_err("nothing is left");
    assert_eq!(error.exit_status(), 1);
    assert!(error.to_string().contains("no state that can be trusted"), "{error}");
    assert!(text.contains("knows nothing"), "{text}");
    let (ended, _) = run_ctl(&["store", "/nowhere/at/all", "--configuration"]);
    assert_eq!(ended.expect_err("there is no such folder").exit_status(), 1);
}
