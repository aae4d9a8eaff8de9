//! `cargo xtask account LOGS`: the loss report of the decision logs of all ingresses.

use crate::process::Result;
use std::fs;
use std::path::Path;
use std::time::Duration;
use violetyoke_account::LossReport;

/// Reads one log or each file of a folder, and prints the report by intervals of `span` seconds.
pub fn run(logs: &Path, span: u64) -> Result<()> {
    let mut report = LossReport::new(Duration::from_secs(span));
    let mut files = vec![logs.to_path_buf()];
    if logs.is_dir() {
        files =
            fs::read_dir(logs)?.map(|file| file.map(|file| file.path())).collect::<std::io::Result<_>>()?;
        files.retain(|file| file.is_file());
        files.sort();
    }
    let mut records = 0;
    for file in &files {
        records += report.add_log(&String::from_utf8_lossy(&fs::read(file)?));
    }
    if records == 0 {
        return Err(format!("{}: no record of an account in {} files", logs.display(), files.len()).into());
    }
    print!("{report}");
    Ok(())
}
