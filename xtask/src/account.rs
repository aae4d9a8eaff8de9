//! `cargo xtask account LOGS`: the table of a tier's logs.

use crate::process::Result;
use std::fs;
use std::path::Path;
use violetyoke_account::Table;

/// Reads one log or each file of a folder, and prints the table by spans of so many seconds.
pub fn run(logs: &Path, span: u64) -> Result<()> {
    let mut table = Table::new(span.saturating_mul(1_000_000));
    let mut files = vec![logs.to_path_buf()];
    if logs.is_dir() {
        files =
            fs::read_dir(logs)?.map(|file| file.map(|file| file.path())).collect::<std::io::Result<_>>()?;
        files.retain(|file| file.is_file());
        files.sort();
    }
    let mut records = 0;
    for file in &files {
        records += table.read(&String::from_utf8_lossy(&fs::read(file)?));
    }
    if records == 0 {
        return Err(format!("{}: no record of an account in {} files", logs.display(), files.len()).into());
    }
    print!("{table}");
    Ok(())
}
