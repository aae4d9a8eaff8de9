//! The schema, as a list of migrations. One that was in a release is never changed: a new one is added after it.

use super::{Error, Result};
use rusqlite::Connection;

/// Each brings a file from the schema version that is its index to the next.
pub const MIGRATIONS: &[&str] = &[
    "CREATE TABLE document (path TEXT PRIMARY KEY, version INTEGER NOT NULL, body TEXT NOT NULL) WITHOUT ROWID;
     CREATE TABLE audit (number INTEGER PRIMARY KEY, revision INTEGER NOT NULL, at INTEGER NOT NULL,
                         who TEXT NOT NULL, path TEXT NOT NULL, before TEXT, after TEXT);
     CREATE TABLE state (one INTEGER PRIMARY KEY CHECK (one = 1), revision INTEGER NOT NULL);
     INSERT INTO state VALUES (1, 0);",
    "CREATE INDEX audit_by_revision ON audit (revision);
     CREATE INDEX audit_by_path ON audit (path, number);",
];

/// Brings a file to the newest schema; each migration is one transaction.
pub(super) fn migrate(connection: &mut Connection) -> Result<()> {
    let known = MIGRATIONS.len() as u32;
    loop {
        let transaction = connection.transaction_with_behavior(rusqlite::TransactionBehavior::Immediate)?;
        let found: u32 = transaction.query_row("PRAGMA user_version", [], |row| row.get(0))?;
        if found > known {
            return Err(Error::TooNew { found, known });
        }
        let Some(migration) = MIGRATIONS.get(found as usize) else { return Ok(()) };
        transaction.execute_batch(migration)?;
        transaction.pragma_update(None, "user_version", found + 1)?;
        transaction.commit()?;
    }
}
