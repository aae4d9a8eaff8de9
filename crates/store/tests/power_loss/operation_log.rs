//! The operation log whose writer dies or loses power at each step of an append: all confirmed records are recovered.

use super::files::Unsynced;
use super::log_files::{FaultyLogFiles, SkippedSync};
use std::time::Duration;
use violetyoke_store::disk::operation_log::{encode_entry, AppendError, OperationLog};
use violetyoke_transport::messages::{OperationKey, OperationRecord, OperationState};

const KEEP_MS: u32 = 60_000;
/// Steps of an append to a new segment, not counting its bytes: file creation, and the syncs of directory and file.
const STEPS_OF_NEW_SEGMENT: usize = 3;

fn record(number: u64) -> OperationRecord {
    OperationRecord {
        key: OperationKey { tenant: "tenant".into(), key: format!("order-{number}") },
        claim: Default::default(),
        holder: Default::default(),
        timeout_ms: 2_000,
        keep_ms: KEEP_MS,
        state: OperationState::Executed,
    }
}

fn entry_bytes() -> usize {
    encode_entry(&[record(9)]).expect("a record can be encoded").len()
}

/// The log of a newly started process, and the keys that it recovers.
fn recover(files: &FaultyLogFiles) -> (OperationLog<FaultyLogFiles>, Vec<String>) {
    let (log, records) = OperationLog::recover(files.clone(), 1 << 20).expect("a disk without a limit");
    (log, records.into_iter().map(|record| record.key.key).collect())
}

fn append_at(log: &mut OperationLog<FaultyLogFiles>, now_s: u64, number: u64) -> Result<(), AppendError> {
    log.append_at(Duration::from_secs(now_s), &[record(number)])
}

/// Steps at which an append fails: within the header, within the records, and before each sync.
fn failure_points() -> Vec<usize> {
    let bytes = entry_bytes();
    let last = bytes + STEPS_OF_NEW_SEGMENT;
    let mut steps = vec![0, 1, 2, 3, 9, 10, 17, 18, 25, 26, 27, bytes / 2];
    steps.extend(bytes - 2..=last);
    steps
}

/// Two processes, one after the other, whose first append fails at some step; then a power loss.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    first_fails_at: usize,
    second_fails_at: usize,
    /// Whether the processes append two more records after the failure.
    appends_again: bool,
    unsynced: Unsynced,
}

impl Scenario {
    fn all() -> Vec<Scenario> {
        let points = failure_points();
        let torn = points.iter().copied().map(Unsynced::Torn);
        let losses: Vec<Unsynced> = [Unsynced::Lost, Unsynced::Kept].into_iter().chain(torn).collect();
        let mut all = Vec::new();
        for &first_fails_at in &points {
            for &second_fails_at in &points {
                for appends_again in [false, true] {
                    let scenario =
                        |&unsynced| Scenario { first_fails_at, second_fails_at, appends_again, unsynced };
                    all.extend(losses.iter().map(scenario));
                }
            }
        }
        all
    }

    /// Runs the scenario. Returns a description of the loss if confirmed records were lost.
    fn loss(self, files: &FaultyLogFiles) -> Option<String> {
        let mut confirmed = self.run_process(files, 10, self.first_fails_at);
        confirmed.extend(self.run_process(files, 20, self.second_fails_at));
        files.lose_power(self.unsynced);
        let (_, found) = recover(files);
        let lost: Vec<&String> = confirmed.iter().filter(|key| !found.contains(key)).collect();
        (!lost.is_empty()).then(|| format!("{self:?}: lost {lost:?}"))
    }

    /// Runs a process that dies after its appends. Returns the keys of confirmed records: recovered and appended ones.
    fn run_process(self, files: &FaultyLogFiles, first: u64, fails_at: usize) -> Vec<String> {
        let (mut log, mut confirmed) = recover(files);
        let steps = [Some(fails_at), None, None];
        let appends = if self.appends_again { 3 } else { 1 };
        for (number, steps) in (first..).zip(steps).take(appends) {
            files.limit_steps(steps);
            if append_at(&mut log, 0, number).is_ok() {
                confirmed.push(record(number).key.key);
            }
        }
        files.limit_steps(None);
        confirmed
    }
}

