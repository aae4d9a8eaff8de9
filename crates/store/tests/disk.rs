//! The two slots through torn, missing and spoiled writes.

#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use violetyoke_store::disk::{look, read, write, Found, Slots};
use violetyoke_store::register::Durable;

fn state(promised: u64) -> Durable {
    Durable { id: 7, promised, ..Durable::default() }
}

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn the_newest_state_comes_back() {
    let folder = folder("newest");
    let (mut slots, found) = Slots::open(&folder).expect("an empty folder");
    assert_eq!(found, None);
    for promised in 1..=5 {
        slots.put(&state(promised)).expect("written");
    }
    let (mut slots, found) = Slots::open(&folder).expect("the folder again");
    assert_eq!(found, Some(state(5)));
    slots.put(&state(6)).expect("written");
    assert_eq!(Slots::open(&folder).expect("again").1, Some(state(6)));
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_write_that_is_torn_at_any_byte_leaves_the_state_before() {
    let folder = folder("torn");
    let (mut slots, _) = Slots::open(&folder).expect("an empty folder");
    slots.put(&state(1)).expect("written");
    slots.put(&state(2)).expect("written");
    let whole = write(3, &state(3));
    for end in 0..whole.len() {
        // The slot of state 1 is the one that is written next.
        std::fs::write(folder.join("state-0"), &whole[..end]).expect("torn");
        assert_eq!(Slots::open(&folder).expect("opened").1, Some(state(2)), "torn at {end}");
    }
    for at in 0..whole.len() {
        let mut spoiled = whole.clone();
        spoiled[at] ^= 0x20;
        std::fs::write(folder.join("state-0"), &spoiled).expect("spoiled");
        assert_eq!(Slots::open(&folder).expect("opened").1, Some(state(2)), "spoiled at {at}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn what_a_slot_holds_is_told_apart() {
    assert_eq!(read(b""), Found::Spoiled);
    assert_eq!(read(&write(9, &state(4))), Found::State { number: 9, state: Box::new(state(4)) });
    let longer = [write(9, &state(4)), vec![1, 2, 3]].concat();
    assert!(
        matches!(read(&longer), Found::State { number: 9, .. }),
        "what an earlier, longer state left behind"
    );
    assert_eq!(look(std::path::Path::new("/nowhere/state-0")).expect("looked"), Found::Missing);
}
