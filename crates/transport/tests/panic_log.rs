//! The log lines of a panic.

#![cfg(test)]

use serde::ser::Error;
use serde::{Serialize, Serializer};
use slog::{o, Drain, Logger, Never, OwnedKVList, Record};
use std::sync::{Arc, Mutex};
use violetyoke_transport::codec::{encode, Message};
use violetyoke_transport::panic_log;

/// Collects the formatted lines of a log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut line = format!("{} {}", record.level().as_short_str(), record.msg());
        let mut serializer = Formatter(&mut line);
        slog::KV::serialize(&record.kv(), record, &mut serializer).expect("formatted");
        self.0.lock().expect("lines").push(line);
        Ok(())
    }
}

struct Formatter<'a>(&'a mut String);

impl slog::Serializer for Formatter<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(", {key}: {value}"));
        Ok(())
    }
}

/// A message that has no encoding.
struct WithoutEncoding;

impl Serialize for WithoutEncoding {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(S::Error::custom("not a value"))
    }
}

impl Message for WithoutEncoding {}

// Guards against a process that ends by a panic and whose log doesn't say so, or names only the standard library.
#[test]
fn panic_is_logged_with_its_reason_and_the_functions_that_led_to_it() {
    let lines = Lines::default();
    panic_log::install(Logger::root(lines.clone().fuse(), o!()));
    let ended = std::thread::spawn(|| drop(encode(&WithoutEncoding))).join();
    assert!(ended.is_err(), "the message can't be encoded");

    let lines = lines.0.lock().expect("lines").clone();
    let [first, second] = &lines[..] else { panic!("{lines:?}") };
    assert!(first.starts_with("CRIT panic,"), "{lines:?}");
    assert!(
        first.contains("reason: internal error: entered unreachable code: a type of message"),
        "{lines:?}"
    );
    assert!(first.contains("at: crates/transport/src/codec.rs:"), "{lines:?}");
    let functions = second.strip_prefix("CRIT panic called from, functions: ").expect("functions");
    assert!(functions.starts_with("violetyoke_transport::codec::encode_message"), "{lines:?}");
}
