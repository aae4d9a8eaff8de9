//! Prints the size of operation records on disk and in memory, and the time needed to recover them.
//!
//! Run `cargo run --profile proof -p violetyoke-store --example operation_records -- write FOLDER`, then the same with
//! `recover FOLDER`. Recovery is a separate process so that its memory includes nothing of the writing. Times depend on
//! the machine, and recovery times also on whether the files are cached.

use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};
use violetyoke_idempotency::{OperationTable, TableOptions};
use violetyoke_store::disk::operation_log::OperationLog;
use violetyoke_transport::messages::{
    ClaimHolder, ClaimId, Epoch, OperationKey, OperationRecord, OperationState,
};

const RECORDS: u64 = 30_000;
const RECORDS_PER_BATCH: u64 = 5;
/// Operations per second of simulated time, so that segments reach the same ages as in production.
const RATE: u64 = 450;
const MAX_LOG_BYTES: u64 = 1 << 30;

fn record(number: u64, state: OperationState) -> OperationRecord {
    OperationRecord {
        key: OperationKey { tenant: format!("tenant-{:04}", number % 80), key: format!("k-{number:016x}") },
        claim: ClaimId { epoch: Epoch(12), sequence: number },
        holder: ClaimHolder { incarnation: u64::MAX - number, request: number },
        timeout_ms: 2_000,
        keep_ms: 72_000,
        state,
    }
}

/// Writes two records for each operation: claimed and executed.
fn write(folder: &Path) -> Result<(), Box<dyn Error>> {
    let (mut log, _) = OperationLog::open(folder, MAX_LOG_BYTES)?;
    let started_at = Instant::now();
    let mut appends = 0;
    for first in (0..RECORDS).step_by(RECORDS_PER_BATCH as usize) {
        let now = Duration::from_millis(first * 1_000 / RATE);
        let numbers = first..first + RECORDS_PER_BATCH;
        let claimed = numbers.clone().map(|number| record(number, OperationState::Claimed));
        let executed = numbers.map(|number| record(number, OperationState::Executed));
        for batch in [claimed.collect::<Vec<_>>(), executed.collect()] {
            log.append_at(now, &batch)?;
            appends += 1;
        }
    }
    let elapsed = started_at.elapsed();
    println!(
        "{RECORDS} operations in {appends} synced appends: {elapsed:.1?}, {:.1?} each",
        elapsed / appends
    );
    let mut sizes = Vec::new();
    for file in std::fs::read_dir(folder)? {
        sizes.push(file?.metadata()?.len());
    }
    println!("on disk: {} bytes in {} segments", sizes.iter().sum::<u64>(), sizes.len());
    Ok(())
}

/// The resident memory of this process (kB): `VmRSS` is the current value, `VmHWM` the peak.
fn memory_kb(name: &str) -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(name)).ok_or("no such line")?;
    Ok(line.trim_start_matches(':').trim_end_matches("kB").trim().parse()?)
}

fn recover(folder: &Path) -> Result<(), Box<dyn Error>> {
    let initial_kb = memory_kb("VmRSS")?;
    let started_at = Instant::now();
    let (_log, records) = OperationLog::open(folder, MAX_LOG_BYTES)?;
    let read_at = Instant::now();
    let record_count = records.len();
    let mut table = OperationTable::new(TableOptions { window_ms: 60_000, max_bytes: usize::MAX });
    for record in records {
        table.merge(1, record);
    }
    println!("read {record_count} records: {:.1?}", read_at - started_at);
    println!("merged into {} operations: {:.1?}", table.len(), read_at.elapsed());
    println!("the table's own count: {} bytes", table.bytes());
    println!(
        "resident: {} kB more, {} kB more at the peak",
        memory_kb("VmRSS")? - initial_kb,
        memory_kb("VmHWM")? - initial_kb
    );
    let digests_from = Instant::now();
    println!("{} digests: {:.1?}", table.digests().len(), digests_from.elapsed());
    let expiry_from = Instant::now();
    table.expire(100_000);
    println!("expired all: {:.1?}", expiry_from.elapsed());
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["write", folder] => write(Path::new(folder)),
        ["recover", folder] => recover(Path::new(folder)),
        _ => Err("expected: write FOLDER, or recover FOLDER".into()),
    }
}
