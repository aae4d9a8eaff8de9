//! The program `nettlehub-drill`: its exit codes and messages.

#![cfg(test)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_program(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettlehub-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may end before it has read all input, which some tests provoke.
    child.stdin.take().expect("piped").write_all(input).unwrap_or_default();
    child.wait_with_output().expect("the program ends")
}

#[test]
fn end_of_input_between_frames_is_a_successful_exit() {
    let mut frame = vec![0; 20];
    frame[16] = 1;
    let output = run_program(&frame);
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn malformed_input_fails_with_a_single_message_and_no_panic() {
    let mut event = vec![0; 60];
    (event[0], event[4], event[20]) = (40, 1, 99);
    let mut truncated = event.clone();
    truncated.truncate(30);
    let mut unknown_instance = vec![0; 100];
    (unknown_instance[0], unknown_instance[4], unknown_instance[20], unknown_instance[60]) = (80, 2, 5, 9);
    for input in [vec![0; 7], truncated, event, unknown_instance] {
        let output = run_program(&input);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert_eq!(message.lines().count(), 1, "{message}");
        assert!(message.starts_with("nettlehub-drill: ") && !message.contains("panicked"), "{message}");
    }
}
