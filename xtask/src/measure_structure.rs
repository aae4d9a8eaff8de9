//! The shape of the sources, for the pages and the notes of releases.

use crate::process::Result;
use std::path::Path;
use xtask::structure;

/// Prints the shape of each crate of the working copy at `tree`, judged by this working copy's thresholds.
pub fn run(tree: &Path) -> Result<()> {
    let tree = tree.canonicalize()?;
    let shapes = structure::survey(&tree)?;
    let lints = structure::lints::count(&tree, &std::env::current_dir()?)?;
    print!("{}", structure::to_markdown(&shapes, &lints));
    Ok(())
}
