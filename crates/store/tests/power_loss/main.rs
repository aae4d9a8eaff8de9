//! Slots whose writer dies or loses power at each step of a write: a confirmed state, or a newer one, is recovered.

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod files;
mod log_files;
mod operation_log;

use files::{FaultyFiles, Unsynced};
use violetyoke_store::consensus::DurableState;
use violetyoke_store::disk::{encode_slot, SlotFiles, SlotStorage};
use violetyoke_transport::messages::{Epoch, StoreId};

fn state(promised: u64) -> DurableState {
    DurableState { id: StoreId(7), promised: Epoch(promised), ..DurableState::default() }
}

fn slot(write_number: u64, state: &DurableState) -> Vec<u8> {
    encode_slot(write_number, state).expect("a state can be encoded")
}

/// The storage of a newly started process.
fn recover(files: &FaultyFiles) -> SlotStorage<FaultyFiles> {
    SlotStorage::recover(files.clone()).expect("a disk without a limit").0
}

/// The promised epoch of the newest state that a newly started process recovers; 0 if there is none.
fn newest_promise(files: &FaultyFiles) -> u64 {
    let (_, found) = SlotStorage::recover(files.clone()).expect("a disk without a limit");
    found.map_or(0, |state| state.promised.0)
}

/// Starts a process that writes a state to a disk that fails after `steps`. Returns whether the write was confirmed.
fn write(files: &FaultyFiles, promised: u64, steps: Option<usize>) -> bool {
    let mut storage = recover(files);
    files.limit_steps(steps);
    let is_written = storage.write(&state(promised)).is_ok();
    files.limit_steps(None);
    is_written
}

/// Steps at which a write of `bytes` fails: within the header, at its end, within the state, and before each sync.
fn failure_points(bytes: usize) -> Vec<usize> {
    let steps = [0, 1, 7, 8, 9, 15, 16, 24, 31, 32, 33, bytes / 2, bytes - 1, bytes, bytes + 1, bytes + 2];
    let mut steps: Vec<usize> = steps.into_iter().filter(|step| *step <= bytes + 2).collect();
    steps.dedup();
    steps
}

/// Some complete writes, then two processes that each fail during a write, then a power loss.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    complete_writes: u64,
    first_fails_at: usize,
    second_fails_at: usize,
    unsynced: Unsynced,
}

impl Scenario {
    fn all() -> Vec<Scenario> {
        let points = failure_points(slot(9, &state(100)).len());
        let torn = points.iter().copied().map(Unsynced::Torn);
        let losses: Vec<Unsynced> = [Unsynced::Lost, Unsynced::Kept].into_iter().chain(torn).collect();
        let mut all = Vec::new();
        for complete_writes in 0..4 {
            for &first_fails_at in &points {
                for &second_fails_at in &points {
                    let scenario =
                        |&unsynced| Scenario { complete_writes, first_fails_at, second_fails_at, unsynced };
                    all.extend(losses.iter().map(scenario));
                }
            }
        }
        all
    }

    /// Runs the scenario. Returns a description of the loss if a confirmed state was lost.
    fn loss(self, files: &FaultyFiles) -> Option<String> {
        let mut confirmed = 0;
        for number in 0..self.complete_writes {
            assert!(write(files, 10 + number, None));
            confirmed = 10 + number;
        }
        if write(files, 100, Some(self.first_fails_at)) {
            confirmed = 100;
        }
        // The next process acts on the state that it recovers, so this state must not be lost later.
        confirmed = confirmed.max(newest_promise(files));
        if write(files, 200, Some(self.second_fails_at)) {
            confirmed = 200;
        }
        files.lose_power(self.unsynced);
        let found = newest_promise(files);
        (found < confirmed).then(|| format!("{self:?}: found {found} instead of {confirmed}"))
    }
}

#[test]
fn confirmed_state_survives_two_failed_writes_and_a_power_loss() {
    let scenarios = Scenario::all();
    assert!(scenarios.len() > 10_000, "{} scenarios", scenarios.len());
    for scenario in scenarios {
        assert_eq!(scenario.loss(&FaultyFiles::default()), None);
    }
}

#[test]
fn without_sync_of_recovered_slots_a_confirmed_state_is_lost() {
    let mut losses =
        Scenario::all().into_iter().filter_map(|it| it.loss(&FaultyFiles::without_sync_on_recovery()));
    assert!(losses.next().is_some(), "negative control: no loss detected");
}

#[test]
fn full_disk_keeps_the_previous_state_and_accepts_writes_once_it_has_space() {
    for step in failure_points(slot(9, &state(100)).len()) {
        let files = FaultyFiles::default();
        assert!(write(&files, 1, None) && write(&files, 2, None));
        let mut storage = recover(&files);
        files.limit_steps(Some(step));
        let is_written = storage.write(&state(3)).is_ok();
        files.limit_steps(Some(0));
        assert!(storage.write(&state(3)).is_err(), "the disk is still full");
        files.limit_steps(None);
        storage.write(&state(3)).expect("space again");
        storage.write(&state(4)).expect("a second write");
        files.lose_power(Unsynced::Lost);
        assert_eq!(newest_promise(&files), 4, "failed at step {step}, written: {is_written}");
    }
}

#[test]
fn with_both_slots_corrupt_nothing_is_recovered_and_new_writes_succeed() {
    let mut files = FaultyFiles::default();
    for (index, write_number) in [(0, 1), (1, 2)] {
        let mut bytes = slot(write_number, &state(write_number));
        bytes[40] ^= 1;
        files.write(index, &bytes).expect("written");
    }
    let (mut storage, found) = SlotStorage::recover(files.clone()).expect("read");
    // The store then gets a new disk id; it never uses a part of the state under the old id.
    assert_eq!(found, None);
    for promised in [5, 6, 7] {
        storage.write(&state(promised)).expect("written");
    }
    assert_eq!(newest_promise(&files), 7);
}
