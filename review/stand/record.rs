//! The record of a run: one line for each event, with the time since the start of the run.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record { started_at: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        println!("{:8.3} {line}", self.now());
        self.note(line);
    }

    /// Writes a line to the record alone.
    pub fn note(&self, line: &str) {
        let at = self.now();
        if let Ok(mut file) = self.file.lock() {
            drop(writeln!(file, "{at:8.3} {line}"));
        }
    }
}
