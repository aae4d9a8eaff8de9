//! What only the compiler knows: public items without documentation, and functions that are too long.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Warnings of the libraries and programs of one crate, whether it is exempted from them or not.
#[derive(Debug, Clone, Copy, Default)]
pub struct LintCounts {
    /// Public items that have no doc comment (`missing_docs`).
    pub undocumented: usize,
    /// Functions over the threshold of `clippy.toml` (`clippy::too_many_lines`).
    pub long_functions: usize,
}

/// Runs clippy over the workspace at `root`, with the settings of `settings_folder`, and counts by crate folder.
///
/// # Errors
/// When clippy can't be run, or ends with a failure.
pub fn count(root: &Path, settings_folder: &Path) -> io::Result<BTreeMap<PathBuf, LintCounts>> {
    let mut clippy = Command::new("cargo")
        .args([
            "clippy",
            "--quiet",
            "--locked",
            "--workspace",
            "--lib",
            "--bins",
            "--message-format=json",
            "--",
        ])
        .args(["--force-warn", "missing-docs", "--force-warn", "clippy::too_many_lines"])
        .env("CLIPPY_CONF_DIR", settings_folder)
        .current_dir(root)
        .stdout(Stdio::piped())
        .spawn()?;
    let mut counts: BTreeMap<PathBuf, LintCounts> = BTreeMap::new();
    for line in clippy.stdout.take().map(BufReader::new).into_iter().flat_map(BufRead::lines) {
        let Ok(message) = serde_json::from_str::<Value>(&line?) else { continue };
        let Some(folder) = crate_folder(root, &message) else { continue };
        let counts = counts.entry(folder).or_default();
        match message["message"]["code"]["code"].as_str() {
            Some("missing_docs") => counts.undocumented += 1,
            Some("clippy::too_many_lines") => counts.long_functions += 1,
            _ => {}
        }
    }
    let status = clippy.wait()?;
    if status.success() {
        Ok(counts)
    } else {
        Err(io::Error::other(format!("cargo clippy ended with {status}")))
    }
}

fn crate_folder(root: &Path, message: &Value) -> Option<PathBuf> {
    let manifest = Path::new(message["manifest_path"].as_str()?);
    Some(manifest.parent()?.strip_prefix(root).ok()?.to_path_buf())
}
