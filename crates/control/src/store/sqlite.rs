//! The store in one file: SQLite in WAL mode, which several processes may open.

use super::error::{Error, Result};
use super::{migrations, AuditEntry, Author, Decide, Document, ReadView, Revision, Store};
use rusqlite::{params, Connection, OptionalExtension, Row, Transaction, TransactionBehavior};
use serde_json::Value;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a transaction waits for that of another process.
const BUSY_TIMEOUT: Duration = Duration::from_secs(5);

/// A store in a file. Transactions of one process exclude each other.
pub struct Sqlite {
    connection: Mutex<Connection>,
}

impl Sqlite {
    /// Opens a file, or creates it, and brings it to the newest schema.
    ///
    /// # Errors
    /// [`Error`] if the database cannot be opened, or was written by a later version of this program.
    pub fn open(path: &Path) -> Result<Sqlite> {
        let mut connection = Connection::open(path)?;
        connection.busy_timeout(BUSY_TIMEOUT)?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        // What is acknowledged survives a crash of the machine, not only of the process.
        connection.pragma_update(None, "synchronous", "FULL")?;
        migrations::migrate(&mut connection)?;
        Ok(Sqlite { connection: Mutex::new(connection) })
    }

    /// Copies one state of the store to a file, which must not exist.
    ///
    /// # Errors
    /// [`Error`] if the database fails or the file cannot be written.
    pub fn copy_to(&self, path: &Path) -> Result<()> {
        self.lock().execute("VACUUM INTO ?1", [path.to_string_lossy()])?;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Connection> {
        // A thread that failed in the middle has rolled its transaction back.
        self.connection.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse(path: &str, text: &str) -> Result<Value> {
    serde_json::from_str(text).map_err(|source| Error::Document { path: path.to_string(), source })
}

/// The upper bound of all paths that begin with a prefix, in the order of bytes.
fn upper_bound(prefix: &str) -> String {
    format!("{prefix}\u{10ffff}")
}

fn documents(connection: &Connection, prefix: &str, after: &str, limit: usize) -> Result<Vec<Document>> {
    let mut statement = connection.prepare_cached(
        "SELECT path, version, body FROM document WHERE path >= ?1 AND path < ?2 AND path > ?3 ORDER BY path LIMIT ?4",
    )?;
    let mut rows = statement.query(params![prefix, upper_bound(prefix), after, limit as i64])?;
    let mut documents = Vec::new();
    while let Some(row) = rows.next()? {
        let (path, body): (String, String) = (row.get(0)?, row.get(2)?);
        let body = parse(&path, &body)?;
        documents.push(Document { path, version: row.get::<_, i64>(1)? as Revision, body });
    }
    Ok(documents)
}

fn audit_entries(
    connection: &Connection,
    condition: &str,
    values: impl rusqlite::Params,
) -> Result<Vec<AuditEntry>> {
    let text = format!("SELECT number, revision, at, who, path, before, after FROM audit WHERE {condition}");
    let mut statement = connection.prepare_cached(&text)?;
    let mut rows = statement.query(values)?;
    let mut entries = Vec::new();
    while let Some(row) = rows.next()? {
        let path: String = row.get(4)?;
        let body = |text: Option<String>| text.map(|text| parse(&path, &text)).transpose();
        entries.push(AuditEntry {
            number: row.get::<_, i64>(0)? as u64,
            revision: row.get::<_, i64>(1)? as Revision,
            at: row.get::<_, i64>(2)? as u64,
            who: row.get(3)?,
            before: body(row.get(5)?)?,
            after: body(row.get(6)?)?,
            path,
        });
    }
    Ok(entries)
}

/// Writes or deletes one document, with its audit entry. Deleting what does not exist does nothing.
fn write(
    transaction: &Transaction<'_>,
    author: &Author,
    revision: Revision,
    path: &str,
    body: Option<&Value>,
) -> Result<()> {
    let read = |row: &Row<'_>| row.get::<_, String>(0);
    let before =
        transaction.query_row("SELECT body FROM document WHERE path = ?1", [path], read).optional()?;
    let after = body.map(Value::to_string);
    if before.is_none() && after.is_none() {
        return Ok(());
    }
    match &after {
        Some(body) => transaction.execute(
            "INSERT INTO document VALUES (?1, ?2, ?3) ON CONFLICT (path) DO UPDATE SET version = ?2, body = ?3",
            params![path, revision as i64, body],
        )?,
        None => transaction.execute("DELETE FROM document WHERE path = ?1", [path])?,
    };
    // Derived from what has audit entries.
    if path.starts_with('-') {
        return Ok(());
    }
    transaction.execute(
        "INSERT INTO audit (revision, at, who, path, before, after) VALUES (?1, ?2, ?3, ?4, ?5, ?6)",
        params![revision as i64, author.at_ms as i64, author.key_id, path, before, after],
    )?;
    Ok(())
}

impl ReadView for Transaction<'_> {
    fn get(&self, path: &str) -> Result<Option<Document>> {
        let mut statement = self.prepare_cached("SELECT version, body FROM document WHERE path = ?1")?;
        let row = |row: &Row<'_>| Ok((row.get::<_, i64>(0)?, row.get::<_, String>(1)?));
        let Some((version, body)) = statement.query_row([path], row).optional()? else { return Ok(None) };
        Ok(Some(Document { path: path.to_string(), version: version as Revision, body: parse(path, &body)? }))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Document>> {
        documents(self, prefix, after, limit)
    }

    fn revision(&self) -> Result<Revision> {
        Ok(self.query_row("SELECT revision FROM state", [], |row| row.get::<_, i64>(0))? as Revision)
    }

    fn audited_revision(&self) -> Result<Revision> {
        let newest = "SELECT coalesce(max(revision), 0) FROM audit";
        Ok(self.query_row(newest, [], |row| row.get::<_, i64>(0))? as Revision)
    }
}

impl Store for Sqlite {
    fn view(&self, look: &mut dyn FnMut(&dyn ReadView) -> Result<()>) -> Result<()> {
        let mut connection = self.lock();
        let transaction = connection.transaction()?;
        look(&transaction)
    }

    fn transact(&self, author: &Author, decide: Decide<'_>) -> Result<Option<Revision>> {
        let mut connection = self.lock();
        // The write lock is taken before anything is read, so that nothing that was read can change.
        let transaction = connection.transaction_with_behavior(TransactionBehavior::Immediate)?;
        let Some(writes) = decide(&transaction)? else { return Ok(None) };
        let next = ReadView::revision(&transaction)? + 1;
        transaction.execute("UPDATE state SET revision = ?1", [next as i64])?;
        for prefix in &writes.clears {
            for document in documents(&transaction, prefix, "", i64::MAX as usize)? {
                write(&transaction, author, next, &document.path, None)?;
            }
        }
        for (path, body) in &writes.documents {
            write(&transaction, author, next, path, body.as_ref())?;
        }
        transaction.commit()?;
        Ok(Some(next))
    }

    fn audit(&self, prefix: &str, after: u64, limit: usize) -> Result<Vec<AuditEntry>> {
        let condition = "path >= ?1 AND path < ?2 AND number > ?3 ORDER BY number LIMIT ?4";
        audit_entries(
            &self.lock(),
            condition,
            params![prefix, upper_bound(prefix), after as i64, limit as i64],
        )
    }

    fn changes(&self, after: Revision, limit: usize) -> Result<Vec<AuditEntry>> {
        let condition = "revision > ?1 ORDER BY number LIMIT ?2";
        audit_entries(&self.lock(), condition, params![after as i64, limit as i64])
    }
}
