//! The operation log in a folder of the file system.

#![cfg(test)]

use std::path::{Path, PathBuf};
use violetyoke_store::disk::operation_log::{decode_entries, encode_entry, OperationLog};
use violetyoke_transport::messages::{
    ClaimHolder, ClaimId, Epoch, OperationKey, OperationRecord, OperationState,
};

fn record(number: u64) -> OperationRecord {
    OperationRecord {
        key: OperationKey { tenant: "t".into(), key: number.to_string() },
        claim: ClaimId { epoch: Epoch(1), sequence: number },
        holder: ClaimHolder { incarnation: 2, request: number },
        timeout_ms: 3,
        keep_ms: 60_000,
        state: OperationState::Claimed,
    }
}

/// A folder that is removed when this value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("operation-log-{}-{test}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("removed");
    }
}

fn open(folder: &Path) -> (OperationLog, Vec<OperationRecord>) {
    OperationLog::open(folder, 1 << 20).expect("opened")
}

/// Guards against records that are lost or reordered by a restart, and against other files being read as segments.
#[test]
fn records_are_recovered_in_order_after_restarts() {
    let folder = Folder::new("restarts");
    for start in 0..12 {
        let (mut log, found) = open(&folder.0);
        assert_eq!(found, (0..2 * start).map(record).collect::<Vec<_>>());
        log.append(&[record(2 * start)]).expect("appended");
        log.append(&[record(2 * start + 1)]).expect("appended");
        std::fs::write(folder.0.join("operations-of-others"), "no segment").expect("written");
    }
    let segment = std::fs::read(folder.0.join("operations-1")).expect("the first segment");
    assert_eq!(
        segment,
        [encode_entry(&[record(0)]).expect("encoded"), encode_entry(&[record(1)]).expect("encoded")].concat()
    );
}

/// Guards against a change of the format that makes entries of earlier builds unreadable.
#[test]
fn format_of_an_entry_is_unchanged() {
    let entry = encode_entry(&[record(5)]).expect("encoded");
    assert_eq!(&entry[..16], b"operat01\x19\0\0\0\0\0\0\0");
    assert_eq!(&entry[16..24], b"\x21\xc6\xa3\xa3\x5d\x0d\xa2\xe1");
    assert_eq!(&entry[24..], b"\x91\x96\x92\xa1t\xa15\x92\x01\x05\x92\x02\x05\x03\xcd\xea\x60\xa7Claimed");
    assert_eq!(decode_entries(&entry), [record(5)]);
}

/// Guards against a file of the folder whose name leaves no number for the next segment.
#[test]
fn file_with_a_number_that_no_segment_has_is_ignored() {
    let folder = Folder::new("numbers");
    drop(open(&folder.0));
    for number in [u64::MAX, u64::MAX - 1, (1 << 48) + 1] {
        std::fs::write(folder.0.join(format!("operations-{number}")), "no segment").expect("written");
    }
    let (mut log, found) = open(&folder.0);
    assert_eq!(found, []);
    log.append(&[record(1)]).expect("appended");
    drop(log);
    assert_eq!(open(&folder.0).1, [record(1)]);
}
