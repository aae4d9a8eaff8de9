//! The two slots through torn, missing and spoiled writes.

#![cfg(test)]
#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{decode_slot, encode_slot, inspect_slot, SlotContents, SlotStorage};

fn state(promised: u64) -> DurableState {
    DurableState { id: 7, promised, ..DurableState::default() }
}

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn the_newest_state_comes_back() {
    let folder = folder("newest");
    let (mut slots, found) = SlotStorage::open(&folder).expect("an empty folder");
    assert_eq!(found, None);
    for promised in 1..=5 {
        slots.write(&state(promised)).expect("written");
    }
    let (mut slots, found) = SlotStorage::open(&folder).expect("the folder again");
    assert_eq!(found, Some(state(5)));
    slots.write(&state(6)).expect("written");
    assert_eq!(SlotStorage::open(&folder).expect("again").1, Some(state(6)));
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_write_that_is_torn_at_any_byte_leaves_the_state_before() {
    let folder = folder("torn");
    let (mut slots, _) = SlotStorage::open(&folder).expect("an empty folder");
    slots.write(&state(1)).expect("written");
    slots.write(&state(2)).expect("written");
    let whole = encode_slot(3, &state(3)).expect("encoded");
    for end in 0..whole.len() {
        // The slot of state 1 is the one that is written next.
        std::fs::write(folder.join("state-0"), &whole[..end]).expect("torn");
        assert_eq!(SlotStorage::open(&folder).expect("opened").1, Some(state(2)), "torn at {end}");
    }
    for at in 0..whole.len() {
        let mut spoiled = whole.clone();
        spoiled[at] ^= 0x20;
        std::fs::write(folder.join("state-0"), &spoiled).expect("spoiled");
        assert_eq!(SlotStorage::open(&folder).expect("opened").1, Some(state(2)), "spoiled at {at}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn what_a_slot_holds_is_told_apart() {
    assert_eq!(decode_slot(b""), SlotContents::Corrupt);
    assert_eq!(
        decode_slot(&encode_slot(9, &state(4)).expect("encoded")),
        SlotContents::State { write_number: 9, state: Box::new(state(4)) }
    );
    let longer = [encode_slot(9, &state(4)).expect("encoded"), vec![1, 2, 3]].concat();
    assert!(
        matches!(decode_slot(&longer), SlotContents::State { write_number: 9, .. }),
        "what an earlier, longer state left behind"
    );
    assert_eq!(
        inspect_slot(std::path::Path::new("/nowhere/state-0")).expect("looked"),
        SlotContents::Missing
    );
}

/// A state that can't be encoded.
struct Unencodable;

impl serde::Serialize for Unencodable {
    fn serialize<S: serde::Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(serde::ser::Error::custom("by design"))
    }
}

#[test]
fn a_state_that_cannot_be_encoded_is_an_error_and_never_an_empty_slot() {
    let error = encode_slot(9, &Unencodable).expect_err("it can't be encoded");
    let source = std::error::Error::source(&error).expect("a source").to_string();
    assert!(source.contains("by design"), "{source}");
}
