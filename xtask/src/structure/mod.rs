//! The shape of the workspace's crates: circles of files, long files, tests inside sources, and the lints in force.
//!
//! [`survey`] reads the sources as text, without compiling them. [`lints`] adds what only the compiler knows.

mod cycles;
mod imports;
pub mod lints;
mod modules;
mod table;
mod tokens;

use modules::Modules;
use std::io;
use std::path::{Path, PathBuf};

pub use table::to_markdown;

/// The most lines that a source file of a finished crate may have.
pub const MAX_FILE_LINES: usize = 250;

/// What the reason of an attribute says that exempts a target from lints.
const EXEMPTION: &str = "not yet revised for readers";

/// The shape of one crate.
#[derive(Debug, Clone, Default)]
pub struct CrateShape {
    /// The crate's folder, relative to the root of the tree.
    pub folder: PathBuf,
    /// How many source files `src` holds.
    pub source_files: usize,
    /// Files of `src` with more than [`MAX_FILE_LINES`] lines, and how many lines they have.
    pub long_files: Vec<(PathBuf, usize)>,
    /// The same of `tests`, `benches` and `examples`.
    pub long_test_files: Vec<(PathBuf, usize)>,
    /// Groups of source files, each of which uses every other of its group, directly or through one of them. A
    /// module and those above it in the module tree don't count: a parent is expected to use its children.
    pub cycles: Vec<Vec<String>>,
    /// Files of `src` in which a module of tests stands between the code.
    pub inline_tests: Vec<PathBuf>,
    /// Functions that carry an attribute `#[test]` or `#[tokio::test]`, wherever they stand.
    pub tests: usize,
    /// Whether every target of the crate is held to all lints of the workspace.
    pub has_all_lints: bool,
}

/// Reads every crate of the workspace at `root`, in the order of their names.
///
/// # Errors
/// When a folder or a file can't be read.
pub fn survey(root: &Path) -> io::Result<Vec<CrateShape>> {
    crate_folders(root)?.into_iter().map(|folder| crate_shape(root, folder)).collect()
}

fn crate_folders(root: &Path) -> io::Result<Vec<PathBuf>> {
    let mut folders = vec![PathBuf::from("xtask")];
    for entry in std::fs::read_dir(root.join("crates"))? {
        folders.push(Path::new("crates").join(entry?.file_name()));
    }
    folders.retain(|folder| root.join(folder).join("Cargo.toml").exists());
    folders.sort();
    Ok(folders)
}

fn crate_shape(root: &Path, folder: PathBuf) -> io::Result<CrateShape> {
    let directory = root.join(&folder);
    let sources = read_sources(&directory, &["src"])?;
    let test_sources = read_sources(&directory, &["tests", "benches", "examples"])?;
    let manifest = std::fs::read_to_string(directory.join("Cargo.toml"))?;

    let is_exempt = sources.iter().chain(&test_sources).any(|source| is_exempt(&source.text));
    let inherits_lints = manifest.contains("[lints]\nworkspace = true");
    Ok(CrateShape {
        folder,
        source_files: sources.len(),
        long_files: long_files(&sources),
        long_test_files: long_files(&test_sources),
        cycles: cycles::find(&Modules::of(&sources)),
        inline_tests: inline_tests(&sources),
        tests: sources.iter().chain(&test_sources).map(|source| count_tests(&source.text)).sum(),
        has_all_lints: inherits_lints && !is_exempt,
    })
}

/// One file and its text.
struct Source {
    /// Relative to the crate's folder.
    path: PathBuf,
    text: String,
}

fn read_sources(directory: &Path, folders: &[&str]) -> io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    let mut pending: Vec<PathBuf> = folders.iter().map(PathBuf::from).collect();
    while let Some(path) = pending.pop() {
        let absolute = directory.join(&path);
        if absolute.is_dir() {
            for entry in std::fs::read_dir(&absolute)? {
                pending.push(path.join(entry?.file_name()));
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(Source { text: std::fs::read_to_string(&absolute)?, path });
        }
    }
    sources.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(sources)
}

fn long_files(sources: &[Source]) -> Vec<(PathBuf, usize)> {
    let lengths = sources.iter().map(|source| (source.path.clone(), source.text.lines().count()));
    lengths.filter(|(_, lines)| *lines > MAX_FILE_LINES).collect()
}

fn inline_tests(sources: &[Source]) -> Vec<PathBuf> {
    let has_test_module = |source: &&Source| {
        let tokens = tokens::tokenize(&source.text);
        tokens.windows(3).any(|window| matches!(window, ["mod", "tests" | "test", "{"]))
    };
    sources.iter().filter(has_test_module).map(|source| source.path.clone()).collect()
}

fn is_exempt(text: &str) -> bool {
    let attributes = text.lines().map(str::trim_start);
    let mut reasons =
        attributes.filter(|line| line.starts_with("reason = ") || line.starts_with("#![allow("));
    reasons.any(|line| line.contains(EXEMPTION))
}

fn count_tests(text: &str) -> usize {
    let is_test = |line: &&str| {
        let line = line.trim_start();
        line.starts_with("#[test]") || line.starts_with("#[tokio::test")
    };
    text.lines().filter(is_test).count()
}
