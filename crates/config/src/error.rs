//! What is wrong with a file, all of it.

use std::fmt;

/// All errors of one file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Errors {
    list: Vec<(usize, String, String)>,
}

impl Errors {
    /// `key` in full, as `pool[0].plan[1].rate`.
    pub(crate) fn add(&mut self, line: usize, key: impl Into<String>, reason: impl Into<String>) {
        let error = (line, key.into(), reason.into());
        if !self.list.contains(&error) {
            self.list.push(error);
        }
    }

    pub(crate) fn sort(&mut self) {
        self.list.sort();
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Line, key and reason of each.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &str, &str)> {
        self.list.iter().map(|(line, key, reason)| (*line, key.as_str(), reason.as_str()))
    }

    /// One line each, as compilers print them: `FILE:LINE: KEY: REASON`.
    pub fn of_file(&self, file: &str) -> String {
        self.iter().map(|(line, key, reason)| format!("{file}:{line}: {key}: {reason}\n")).collect()
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.iter().try_for_each(|(line, key, reason)| writeln!(f, "line {line}: {key}: {reason}"))
    }
}

impl std::error::Error for Errors {}
