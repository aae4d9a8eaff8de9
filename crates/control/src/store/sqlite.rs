//! The store in one file: SQLite in WAL mode. Several processes may have it open.

use super::{migrations, AuditEntry, Author, Decide, Document, Error, Read, Result, Revision, Store};
use rusqlite::{params, Connection, OptionalExtension, Row, Transaction, TransactionBehavior};
use serde_json::Value;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long one waits for another process's transaction.
const BUSY: Duration = Duration::from_secs(5);

pub struct Sqlite {
    connection: Mutex<Connection>,
}

impl Sqlite {
    pub fn open(path: &Path) -> Result<Sqlite> {
        let mut connection = Connection::open(path)?;
        connection.busy_timeout(BUSY)?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        // What is acknowledged survives the machine too, not only the process.
        connection.pragma_update(None, "synchronous", "FULL")?;
        migrations::migrate(&mut connection)?;
        Ok(Sqlite { connection: Mutex::new(connection) })
    }

    /// All of it, as it is at one moment, in a file that is not there yet.
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

/// The end of all paths that begin with a prefix: behind it in the order of bytes.
fn behind(prefix: &str) -> String {
    format!("{prefix}\u{10ffff}")
}

fn documents(connection: &Connection, prefix: &str, after: &str, most: usize) -> Result<Vec<Document>> {
    let mut statement = connection.prepare_cached(
        "SELECT path, version, body FROM document WHERE path >= ?1 AND path < ?2 AND path > ?3 ORDER BY path LIMIT ?4",
    )?;
    let rows = statement.query_map(params![prefix, behind(prefix), after, most as i64], |row| {
        Ok((row.get::<_, String>(0)?, row.get::<_, i64>(1)?, row.get::<_, String>(2)?))
    })?;
    let mut list = Vec::new();
    for row in rows {
        let (path, version, body) = row?;
        let body = parse(&path, &body)?;
        list.push(Document { path, version: version as Revision, body });
    }
    Ok(list)
}

fn entries(
    connection: &Connection,
    condition: &str,
    values: impl rusqlite::Params,
) -> Result<Vec<AuditEntry>> {
    let text = format!("SELECT number, revision, at, who, path, before, after FROM audit WHERE {condition}");
    let mut statement = connection.prepare_cached(&text)?;
    let rows = statement.query_map(values, |row| {
        Ok((
            (row.get::<_, i64>(0)?, row.get::<_, i64>(1)?, row.get::<_, i64>(2)?),
            (row.get::<_, String>(3)?, row.get::<_, String>(4)?),
            (row.get::<_, Option<String>>(5)?, row.get::<_, Option<String>>(6)?),
        ))
    })?;
    let mut list = Vec::new();
    for row in rows {
        let ((number, revision, at), (who, path), (before, after)) = row?;
        list.push(AuditEntry {
            number: number as u64,
            revision: revision as Revision,
            at: at as u64,
            who,
            before: before.map(|text| parse(&path, &text)).transpose()?,
            after: after.map(|text| parse(&path, &text)).transpose()?,
            path,
        });
    }
    Ok(list)
}

/// Writes or deletes one path, with its audit entry. What is not there is not deleted.
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
    // Bookkeeping follows from what is noted already.
    if path.starts_with('-') {
        return Ok(());
    }
    transaction.execute(
        "INSERT INTO audit (revision, at, who, path, before, after) VALUES (?1, ?2, ?3, ?4, ?5, ?6)",
        params![revision as i64, author.at as i64, author.who, path, before, after],
    )?;
    Ok(())
}

impl Read for Transaction<'_> {
    fn get(&self, path: &str) -> Result<Option<Document>> {
        let mut statement = self.prepare_cached("SELECT version, body FROM document WHERE path = ?1")?;
        let row = |row: &Row<'_>| Ok((row.get::<_, i64>(0)?, row.get::<_, String>(1)?));
        let Some((version, body)) = statement.query_row([path], row).optional()? else { return Ok(None) };
        Ok(Some(Document { path: path.to_string(), version: version as Revision, body: parse(path, &body)? }))
    }

    fn list(&self, prefix: &str, after: &str, most: usize) -> Result<Vec<Document>> {
        documents(self, prefix, after, most)
    }

    fn revision(&self) -> Result<Revision> {
        Ok(self.query_row("SELECT revision FROM state", [], |row| row.get::<_, i64>(0))? as Revision)
    }

    fn audited(&self) -> Result<Revision> {
        let newest = "SELECT coalesce(max(revision), 0) FROM audit";
        Ok(self.query_row(newest, [], |row| row.get::<_, i64>(0))? as Revision)
    }
}

impl Store for Sqlite {
    fn view(&self, look: &mut dyn FnMut(&dyn Read) -> Result<()>) -> Result<()> {
        let mut connection = self.lock();
        let transaction = connection.transaction()?;
        look(&transaction)
    }

    fn transact(&self, author: &Author, decide: Decide<'_>) -> Result<Option<Revision>> {
        let mut connection = self.lock();
        // The lock for writing is taken before anything is read: nothing that is read can change.
        let transaction = connection.transaction_with_behavior(TransactionBehavior::Immediate)?;
        let Some(writes) = decide(&transaction)? else { return Ok(None) };
        let next = Read::revision(&transaction)? + 1;
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

    fn audit(&self, prefix: &str, after: u64, most: usize) -> Result<Vec<AuditEntry>> {
        let condition = "path >= ?1 AND path < ?2 AND number > ?3 ORDER BY number LIMIT ?4";
        entries(&self.lock(), condition, params![prefix, behind(prefix), after as i64, most as i64])
    }

    fn changes(&self, after: Revision, most: usize) -> Result<Vec<AuditEntry>> {
        let condition = "revision > ?1 ORDER BY number LIMIT ?2";
        entries(&self.lock(), condition, params![after as i64, most as i64])
    }
}
