//! Recovery of the state from two slot files that may be torn, missing or damaged.

#![cfg(test)]

use std::path::{Path, PathBuf};
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{decode_slot, encode_slot, inspect_slot, SlotContents, SlotStorage};
use violetyoke_transport::messages::{Epoch, StoreId};

fn state(promised: u64) -> DurableState {
    DurableState { id: StoreId(7), promised: Epoch(promised), ..DurableState::default() }
}

fn slot(write_number: u64, state: &DurableState) -> Vec<u8> {
    encode_slot(write_number, state).expect("a state can be encoded")
}

/// A folder that is removed when this value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("store-slots-{}-{test}", std::process::id())))
    }

    /// The newest state that a starting process finds.
    fn recover(&self) -> Option<DurableState> {
        SlotStorage::open(&self.0).expect("opened").1
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("removed");
    }
}

#[test]
fn newest_state_is_recovered() {
    let folder = Folder::new("newest");
    let (mut storage, found) = SlotStorage::open(&folder.0).expect("an empty folder");
    assert_eq!(found, None);
    for promised in 1..=5 {
        storage.write(&state(promised)).expect("written");
    }
    let (mut storage, found) = SlotStorage::open(&folder.0).expect("the folder again");
    assert_eq!(found, Some(state(5)));
    storage.write(&state(6)).expect("written");
    assert_eq!(folder.recover(), Some(state(6)));
}

#[test]
fn write_torn_or_damaged_at_any_byte_leaves_the_previous_state() {
    let folder = Folder::new("torn");
    let (mut storage, _) = SlotStorage::open(&folder.0).expect("an empty folder");
    storage.write(&state(1)).expect("written");
    storage.write(&state(2)).expect("written");
    // The slot with state 1 is written next.
    let next_slot = folder.0.join("state-0");
    let bytes = slot(3, &state(3));
    for end in 0..bytes.len() {
        std::fs::write(&next_slot, &bytes[..end]).expect("torn");
        assert_eq!(folder.recover(), Some(state(2)), "torn at {end}");
    }
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x20;
        std::fs::write(&next_slot, &damaged).expect("damaged");
        assert_eq!(folder.recover(), Some(state(2)), "damaged at {offset}");
    }
}

#[test]
fn missing_corrupt_and_complete_slots_are_distinguished() {
    assert_eq!(decode_slot(b""), SlotContents::Corrupt);
    let contents = decode_slot(&slot(9, &state(4)));
    assert_eq!(contents, SlotContents::State { write_number: 9, state: Box::new(state(4)) });
    let longer = [slot(9, &state(4)), vec![1, 2, 3]].concat();
    assert!(
        matches!(decode_slot(&longer), SlotContents::State { write_number: 9, .. }),
        "trailing bytes of an earlier, longer state are ignored"
    );
    let missing = inspect_slot(Path::new("/nowhere/state-0")).expect("inspected");
    assert_eq!(missing, SlotContents::Missing);
}

/// A value whose encoding always fails.
struct Unencodable;

impl serde::Serialize for Unencodable {
    fn serialize<S: serde::Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(serde::ser::Error::custom("by design"))
    }
}

#[test]
fn state_that_cannot_be_encoded_is_an_error_and_never_an_empty_slot() {
    let error = encode_slot(9, &Unencodable).expect_err("it can't be encoded");
    let source = std::error::Error::source(&error).expect("a source").to_string();
    assert!(source.contains("by design"), "{source}");
}

// Guards against a store that can't write any more, because the number of the next write would be beyond 64 bits.
#[test]
fn state_with_a_write_number_that_no_store_has_written_is_not_recovered() {
    for write_number in [u64::MAX, u64::MAX - 1, (1 << 48) + 1] {
        assert_eq!(decode_slot(&slot(write_number, &state(3))), SlotContents::Corrupt, "{write_number}");
    }
    let newest = decode_slot(&slot(1 << 48, &state(3)));
    assert!(
        matches!(newest, SlotContents::State { write_number, .. } if write_number == 1 << 48),
        "{newest:?}"
    );
}
