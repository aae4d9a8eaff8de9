//! The repository's pages and sources, as the tests of the pages read them.

#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

use std::path::{Path, PathBuf};

/// The folder of the repository.
pub fn root() -> PathBuf {
    let xtask = Path::new(env!("CARGO_MANIFEST_DIR"));
    xtask.parent().expect("the repository is round xtask").to_path_buf()
}

/// A page in Markdown.
pub struct Page {
    /// Relative to the repository.
    pub path: PathBuf,
    pub text: String,
}

impl Page {
    /// What stands between backticks in running text, without blocks of code.
    pub fn code_spans(&self) -> Vec<&str> {
        let lines = self.text.lines().scan(false, |is_in_block, line| {
            let is_fence = line.trim_start().starts_with("```");
            *is_in_block ^= is_fence;
            Some(if *is_in_block || is_fence { "" } else { line })
        });
        // In each line every second part stands between backticks.
        lines.flat_map(|line| line.split('`').skip(1).step_by(2)).collect()
    }

    /// The targets of the links, as written.
    pub fn links(&self) -> Vec<&str> {
        let parts = self.text.split("](").skip(1);
        parts.filter_map(|part| part.split_once(')').map(|(target, _)| target)).collect()
    }
}

/// The pages at the root and below `docs`, but for the change log: it names what was there at the time.
pub fn pages() -> Vec<Page> {
    let root = root();
    let mut paths = files_below(&root.join("docs"), "md");
    paths.extend(["README.md", "CONTRIBUTING.md"].map(|name| root.join(name)));
    let read = |path: PathBuf| Page {
        text: std::fs::read_to_string(&path).expect("a page can be read"),
        path: path.strip_prefix(&root).expect("pages are in the repository").to_path_buf(),
    };
    paths.into_iter().map(read).collect()
}

/// All Rust files of the workspace, relative to the repository.
pub fn rust_files() -> Vec<PathBuf> {
    let root = root();
    let mut files = files_below(&root.join("crates"), "rs");
    files.extend(files_below(&root.join("xtask"), "rs"));
    let relative = files.into_iter().map(|file| file.strip_prefix(&root).map(Path::to_path_buf));
    relative.collect::<Result<_, _>>().expect("sources are in the repository")
}

fn files_below(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut pending = vec![folder.to_path_buf()];
    while let Some(folder) = pending.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder of the repository can be read") {
            let path = entry.expect("a folder of the repository can be read").path();
            if path.is_dir() {
                pending.push(path);
            } else if path.extension().is_some_and(|found| found == extension) {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}
