//! A log that is kept: which process said what, and when, in the world's time.

use slog::{Drain, Key, OwnedKVList, Record, Serializer, KV};
use std::cell::RefCell;
use std::fmt::Arguments;
use std::sync::Mutex;
use tokio::time::Instant;

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub at: Instant,
    pub node: String,
    pub daemon: String,
    pub text: String,
    /// The version that it speaks of, where it does.
    pub version: Option<u64>,
}

/// Keeps all lines.
#[derive(Debug, Default)]
pub struct Noting(Mutex<RefCell<Vec<Line>>>);

impl Noting {
    pub fn lines(&self) -> Vec<Line> {
        self.0.lock().map(|lines| lines.borrow().clone()).unwrap_or_default()
    }
}

#[derive(Default)]
struct Fields {
    node: String,
    daemon: String,
    version: Option<u64>,
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        let text = value.to_string();
        match key {
            "node" => self.node = text,
            "daemon" => self.daemon = text,
            "version" => self.version = text.parse().ok(),
            _ => {}
        }
        Ok(())
    }
}

impl Drain for Noting {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields::default();
        // A field that can't be read is left out.
        let _ =
            values.serialize(record, &mut fields).and_then(|()| record.kv().serialize(record, &mut fields));
        let Fields { node, daemon, version } = fields;
        let line = Line { at: Instant::now(), node, daemon, text: record.msg().to_string(), version };
        if let Ok(lines) = self.0.lock() {
            lines.borrow_mut().push(line);
        }
        Ok(())
    }
}
