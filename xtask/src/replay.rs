//! The decision module beside its form of an earlier commit: the same generated events, the same actions?

use crate::process::{root, tree_of, Result};
use std::fs;
use std::path::Path;
use std::process::Command;

const EXAMPLE: &str = "crates/decision/examples/actions.rs";

/// Whether all streams bring the same actions from both.
pub fn run(base: &str, seeds: u64, steps: u64) -> Result<bool> {
    let tree = tree_of(base)?;
    // What plays the events is the same for both, however old the other is.
    fs::create_dir_all(tree.join("crates/decision/examples"))?;
    fs::copy(root().join(EXAMPLE), tree.join(EXAMPLE))?;
    let (new, old) = (play(&root(), seeds, steps)?, play(&tree, seeds, steps)?);
    let differ: Vec<&str> =
        new.iter().zip(&old).filter(|(new, old)| new != old).map(|(new, _)| seed(new)).collect();
    let total = |field: usize| -> u64 {
        old.iter().filter_map(|line| line.split(' ').nth(field)?.parse::<u64>().ok()).sum()
    };
    println!("base={base} streams={seeds} events={} actions={} differ={}", total(1), total(2), differ.len());
    if !differ.is_empty() {
        println!("seeds that differ: {}", differ.join(" "));
    }
    Ok(differ.is_empty() && new.len() == old.len() && old.len() as u64 == seeds)
}

fn seed(line: &str) -> &str {
    line.split(' ').next().unwrap_or_default()
}

fn play(tree: &Path, seeds: u64, steps: u64) -> Result<Vec<String>> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let output = Command::new(cargo)
        .args([
            "run",
            "--quiet",
            "--release",
            "--package",
            "violetyoke-decision",
            "--example",
            "actions",
            "--",
        ])
        .args([1.to_string(), seeds.to_string(), steps.to_string()])
        .current_dir(tree)
        .env_remove("CARGO_TARGET_DIR")
        .output()?;
    if !output.status.success() {
        return Err(format!("{}: {}", tree.display(), String::from_utf8_lossy(&output.stderr)).into());
    }
    Ok(String::from_utf8(output.stdout)?.lines().map(String::from).collect())
}
