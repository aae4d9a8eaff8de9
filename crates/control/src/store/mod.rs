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
use std::fmt;

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
}

/// Who changes something, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Author {
    /// A key's id.
    pub who: String,
    /// Unix time in milliseconds.
    pub at: u64,
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

#[derive(Debug)]
pub enum Error {
    /// The file is of a later program than this one.
    TooNew {
        found: u32,
        known: u32,
    },
    Failed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooNew { found, known } => {
                write!(f, "the store is of schema {found}, and this program knows {known} at most")
            }
            Error::Failed(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

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
