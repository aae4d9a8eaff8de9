//! Errors of configuration files.

use std::fmt;

/// One error of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// The line of the key, counted from 1.
    pub line: usize,
    /// The full path of the key: `pool[0].plan[1].rate`.
    pub key: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// All errors of one file, ordered by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Errors {
    list: Vec<ConfigError>,
}

impl Errors {
    /// Adds an error, unless it has been added before.
    pub(crate) fn add(&mut self, line: usize, key: impl Into<String>, reason: impl Into<String>) {
        let error = ConfigError { line, key: key.into(), reason: reason.into() };
        if !self.list.contains(&error) {
            self.list.push(error);
        }
    }

    pub(crate) fn sort(&mut self) {
        self.list.sort();
    }

    /// Whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Iterates over the errors.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.list.iter()
    }

    /// Formats each error in one line, in the format of compilers: `FILE:LINE: KEY: REASON`.
    pub fn format_with_file(&self, file: &str) -> String {
        let line =
            |ConfigError { line, key, reason }: &ConfigError| format!("{file}:{line}: {key}: {reason}\n");
        self.iter().map(line).collect()
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.reason)
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.iter().try_for_each(|error| writeln!(f, "{error}"))
    }
}

impl std::error::Error for ConfigError {}

impl std::error::Error for Errors {}