/// Guards against the loss of a confirmed record that was not synced or that is hidden behind a torn one.
#[test]
fn confirmed_records_survive_failed_appends_and_a_power_loss() {
    let scenarios = Scenario::all();
    assert!(scenarios.len() > 5_000, "{} scenarios", scenarios.len());
    for scenario in scenarios {
        assert_eq!(scenario.loss(&FaultyLogFiles::default()), None);
    }
}

/// Negative control: guards against a test above that can't fail.
#[test]
fn without_one_of_the_syncs_confirmed_records_are_lost() {
    for skipped in [SkippedSync::Recovered, SkippedSync::Directory] {
        let mut losses =
            Scenario::all().into_iter().filter_map(|it| it.loss(&FaultyLogFiles::skipping(skipped)));
        assert!(losses.next().is_some(), "negative control: no loss detected without {skipped:?}");
    }
}

/// Guards against a torn entry that is read as a record, or that hides the records of later segments.
#[test]
fn torn_entry_is_dropped_and_later_segments_are_read() {
    for fails_at in 0..entry_bytes() {
        let files = FaultyLogFiles::default();
        let (mut log, _) = recover(&files);
        append_at(&mut log, 0, 1).expect("appended");
        files.limit_steps(Some(fails_at));
        append_at(&mut log, 0, 2).expect_err("torn");
        files.limit_steps(None);
        append_at(&mut log, 0, 3).expect("appended to another segment");
        assert_eq!(recover(&files).1, ["order-1", "order-3"], "torn at step {fails_at}");
    }
}

/// Guards against a disk that fills up with segments of failed appends while it refuses writes.
#[test]
fn failed_appends_leave_no_more_than_one_segment_behind() {
    let files = FaultyLogFiles::default();
    let (mut log, _) = recover(&files);
    for attempt in 0..20 {
        files.limit_steps(Some(attempt));
        append_at(&mut log, 0, 1).expect_err("refused");
        assert!(files.segments() <= 1, "{} segments after attempt {attempt}", files.segments());
    }
}

/// Guards against a log that drops unexpired records to make space, and against one that stays full for good.
#[test]
fn full_log_keeps_its_records_until_they_expire() {
    let files = FaultyLogFiles::default();
    let (mut log, _) = OperationLog::recover(files.clone(), 3 * entry_bytes() as u64).expect("empty");
    for number in 1..=3 {
        append_at(&mut log, number * 10, number).expect("appended");
    }
    let expired = u64::from(KEEP_MS) / 1_000 + 20;
    for now in [30, expired - 1] {
        assert!(matches!(append_at(&mut log, now, 4), Err(AppendError::Full)));
    }
    assert_eq!(recover(&files).1, ["order-1", "order-2", "order-3"]);
    files.refuse_removal(true);
    assert!(matches!(append_at(&mut log, expired, 4), Err(AppendError::Full)));
    files.refuse_removal(false);
    append_at(&mut log, expired, 4).expect("the first segment has expired");
    assert_eq!(recover(&files).1, ["order-3", "order-4"]);
}

/// Guards against recovered records that expire early: their age in an earlier process is not known.
#[test]
fn recovered_records_are_kept_for_their_full_retention_again() {
    let files = FaultyLogFiles::default();
    append_at(&mut recover(&files).0, 0, 1).expect("appended");
    let (mut log, _) = recover(&files);
    append_at(&mut log, u64::from(KEEP_MS) / 1_000 - 1, 2).expect("appended");
    assert_eq!(recover(&files).1, ["order-1", "order-2"]);
    append_at(&mut log, u64::from(KEEP_MS) / 1_000, 3).expect("appended");
    assert_eq!(recover(&files).1, ["order-2", "order-3"]);
}
