//! Slot files of earlier builds: an upgraded or rolled back store has to read the files that are on its disk. The
//! golden files are never edited.

#![cfg(test)]

#[path = "../../../transport/tests/golden/files.rs"]
mod files;
#[path = "../../../transport/tests/golden/older.rs"]
mod older;

use files::GoldenFolder;
use older::OlderControlState;
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{inspect, SlotContents, SlotStorage};
use violetyoke_transport::messages::{
    AcceptedVersions, ControlState, Epoch, ReplicaConfig, Revision, StoreId, StoreNode,
};

fn golden(name: &str, current: impl FnOnce() -> Vec<u8>) -> Vec<u8> {
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin").read(name, current)
}

/// An empty folder that is removed when this value is dropped.
struct DataDir(PathBuf);

impl DataDir {
    fn new(test: &str) -> DataDir {
        let path = std::env::temp_dir().join(format!("store-golden-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        DataDir(path)
    }

    fn write(&self, slot: &str, bytes: &[u8]) {
        std::fs::write(self.0.join(slot), bytes).expect("written");
    }

    fn read(&self, slot: &str) -> Vec<u8> {
        std::fs::read(self.0.join(slot)).expect("a slot's file")
    }
}

impl Drop for DataDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("removed");
    }
}

fn store(number: u8) -> StoreNode {
    StoreNode {
        id: StoreId(u64::MAX - u64::from(number)),
        ip: Ipv4Addr::new(127, 10, 3, number),
        zone: format!("zone-{number}"),
    }
}

/// A state with a non-default value in each field.
fn full_state(version: u64) -> DurableState {
    let text = format!("{{\"version\": {version}, \"note\": \"größe\"}}");
    let mut accepted = AcceptedVersions::default();
    assert!(accepted.insert(version - 1, "{}"));
    assert!(accepted.insert(version, &text));
    let revision = Revision { epoch: Epoch(70_000), sequence: version };
    let evacuated = BTreeSet::from(["zone-1".to_owned(), "zone-2".to_owned()]);
    DurableState {
        id: store(1).id,
        is_bootstrapping: true,
        promised: Epoch(70_001),
        config: ReplicaConfig {
            epoch: Epoch(70_000),
            voters: vec![store(1), store(2), store(3)],
            data_replicas: vec![store(1).id, store(2).id],
            previous_voters: vec![vec![store(1), store(4)], vec![store(4)]],
        },
        state: ControlState { revision, version, text, evacuated, accepted },
    }
}

const FIRST_VERSION: u64 = 300;
const SECOND_VERSION: u64 = 301;

/// The bytes of both slots after two writes.
fn written_slots(test: &str) -> (Vec<u8>, Vec<u8>) {
    let folder = DataDir::new(test);
    let (mut slots, found) = SlotStorage::open(&folder.0).expect("an empty folder");
    assert_eq!(found, None);
    slots.write(&full_state(FIRST_VERSION)).expect("written");
    slots.write(&full_state(SECOND_VERSION)).expect("written");
    (folder.read("state-0"), folder.read("state-1"))
}

#[test]
fn states_are_written_in_the_format_of_earlier_builds() {
    let (first, second) = written_slots("written");

    assert!(first.starts_with(b"barogr01"));
    assert_eq!(first, golden("state-0", || first.clone()));
    assert_eq!(second, golden("state-1", || second.clone()));
}

#[test]
fn slots_of_earlier_builds_are_read() {
    let folder = DataDir::new("read");
    folder.write("state-0", &golden("state-0", || written_slots("read-first").0));
    folder.write("state-1", &golden("state-1", || written_slots("read-second").1));

    let [first, second] = inspect(&folder.0).expect("read");
    let (_, newest) = SlotStorage::open(&folder.0).expect("opened");

    assert_eq!(first, SlotContents::State { write_number: 1, state: Box::new(full_state(FIRST_VERSION)) });
    assert_eq!(second, SlotContents::State { write_number: 2, state: Box::new(full_state(SECOND_VERSION)) });
    assert_eq!(newest, Some(full_state(SECOND_VERSION)));
}

#[test]
fn next_write_keeps_the_newest_slot_of_an_earlier_build() {
    let folder = DataDir::new("next");
    folder.write("state-0", &golden("state-0", || written_slots("next-first").0));
    folder.write("state-1", &golden("state-1", || written_slots("next-second").1));
    let (mut slots, _) = SlotStorage::open(&folder.0).expect("opened");

    slots.write(&full_state(302)).expect("written");

    let [first, second] = inspect(&folder.0).expect("read");
    assert_eq!(first, SlotContents::State { write_number: 3, state: Box::new(full_state(302)) });
    assert_eq!(second, SlotContents::State { write_number: 2, state: Box::new(full_state(SECOND_VERSION)) });
}

/// The durable state of builds that did not record accepted versions.
#[derive(Serialize)]
struct OlderDurable {
    id: StoreId,
    is_bootstrapping: bool,
    promised: Epoch,
    config: ReplicaConfig,
    state: OlderControlState,
}

/// The bytes of a slot as such a build wrote them.
fn older_slot(number: u64, state: &DurableState) -> Vec<u8> {
    let DurableState { id, is_bootstrapping, promised, config, state } = state.clone();
    let state = OlderControlState::of(&state);
    let older = OlderDurable { id, is_bootstrapping, promised, config, state };
    let payload = rmp_serde::to_vec(&older).expect("encoded");
    let mut digest = SipHasher13::new();
    digest.write_u64(number);
    digest.write(&payload);
    let length = payload.len() as u64;
    [
        b"barogr01".as_slice(),
        &number.to_le_bytes(),
        &length.to_le_bytes(),
        &digest.finish().to_le_bytes(),
        &payload,
    ]
    .concat()
}

#[test]
fn slots_of_builds_without_accepted_versions_are_read() {
    let older = older_slot(7, &full_state(FIRST_VERSION));
    let slot = golden("older-state-0", || older.clone());
    assert_eq!(slot, older);
    let folder = DataDir::new("older");
    folder.write("state-0", &slot);

    let (mut slots, found) = SlotStorage::open(&folder.0).expect("opened");

    let mut expected = full_state(FIRST_VERSION);
    expected.state.accepted = AcceptedVersions::default();
    assert_eq!(found, Some(expected));
    slots.write(&full_state(SECOND_VERSION)).expect("written");
    let (_, newest) = SlotStorage::open(&folder.0).expect("opened again");
    assert_eq!(newest, Some(full_state(SECOND_VERSION)));
}
