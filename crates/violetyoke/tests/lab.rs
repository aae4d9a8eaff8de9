//! The command `violetyoke lab`: experiments are checked, run and compared.

#![cfg(test)]

use std::path::PathBuf;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_violetyoke-service")).arg("lab").args(arguments).output().unwrap()
}

/// Writes a temporary file for this test.
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
fn experiment_is_run_saved_and_compared_with_another_setting() {
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
    // The saved result can be compared with its experiment: a run does not differ from itself.
    let same_run = lab(&["compare", json, before]);
    let same_run = String::from_utf8_lossy(&same_run.stdout).to_string();
    assert!(
        same_run.lines().filter(|line| line.contains("| +0.000 | +0.000 to +0.000 |")).count() == 4,
        "{same_run}"
    );
    let other_run = lab(&["compare", json, after]);
    let other_run = String::from_utf8_lossy(&other_run.stdout).to_string();
    let served = other_run.lines().find(|line| line.contains("| served |")).unwrap_or_default();
    assert!(served.contains("| -0."), "{other_run}");
    [before, after, json].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn invalid_file_is_reported_with_line_and_key_and_exit_code_2() {
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
