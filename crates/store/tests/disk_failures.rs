//! The log lines of a store whose disk refuses writes.

#![cfg(test)]

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use slog::{Drain, Key, OwnedKVList, Record, Serializer, KV};
use std::cell::Cell;
use std::fmt::Arguments;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::sleep;
use violetyoke_api::Settings;
use violetyoke_transport::environment::{install, Disk, Environment, Incoming};
use violetyoke_transport::lifecycle::Lifecycle;

/// A disk that refuses writes while it is full.
#[derive(Default)]
struct FullDisk {
    is_full: Cell<bool>,
    /// Number of refused writes.
    refused: Cell<usize>,
}

impl Disk for FullDisk {
    fn read(&self) -> [Vec<u8>; 2] {
        Default::default()
    }

    fn write_slot(&self, _slot: usize, _bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        let result = if self.is_full.get() {
            self.refused.set(self.refused.get() + 1);
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        };
        async move { result }.boxed_local()
    }
}

/// A machine with this disk and without peers.
struct Machine(Rc<FullDisk>);

impl Environment for Machine {
    fn connect(&self, _to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        async { Err(io::ErrorKind::ConnectionRefused.into()) }.boxed_local()
    }

    fn listen(&self, _at: SocketAddr) -> io::Result<Incoming> {
        Ok(unbounded_channel().1)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        self.0.clone()
    }
}

/// Collects the log lines about disk writes, each with its field `error`.
#[derive(Clone, Default)]
struct DiskLines(Arc<Mutex<Vec<String>>>);

/// Extracts the field `error` from a log record.
struct ErrorField(String);

impl Serializer for ErrorField {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        if key == "error" {
            self.0 = value.to_string();
        }
        Ok(())
    }
}

impl Drain for DiskLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut error = ErrorField(String::new());
        record.kv().serialize(record, &mut error).expect("fields");
        let text = record.msg().to_string();
        if text.starts_with("disk writes") {
            self.0.lock().expect("lines").push(format!("{text} {}", error.0).trim_end().to_owned());
        }
        Ok(())
    }
}

fn settings() -> Settings {
    let text = r#"{
        "self": {"node": "core-1", "ip": "10.1.0.1", "zone": "a", "region": "west", "data-dir": "/data", "bootstrap": true},
        "network": {"listen": {}, "internal-ports": [7460, 7475], "seeds": ["10.1.0.1:8083"], "zones": {"a": "west"}},
        "platform": {}, "terms": {"fault-tolerance": {"machines": 0, "zones": 0, "regions": 0}, "bounds": {}}
    }"#;
    Settings::parse(text).expect("settings")
}

#[test]
fn disk_write_failures_are_logged_once_when_they_start_and_once_when_they_end() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let disk = Rc::new(FullDisk::default());
    disk.is_full.set(true);
    install(Some(Rc::new(Machine(disk.clone()))));
    let lines = DiskLines::default();
    let log = slog::Logger::root(lines.clone().ignore_res(), slog::o!());
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (lifecycle, _sender) = Lifecycle::new(7);
        tokio::task::spawn_local(violetyoke_store::daemon::run(settings(), lifecycle, log));
        sleep(Duration::from_secs(3)).await;
        assert!(disk.refused.get() > 10, "the write is retried: {} refused", disk.refused.get());
        assert_eq!(
            *lines.0.lock().expect("lines"),
            ["disk writes fail a slot can't be written: no storage space"]
        );
        disk.is_full.set(false);
        sleep(Duration::from_secs(3)).await;
    });
    install(None);
    let lines = lines.0.lock().expect("lines");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert_eq!(lines[1], "disk writes succeed again");
}
