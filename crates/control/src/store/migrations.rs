//! The schema, step by step. A step that has been in a release is never changed: a new one is added behind it.

use super::{Error, Result};
use rusqlite::Connection;

/// Each brings the file from its number to the next.
pub const STEPS: &[&str] = &[
    "CREATE TABLE document (path TEXT PRIMARY KEY, version INTEGER NOT NULL, body TEXT NOT NULL) WITHOUT ROWID;
     CREATE TABLE audit (number INTEGER PRIMARY KEY, revision INTEGER NOT NULL, at INTEGER NOT NULL,
                         who TEXT NOT NULL, path TEXT NOT NULL, before TEXT, after TEXT);
     CREATE TABLE state (one INTEGER PRIMARY KEY CHECK (one = 1), revision INTEGER NOT NULL);
     INSERT INTO state VALUES (1, 0);",
    "CREATE INDEX audit_by_revision ON audit (revision);
     CREATE INDEX audit_by_path ON audit (path, number);",
];

/// Brings a file to the newest schema; one step is one transaction.
pub fn migrate(connection: &mut Connection) -> Result<()> {
    let known = STEPS.len() as u32;
    loop {
        let step = connection.transaction_with_behavior(rusqlite::TransactionBehavior::Immediate)?;
        let found: u32 = step.query_row("PRAGMA user_version", [], |row| row.get(0))?;
        if found > known {
            return Err(Error::TooNew { found, known });
        }
        let Some(text) = STEPS.get(found as usize) else { return Ok(()) };
        step.execute_batch(text)?;
        step.pragma_update(None, "user_version", found + 1)?;
        step.commit()?;
    }
}
