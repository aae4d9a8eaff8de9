//! SlotStorage through processes that die and power that goes at each step of a write, one after the other: what counted once
//! is there, or something newer.

#![cfg(test)]

mod lossy;

use lossy::{LossyFiles, Unsynced};
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{encode_slot, SlotStorage};

fn state(promised: u64) -> DurableState {
    DurableState { id: 7, promised, ..DurableState::default() }
}

fn newest(files: &LossyFiles) -> (SlotStorage<LossyFiles>, u64) {
    let (slots, found) = SlotStorage::recover(files.clone()).expect("a disk that takes all");
    (slots, found.map_or(0, |state| state.promised))
}

/// A process starts and writes a state to a disk that stops after so many steps; whether the write counted.
fn put(files: &LossyFiles, promised: u64, takes: Option<usize>) -> bool {
    let (mut slots, _) = newest(files);
    files.takes(takes);
    let counted = slots.write(&state(promised)).is_ok();
    files.takes(None);
    counted
}

/// Steps at which a write of `bytes` may stop: within the head, at its end, within the state, before each sync.
fn stops(bytes: usize) -> Vec<usize> {
    let steps = [0, 1, 7, 8, 9, 15, 16, 24, 31, 32, 33, bytes / 2, bytes - 1, bytes, bytes + 1, bytes + 2];
    let mut steps: Vec<usize> = steps.into_iter().filter(|at| *at <= bytes + 2).collect();
    steps.dedup();
    steps
}

/// A process dies within a write, the next one within its own, and then the power goes. Returns the losses found.
fn play(files_of: fn() -> LossyFiles) -> (u32, Vec<String>) {
    let bytes = encode_slot(9, &state(100)).expect("encoded").len();
    let (mut played, mut lost) = (0, Vec::new());
    for before in 0..4 {
        for first in stops(bytes) {
            for second in stops(bytes) {
                for unsynced in [Unsynced::Lost, Unsynced::Kept]
                    .into_iter()
                    .chain(stops(bytes).into_iter().map(Unsynced::Torn))
                {
                    let files = files_of();
                    let mut counts = 0;
                    for number in 0..before {
                        assert!(put(&files, 10 + number, None));
                        counts = 10 + number;
                    }
                    if put(&files, 100, Some(first)) {
                        counts = 100;
                    }
                    // Whoever starts next acts on what it finds.
                    counts = counts.max(newest(&files).1);
                    if put(&files, 200, Some(second)) {
                        counts = 200;
                    }
                    files.lose_power(unsynced);
                    let (_, found) = newest(&files);
                    played += 1;
                    if found < counts {
                        lost.push(format!("{before} writes, stops at {first} and {second}, {unsynced:?}: {found} of {counts}"));
                    }
                }
            }
        }
    }
    (played, lost)
}

#[test]
fn what_counted_once_survives_two_broken_writes_and_a_loss_of_power() {
    let (played, lost) = play(LossyFiles::default);
    assert!(played > 10_000, "{played} played");
    assert!(lost.is_empty(), "{} lost, the first: {:?}", lost.len(), lost.first());
}

#[test]
fn without_a_sync_of_what_is_found_a_state_that_counted_is_lost() {
    let (_, lost) = play(LossyFiles::without_sync_of_found);
    assert!(!lost.is_empty(), "the negative control finds the loss");
}

#[test]
fn a_full_disk_keeps_the_state_before_and_takes_the_next_once_it_has_room() {
    for stop in stops(encode_slot(9, &state(100)).expect("encoded").len()) {
        let files = LossyFiles::default();
        assert!(put(&files, 1, None) && put(&files, 2, None));
        let (mut slots, _) = newest(&files);
        files.takes(Some(stop));
        let counted = slots.write(&state(3)).is_ok();
        files.takes(Some(0));
        assert!(slots.write(&state(3)).is_err(), "it is full still");
        files.takes(None);
        slots.write(&state(3)).expect("room again");
        slots.write(&state(4)).expect("and again");
        files.lose_power(Unsynced::Lost);
        assert_eq!(newest(&files).1, 4, "stopped at {stop}, counted {counted}");
    }
}

#[test]
fn with_both_slots_spoiled_nothing_comes_back_and_the_disk_works_again() {
    let spoiled = [1, 2].map(|number| {
        let mut bytes = encode_slot(number, &state(number)).expect("encoded");
        bytes[40] ^= 1;
        bytes
    });
    let mut files = LossyFiles::default();
    for (slot, bytes) in spoiled.iter().enumerate() {
        violetyoke_store::disk::SlotFiles::write(&mut files, slot, bytes).expect("written");
    }
    let (mut slots, found) = SlotStorage::recover(files.clone()).expect("read");
    // The replica draws a new id then: never a part of the state under the old one.
    assert_eq!(found, None);
    for promised in [5, 6, 7] {
        slots.write(&state(promised)).expect("written");
    }
    assert_eq!(newest(&files).1, 7);
}
