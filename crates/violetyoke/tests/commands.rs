//! The command line: what a newcomer types, and what a bad file is answered with.

#![cfg(test)]
#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod common;

use common::*;
use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_violetyoke")).args(arguments).env_remove("EDGE_CONFIG").output().unwrap()
}

fn example() -> String {
    format!("{}/../../deploy/service.example.toml", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn the_example_is_a_good_file() {
    let output = run(&["check", &example()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("3 pools"), "{output:?}");
}

#[test]
fn a_bad_file_is_answered_with_all_that_is_wrong_and_exit_code_2() {
    let path = std::env::temp_dir().join(format!("violetyoke-bad-{}.toml", std::process::id()));
    let text = std::fs::read_to_string(example()).unwrap();
    let text =
        text.replacen("listen = ", "lisen = ", 1).replacen("effect = \"safe\"", "effect = \"maybe\"", 1);
    std::fs::write(&path, text).unwrap();
    for command in ["check", "serve"] {
        let output = run(&[command, path.to_str().unwrap()]);
        let errors = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        for key in ["service.lisen", "service.listen", "effect"] {
            let line = errors.lines().find(|line| line.contains(key)).unwrap_or_default();
            let place = line.strip_prefix(path.to_str().unwrap()).and_then(|rest| rest.split(':').nth(1));
            assert!(place.is_some_and(|place| place.parse::<u32>().is_ok()), "{key}: {errors}");
        }
    }
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run(&["check", "/nonexistent.toml"]).status.code(), Some(2));
}

#[test]
fn the_service_can_be_called_by_its_own_name() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_violetyoke-service")).args(["check", &example()]).output().unwrap();
    assert!(output.status.success());
}

#[test]
fn without_arguments_it_is_the_platforms_and_help_says_what_there_is() {
    let output = run(&[]);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "violetyoke: EDGE_CONFIG is not set\n");
    let help = run(&["--help"]);
    assert!(help.status.success());
    for command in ["serve", "check", "demo"] {
        assert!(String::from_utf8_lossy(&help.stdout).contains(command));
    }
}

#[test]
fn the_demos_lines_do_what_they_say() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
        .args(["demo", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines: Vec<String> =
        BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok).collect_to_end();
    let ready = BufReader::new(child.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok)
        .any(|line| line.contains("serving on"));
    assert!(ready);
    let curls: Vec<_> = lines.iter().filter(|line| line.trim_start().starts_with("curl ")).collect();
    let statuses: Vec<u16> = curls.iter().map(|line| play(line)).collect();
    let _ = child.kill();
    let _ = child.wait();
    let file = lines.iter().find_map(|line| line.strip_prefix("The service's file is "));
    if let Some((file, _)) = file.and_then(|rest| rest.split_once(';')) {
        let _ = std::fs::remove_file(file);
    }
    assert_eq!(statuses, [200, 200, 429], "{lines:?}");
}

#[test]
fn the_demo_with_tenants_shows_the_quiet_one_served() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
        .args(["demo", "--tenants", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    // The first seconds may be before the tenants are in force.
    let served = |line: &String| {
        let rest = line.strip_prefix("quiet: ")?;
        let count: u32 = rest.split(' ').next()?.parse().ok()?;
        let loud: u64 = rest.split("loud: ").nth(1)?.split(' ').next()?.parse().ok()?;
        (count > 0 && loud > 0).then_some(count)
    };
    let found = lines.by_ref().take(30).find_map(|line| served(&line));
    let _ = child.kill();
    let _ = child.wait();
    for end in [".db", ".db-wal", ".db-shm", ".key", ".toml"] {
        let _ =
            std::fs::remove_file(std::env::temp_dir().join(format!("violetyoke-demo-{}{end}", child.id())));
    }
    assert!(found.is_some());
}

/// The lines up to the one that ends the demo's words: its output stays open for as long as it runs.
trait CollectToEnd {
    fn collect_to_end(self) -> Vec<String>;
}

impl<I: Iterator<Item = String>> CollectToEnd for I {
    fn collect_to_end(self) -> Vec<String> {
        let mut lines = Vec::new();
        for line in self {
            let last = line.starts_with("Ctrl-C");
            lines.push(line);
            if last {
                break;
            }
        }
        lines
    }
}

/// Does what a line of curl says: the fields, the method and the body that it names.
fn play(line: &str) -> u16 {
    let words: Vec<&str> = line.split('\'').collect();
    let fields: String = words.iter().skip(1).step_by(2).map(|field| format!("{field}\r\n")).collect();
    let url = line.rsplit(' ').next().unwrap().strip_prefix("http://").unwrap();
    let (address, path) = url.split_once('/').unwrap();
    let method = if line.contains("-X POST") { "POST" } else { "GET" };
    let body = line.split("-d ").nth(1).map_or("", |rest| rest.split(' ').next().unwrap());
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let request = format!("{method} /{path} HTTP/1.1\r\n{fields}{length}\r\n{body}");
    Client::try_open(address.parse().unwrap()).unwrap().call(request).status()
}
