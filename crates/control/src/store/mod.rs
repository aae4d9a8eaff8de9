//! Where the control plane's state is kept: documents by path, with versions, and an audit log.
//!
//! A path is like `tenants/acme/plans/basic`. A document's version is the store's revision at which it was written
//! last (as etcd's `mod_revision`, or the `mzxid` of a ZooKeeper node): it never comes again, not even for a path
//! that is deleted and made anew. A transaction reads, decides, and writes; what it has read is unchanged when its
//! writes are done, each with an audit entry, or none of them is. So compare-and-set is a read of a version and a
//! refusal to write. A store on ZooKeeper would check the versions of what was read in a `multi`, and begin again
//! where one has changed.
//!
//! Paths that begin with `-` are bookkeeping that follows from other paths: they have no audit entries.

mod migrations;
mod sqlite;

pub use migrations::STEPS;
pub use sqlite::Sqlite;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;
use std::path::PathBuf;

/// Counts transactions; of no use but for order.
pub type Revision = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub path: String,
    pub version: Revision,
    pub body: Value,
}

/// What a transaction writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Writes {
    /// None: the path is deleted.
    pub documents: Vec<(String, Option<Value>)>,
    /// Prefixes below which everything is deleted, before the rest is done.
    pub clears: Vec<String>,
}

impl Writes {
    pub fn put(mut self, path: impl Into<String>, body: Value) -> Writes {
        self.documents.push((path.into(), Some(body)));
        self
    }

    pub fn delete(mut self, path: impl Into<String>) -> Writes {
        self.documents.push((path.into(), None));
        self
    }

    pub fn clear(mut self, prefix: impl Into<String>) -> Writes {
        self.clears.push(prefix.into());
        self
    }

    /// These writes; none if there is nothing to write.
    pub fn non_empty(self) -> Option<Writes> {
        (!self.documents.is_empty() || !self.clears.is_empty()).then_some(self)
    }
}

/// Who changes something, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Author {
    /// A key's id.
    pub who: String,
    /// Unix time in milliseconds.
    pub at: u64,
}

impl Author {
    /// The control plane itself, at this Unix time in milliseconds.
    pub fn control(at: u64) -> Author {
        Author { who: "control".into(), at }
    }
}

/// What was changed, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, utoipa::ToSchema)]
pub struct AuditEntry {
    /// The number of the entry.
    pub number: u64,
    /// The transaction that it belongs to.
    pub revision: Revision,
    /// Unix time in milliseconds.
    pub at: u64,
    /// The key's id that did it.
    pub who: String,
    pub path: String,
    /// None: it was not there; none after: it is gone.
    pub before: Option<Value>,
    pub after: Option<Value>,
}

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

/// Reads of one state.
pub trait Read {
    fn get(&self, path: &str) -> Result<Option<Document>>;

    /// Documents whose paths begin with `prefix` and come after `after`, in their order, at most so many.
    fn list(&self, prefix: &str, after: &str, most: usize) -> Result<Vec<Document>>;

    fn revision(&self) -> Result<Revision>;

    /// The newest revision that has audit entries: what has been written since is bookkeeping.
    fn audited(&self) -> Result<Revision>;
}

/// What a transaction does: none of the writes: it has seen that it must not.
pub type Decide<'a> = &'a mut dyn FnMut(&dyn Read) -> Result<Option<Writes>>;

/// A store. All of it may be called from several threads and processes at once.
pub trait Store: Send + Sync {
    /// Reads that belong together.
    fn view(&self, look: &mut dyn FnMut(&dyn Read) -> Result<()>) -> Result<()>;

    /// One transaction. `decide` may be called again, where what it read has changed meanwhile. Returns the new
    /// revision, which is the version of all that was written, or none if nothing was to be.
    fn transact(&self, author: &Author, decide: Decide<'_>) -> Result<Option<Revision>>;

    /// Audit entries after that number, of paths that begin with `prefix`, at most so many.
    fn audit(&self, prefix: &str, after: u64, most: usize) -> Result<Vec<AuditEntry>>;

    /// Audit entries after that revision, in their order, at most so many.
    fn changes(&self, after: Revision, most: usize) -> Result<Vec<AuditEntry>>;
}
