//! A log that keeps its lines for tests.

use slog::{Drain, Key, Logger, OwnedKVList, Record, Serializer, KV};
use std::fmt::Arguments;
use std::sync::{Arc, Mutex};

/// The lines of a log: the message, then its fields as `name: value`, sorted by name.
#[derive(Clone, Default)]
pub(crate) struct LogLines(Arc<Mutex<Vec<String>>>);

#[derive(Default)]
struct Fields(Vec<String>);

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        self.0.push(format!("{key}: {value}"));
        Ok(())
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields::default();
        record.kv().serialize(record, &mut fields).expect("fields");
        fields.0.sort();
        let line = format!("{}, {}", record.msg(), fields.0.join(", "));
        self.0.lock().expect("lines").push(line);
        Ok(())
    }
}

impl LogLines {
    pub(crate) fn logger(&self) -> Logger {
        Logger::root(self.clone().ignore_res(), slog::o!())
    }

    /// The lines that start with `message`.
    pub(crate) fn with_message(&self, message: &str) -> Vec<String> {
        let lines = self.0.lock().expect("lines");
        lines.iter().filter(|line| line.starts_with(message)).cloned().collect()
    }
}
