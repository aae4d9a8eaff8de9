//! Errors of the store.

use std::io;
use std::path::PathBuf;

/// Why the store cannot do what was asked. Nothing was written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file was written by a later version of this program.
    #[error("the store is of schema {found}, and this program knows {known} at most")]
    TooNew {
        /// The file's schema version.
        found: u32,
        /// The newest schema version that this program knows.
        known: u32,
    },
    /// The database failed.
    #[error("store: {0}")]
    Sqlite(#[from] rusqlite::Error),
    /// A document cannot be read or written as JSON of its type.
    #[error("store: {path}: {source}")]
    Document {
        /// The document's path.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A document contradicts another one.
    #[error("{path}: {reason}")]
    InvalidState {
        /// The document's path.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A file beside the store cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// A result of the store.
pub type Result<T> = std::result::Result<T, Error>;
