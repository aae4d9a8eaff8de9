//! The control plane's state on disk: documents by path, with versions, and an audit log.
//!
//! A path is like `tenants/acme/plans/basic`. A document's version is the store's revision at which it was last written
//! (like etcd's `mod_revision`, or the `mzxid` of a ZooKeeper node): it is never used again, not even for a path that is
//! deleted and created anew. A transaction reads, decides, and writes. What it has read is unchanged when it writes, and
//! all of its writes are done, each with an audit entry, or none is. So compare-and-set is a read of a version and a
//! decision not to write. A store on ZooKeeper would check the versions of what was read in a `multi`, and start again
//! where one has changed.
//!
//! Documents whose paths begin with `-` are derived from others, or are bookkeeping: they have no audit entries.

mod error;
mod migrations;
mod sqlite;

pub use error::{Error, Result};
pub use migrations::MIGRATIONS;
pub use sqlite::Sqlite;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The number of a transaction that wrote, from 1.
pub type Revision = u64;

/// A document as it is in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Its path.
    pub path: String,
    /// The revision at which it was last written.
    pub version: Revision,
    /// Its content.
    pub body: Value,
}

/// What a transaction writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Writes {
    /// Documents by path, in the order in which they are written; none: the path is deleted.
    pub(crate) documents: Vec<(String, Option<Value>)>,
    /// Prefixes below which all documents are deleted first.
    pub(crate) clears: Vec<String>,
}

impl Writes {
    /// Also writes a document.
    #[must_use]
    pub fn put(mut self, path: impl Into<String>, body: Value) -> Writes {
        self.documents.push((path.into(), Some(body)));
        self
    }

    /// Also deletes a path, if there is a document.
    #[must_use]
    pub fn delete(mut self, path: impl Into<String>) -> Writes {
        self.documents.push((path.into(), None));
        self
    }

    /// Also deletes all documents below a prefix, before the other writes.
    #[must_use]
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
    /// The id of the key; `control` for the control plane itself.
    pub key_id: String,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

impl Author {
    /// The control plane itself, at this Unix time in milliseconds.
    pub fn control(at_ms: u64) -> Author {
        Author { key_id: "control".into(), at_ms }
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
    #[expect(missing_docs, reason = "a comment would change docs/api.json")]
    pub path: String,
    /// None: it was not there; none after: it is gone.
    pub before: Option<Value>,
    #[expect(missing_docs, reason = "a comment would change docs/api.json")]
    pub after: Option<Value>,
}

/// Reads of one state of the store.
pub trait ReadView {
    /// A document; none if there is none at this path.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn get(&self, path: &str) -> Result<Option<Document>>;

    /// Documents whose paths begin with `prefix` and come after `after`, in the order of their paths, at most `limit`.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Document>>;

    /// The newest revision.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn revision(&self) -> Result<Revision>;

    /// The newest revision that has audit entries.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn audited_revision(&self) -> Result<Revision>;
}

/// Decides what a transaction writes; none: it writes nothing.
pub type Decide<'a> = &'a mut dyn FnMut(&dyn ReadView) -> Result<Option<Writes>>;

/// A store. It may be used by several threads and processes at once. Its methods block.
pub trait Store: Send + Sync {
    /// Reads one state.
    ///
    /// # Errors
    /// [`Error`] if the store fails, or that of `look`.
    fn view(&self, look: &mut dyn FnMut(&dyn ReadView) -> Result<()>) -> Result<()>;

    /// One transaction. `decide` may be called again if what it has read was changed meanwhile. Returns the new revision,
    /// which is the version of all that was written; none if nothing was.
    ///
    /// # Errors
    /// [`Error`] if the store fails, or that of `decide`. Then nothing was written.
    fn transact(&self, author: &Author, decide: Decide<'_>) -> Result<Option<Revision>>;

    /// Audit entries of paths that begin with `prefix`, after the entry of this number, at most `limit`.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn audit(&self, prefix: &str, after: u64, limit: usize) -> Result<Vec<AuditEntry>>;

    /// Audit entries after a revision, in their order, at most `limit`.
    ///
    /// # Errors
    /// [`Error`] if the store fails.
    fn changes(&self, after: Revision, limit: usize) -> Result<Vec<AuditEntry>>;
}
