//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(file: &Path) -> std::io::Result<()> {
    let file = File::create(file)?;
    drop(RECORD.set((Instant::now(), Mutex::new(file))));
    Ok(())
}

/// Seconds since the start.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

pub fn say(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(writeln!(file, "{:9.3} s  {line}", start.elapsed().as_secs_f64()));
    }
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
