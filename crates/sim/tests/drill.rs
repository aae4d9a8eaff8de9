//! The drill program itself: clean ends, plain messages, no panic.

#![cfg(test)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn drill(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettlehub-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the drill starts");
    // The drill may end before it has read everything; that is part of what is tested.
    child.stdin.take().expect("piped").write_all(input).unwrap_or_default();
    child.wait_with_output().expect("the drill ends")
}

#[test]
fn end_of_input_between_frames_is_a_clean_exit() {
    let mut frame = vec![0; 20];
    frame[16] = 1;
    let output = drill(&frame);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn malformed_input_ends_the_program_with_one_line() {
    let mut event = vec![0; 60];
    (event[0], event[4], event[20]) = (40, 1, 99);
    let mut cut = event.clone();
    cut.truncate(30);
    let mut stranger = vec![0; 100];
    (stranger[0], stranger[4], stranger[20], stranger[60]) = (80, 2, 5, 9);
    for input in [vec![0; 7], cut, event, stranger] {
        let output = drill(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.starts_with("nettlehub-drill: ") && !message.contains("panicked"), "{message}");
    }
}
