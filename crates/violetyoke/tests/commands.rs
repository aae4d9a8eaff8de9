//! The command line: the examples of the documentation, and the errors of invalid files.

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
fn example_configuration_is_valid() {
    let output = run(&["check", &example()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("3 pools"), "{output:?}");
}

#[test]
fn invalid_file_is_reported_with_all_faults_and_exit_code_2() {
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
            let line_number =
                line.strip_prefix(path.to_str().unwrap()).and_then(|rest| rest.split(':').nth(1));
            assert!(
                line_number.is_some_and(|line_number| line_number.parse::<u32>().is_ok()),
                "{key}: {errors}"
            );
        }
    }
    std::fs::remove_file(&path).unwrap();
    assert_eq!(run(&["check", "/nonexistent.toml"]).status.code(), Some(2));
}

#[test]
fn service_program_can_be_run_by_its_own_name() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_violetyoke-service")).args(["check", &example()]).output().unwrap();
    assert!(output.status.success());
}

#[test]
fn program_without_arguments_is_a_platform_ingress_and_help_lists_the_commands() {
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
fn printed_commands_of_the_demo_have_the_described_results() {
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
    let statuses: Vec<u16> = curls.iter().map(|line| run_curl(line)).collect();
    let _ = child.kill();
    let _ = child.wait();
    let file = lines.iter().find_map(|line| line.strip_prefix("The service's file is "));
    if let Some((file, _)) = file.and_then(|rest| rest.split_once(';')) {
        let _ = std::fs::remove_file(file);
    }
    assert_eq!(statuses, [200, 200, 429], "{lines:?}");
}

#[test]
fn demo_with_tenants_serves_the_quiet_tenant() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
        .args(["demo", "--tenants", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    // In the first seconds the tenants may not be in force yet.
    let served = |line: &String| {
        let rest = line.strip_prefix("quiet: ")?;
        let count: u32 = rest.split(' ').next()?.parse().ok()?;
        let served_loud: u64 = rest.split("loud: ").nth(1)?.split(' ').next()?.parse().ok()?;
        (count > 0 && served_loud > 0).then_some(count)
    };
    let served_quiet = lines.by_ref().take(30).find_map(|line| served(&line));
    let _ = child.kill();
    let _ = child.wait();
    for suffix in [".db", ".db-wal", ".db-shm", ".key", ".toml"] {
        let _ = std::fs::remove_file(
            std::env::temp_dir().join(format!("violetyoke-demo-{}{suffix}", child.id())),
        );
    }
    assert!(served_quiet.is_some());
}

/// Collects the lines up to the last one of the demo's instructions. Its output stays open until the process
/// ends.
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

/// Sends the request of a curl command line, with its headers, method and body. Returns the status.
fn run_curl(line: &str) -> u16 {
    let parts: Vec<&str> = line.split('\'').collect();
    let headers: String = parts.iter().skip(1).step_by(2).map(|field| format!("{field}\r\n")).collect();
    let url = line.rsplit(' ').next().unwrap().strip_prefix("http://").unwrap();
    let (address, path) = url.split_once('/').unwrap();
    let method = if line.contains("-X POST") { "POST" } else { "GET" };
    let body = line.split("-d ").nth(1).map_or("", |rest| rest.split(' ').next().unwrap());
    let length = if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let request = format!("{method} /{path} HTTP/1.1\r\n{headers}{length}\r\n{body}");
    Client::try_open(address.parse().unwrap()).unwrap().call(request).status()
}
