//! The emulated append-only log: its contents after a process ends, a power loss, and a wipe of the disk.

#![cfg(test)]

use std::future::Future;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};
use violetyoke_emulator::EmulatedDisk;
use violetyoke_transport::environment::AppendLog;

const SYNC: Duration = Duration::from_millis(5);

/// Runs a test with a disk that has one synced entry and two unsynced ones.
fn with_half_written_log<F: Future<Output = ()>>(test: impl FnOnce(EmulatedDisk) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let disk = EmulatedDisk::default();
        disk.set_sync_time(SYNC);
        disk.append(b"synced".to_vec()).await.expect("appended");
        for entry in [b"first", b"other"] {
            let append = disk.append(entry.to_vec());
            spawn_local(async { append.await.expect("appended") });
        }
        sleep(SYNC / 2).await;
        test(disk).await;
    });
}

fn entries(disk: &EmulatedDisk) -> Vec<String> {
    AppendLog::read(disk).into_iter().map(|entry| String::from_utf8(entry).expect("text")).collect()
}

// Guards against an emulation in which an append is durable before its sync, so that no test of power losses can fail.
#[test]
fn entries_are_durable_after_their_sync_and_not_before() {
    with_half_written_log(|disk| async move {
        assert_eq!(entries(&disk), ["synced"]);
        sleep(SYNC).await;
        assert_eq!(entries(&disk), ["synced", "first", "other"]);
    });
}

#[test]
fn unsynced_entries_survive_a_process_and_partly_or_not_at_all_a_power_loss() {
    with_half_written_log(|disk| async move {
        disk.on_process_ended(false, false);
        assert_eq!(entries(&disk), ["synced", "first", "other"]);
    });
    with_half_written_log(|disk| async move {
        disk.on_process_ended(true, true);
        assert_eq!(entries(&disk), ["synced", "first"]);
    });
    with_half_written_log(|disk| async move {
        disk.on_process_ended(true, false);
        assert_eq!(entries(&disk), ["synced"]);
        disk.wipe();
        assert!(entries(&disk).is_empty());
    });
}

#[test]
fn stalled_disk_appends_late_and_lying_disk_never() {
    with_half_written_log(|disk| async move {
        disk.stall(Duration::from_secs(1));
        let started = Instant::now();
        disk.append(b"late".to_vec()).await.expect("appended");
        assert_eq!(started.elapsed(), Duration::from_secs(1));
        disk.set_lying_log(true);
        disk.append(b"lost".to_vec()).await.expect("reported as appended");
        disk.on_process_ended(true, false);
        assert_eq!(entries(&disk), ["synced", "first", "other", "late"]);
    });
}
