//! The encoding of a sealed state, byte for byte as earlier builds wrote it: during an upgrade a process of one build
//! writes it and a process of another build reads it. The state that an ingress seals is covered in that crate. The
//! golden files are never edited.

#![cfg(test)]

#[path = "../../../transport/tests/golden/files.rs"]
mod files;

use files::GoldenFolder;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use violetyoke_succession::{open, seal, Header, OpenError, VERSION};

/// A value of each kind that Postcard encodes differently.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Body {
    flag: bool,
    small: u8,
    number: u64,
    signed: i32,
    figure: f64,
    name: String,
    list: Vec<u32>,
    table: BTreeMap<u32, (u64, u64)>,
    absent: Option<u64>,
    present: Option<u64>,
    choice: Choice,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum Choice {
    First,
    Second { inner: u32 },
}

fn header() -> Header {
    Header { ingress: "ingress-3".into(), settings: u64::MAX - 1, to: "process-7".into() }
}

fn body(choice: Choice) -> Body {
    Body {
        flag: true,
        small: 200,
        number: 70_000,
        signed: -300,
        figure: -0.25,
        name: "größe".into(),
        list: vec![0, 127, 128, u32::MAX],
        table: BTreeMap::from([(1, (2, 3)), (300, (70_000, u64::MAX))]),
        absent: None,
        present: Some(300),
        choice,
    }
}

fn golden(name: &str, body: &Body) -> Vec<u8> {
    let current = || seal(&header(), body).expect("sealed");
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "bin").read(name, current)
}

#[test]
fn encoding_of_a_sealed_state_does_not_change_between_builds() {
    for (name, choice) in
        [("sealed-first", Choice::First), ("sealed-second", Choice::Second { inner: 70_000 })]
    {
        let body = body(choice);

        let golden = golden(name, &body);

        assert_eq!(seal(&header(), &body).expect("sealed"), golden, "{name}");
        assert_eq!(open::<Body>(&golden, &header()).as_ref(), Ok(&body), "{name}");
    }
}

#[test]
fn a_sealed_state_begins_with_magic_and_version() {
    let golden = golden("sealed-first", &body(Choice::First));

    assert_eq!(&golden[..4], b"VYSN");
    assert_eq!(golden[4..6], VERSION.to_le_bytes());
    assert_eq!(VERSION, 3);
}

#[test]
fn a_sealed_state_for_another_process_is_rejected() {
    let golden = golden("sealed-first", &body(Choice::First));

    let other = Header { to: "process-8".into(), ..header() };

    assert_eq!(open::<Body>(&golden, &other), Err(OpenError::Mismatch("to")));
}
