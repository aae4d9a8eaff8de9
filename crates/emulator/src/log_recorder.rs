//! A log drain that records the daemons' log lines with their virtual times.

use slog::{Drain, Key, OwnedKVList, Record, Serializer, KV};
use std::fmt::Arguments;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogLine {
    pub(crate) at: Instant,
    pub(crate) daemon: String,
    pub(crate) text: String,
    /// The field `version`, if the line has it.
    pub(crate) version: Option<u64>,
}

/// Records all log lines.
#[derive(Debug, Default)]
pub(crate) struct LogRecorder(Mutex<Vec<LogLine>>);

impl LogRecorder {
    pub(crate) fn lines(&self) -> Vec<LogLine> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LogLine>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct Fields {
    daemon: String,
    version: Option<u64>,
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        let text = value.to_string();
        match key {
            "daemon" => self.daemon = text,
            "version" => self.version = text.parse().ok(),
            _ => {}
        }
        Ok(())
    }
}

impl Drain for LogRecorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields::default();
        let serialized =
            values.serialize(record, &mut fields).and_then(|()| record.kv().serialize(record, &mut fields));
        debug_assert!(serialized.is_ok(), "the serializer above accepts every field");
        let Fields { daemon, version } = fields;
        self.lock().push(LogLine { at: Instant::now(), daemon, text: record.msg().to_string(), version });
        Ok(())
    }
}
