//! `violetyoke lab` as it is typed: a file is checked, played and compared.

#![cfg(test)]

use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_violetyoke-service")).arg("lab").args(arguments).output().unwrap()
}

/// A file of this test's own, with that text.
fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("violetyoke-lab-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn calibration() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../lab/calibration/loopback.toml");
    std::fs::read_to_string(path).unwrap().replace("seconds = 9", "seconds = 4")
}

#[test]
fn a_file_is_played_written_and_compared_with_another_setting() {
    let before = file("before.toml", &calibration());
    let after =
        file("after.toml", &calibration().replace("tries_per_second = 150", "tries_per_second = 420"));
    let json = file("before.json", "");
    let [before, after, json] = [&before, &after, &json].map(|path| path.to_str().unwrap());
    let output = lab(&["run", before, "--losses", "--json", json]);
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for part in ["loopback: 3 ingresses, 4 nodes", "| kept |", "mean place", "lost to", "calls: "] {
        assert!(text.contains(part), "{part:?}: {text}");
    }
    // What was written stands for its file: the difference of a run with itself is nothing.
    let same = lab(&["compare", json, before]);
    let same = String::from_utf8_lossy(&same.stdout).to_string();
    assert!(
        same.lines().filter(|line| line.contains("| +0.000 | +0.000 to +0.000 |")).count() == 4,
        "{same}"
    );
    let other = lab(&["compare", json, after]);
    let other = String::from_utf8_lossy(&other.stdout).to_string();
    let served = other.lines().find(|line| line.contains("| served |")).unwrap_or_default();
    assert!(served.contains("| -0."), "{other}");
    [before, after, json].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn a_bad_file_is_answered_with_line_and_key_and_exit_code_2() {
    let text = calibration().replace("count = 4", "count = 0");
    let line = 1 + text.lines().position(|line| line == "count = 0").unwrap();
    let path = file("bad.toml", &text);
    let name = path.to_str().unwrap();
    for command in ["check", "run"] {
        let output = lab(&[command, name]);
        let errors = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains(&format!("{name}:{line}: nodes.count: 0 is out of range")), "{errors}");
    }
    std::fs::remove_file(&path).unwrap();
}
