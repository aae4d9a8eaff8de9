//! The control plane's store, as the builds before wrote it. Columns go by name and bodies are JSON. The golden files are
//! never edited.

#![cfg(test)]

mod documents;
#[path = "../../../transport/tests/golden/files.rs"]
mod files;

use files::GoldenFolder;
use rusqlite::types::Value as Cell;
use rusqlite::Connection;
use serde_json::{json, Value};
use std::path::PathBuf;
use violetyoke_control::store::{AuditEntry, Author, Document, Sqlite, Store, Writes, MIGRATIONS};

const STORE: &str = "store";
/// A file of the first schema.
const FIRST_SCHEMA: &str = "store-schema-1";

fn golden(name: &str, current: impl FnOnce() -> Vec<u8>) -> Vec<u8> {
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "sqlite").read(name, current)
}

/// An empty folder that is removed with this value.
struct DataDir(PathBuf);

impl DataDir {
    fn new(test: &str) -> DataDir {
        let path = std::env::temp_dir().join(format!("control-golden-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        DataDir(path)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn file_with(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.file(name);
        std::fs::write(&path, bytes).expect("written");
        path
    }
}

impl Drop for DataDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).expect("removed");
    }
}

/// A file of this build with all documents.
fn filled_file(folder: &DataDir) -> PathBuf {
    let (store, copy) = (Sqlite::open(&folder.file("live")).expect("opened"), folder.file("copy"));
    documents::fill(&store);
    store.copy_to(&copy).expect("copied");
    copy
}

/// A copy of the golden store in a folder of its own.
fn golden_file(folder: &DataDir) -> PathBuf {
    let current = || std::fs::read(filled_file(folder)).expect("read");
    let bytes = golden(STORE, current);
    folder.file_with("golden", &bytes)
}

fn rows(connection: &Connection, query: &str) -> Vec<Vec<Cell>> {
    let mut statement = connection.prepare(query).expect("prepared");
    let columns = statement.column_count();
    let row = |row: &rusqlite::Row<'_>| (0..columns).map(|column| row.get(column)).collect();
    let rows = statement.query_map([], row).expect("queried");
    rows.map(|row| row.expect("a row")).collect()
}

/// Schema and rows of a file, table by table.
fn content(path: &PathBuf) -> Vec<Vec<Vec<Cell>>> {
    let connection = Connection::open(path).expect("opened");
    [
        "PRAGMA user_version",
        "SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY type, name",
        "SELECT path, version, body FROM document ORDER BY path",
        "SELECT number, revision, at, who, path, before, after FROM audit ORDER BY number",
        "SELECT one, revision FROM state",
    ]
    .map(|query| rows(&connection, query))
    .to_vec()
}

fn all_documents(store: &Sqlite) -> Vec<Document> {
    let mut list = Vec::new();
    store
        .view(&mut |read| {
            list = read.list("", "", usize::MAX >> 1)?;
            Ok(())
        })
        .expect("read");
    list
}

fn all_audit_entries(store: &Sqlite) -> Vec<AuditEntry> {
    store.changes(0, 1_000).expect("read")
}

#[test]
fn the_store_is_written_as_by_earlier_builds() {
    let (first, second) = (DataDir::new("written"), DataDir::new("written-golden"));

    let written = content(&filled_file(&first));

    let golden = content(&golden_file(&second));
    assert_eq!(written.len(), golden.len());
    for (written, golden) in written.iter().zip(&golden) {
        assert!(!golden.is_empty(), "each table has rows");
        assert_eq!(written, golden);
    }
}

#[test]
fn the_store_of_an_earlier_build_is_read() {
    let (fresh, older) = (DataDir::new("read"), DataDir::new("read-golden"));
    let fresh = Sqlite::open(&filled_file(&fresh)).expect("opened");

    let opened = Sqlite::open(&golden_file(&older)).expect("opened");

    assert_eq!(all_documents(&opened), all_documents(&fresh));
    assert_eq!(all_audit_entries(&opened), all_audit_entries(&fresh));
    assert!(all_audit_entries(&opened).iter().any(|it| it.before.is_some() && it.after.is_none()));
}

#[test]
fn documents_of_an_earlier_build_keep_their_form() {
    let folder = DataDir::new("documents");
    let store = Sqlite::open(&golden_file(&folder)).expect("opened");

    for Document { path, body, .. } in all_documents(&store) {
        match documents::reencoded(&path, &body) {
            Some(again) => assert_eq!(again, body, "{path}"),
            None => assert!(path.starts_with('-'), "{path} has a type"),
        }
    }
}

#[test]
fn the_store_of_an_earlier_build_is_written_on() {
    let folder = DataDir::new("continued");
    let store = Sqlite::open(&golden_file(&folder)).expect("opened");
    let author = Author::control(1_700_000_000_005);

    let write = Writes::default().put("tenants/initech", json!({ "name": "initech" }));
    let revision = store.transact(&author, &mut |_| Ok(Some(write.clone()))).expect("written");

    let next = documents::transactions().len() as u64 + 1;
    assert_eq!(revision, Some(next));
    assert_eq!(all_audit_entries(&store).last().map(|entry| entry.revision), Some(next));
}

/// A file as the first schema had it, with one row in each table.
fn first_schema_file(folder: &DataDir) -> PathBuf {
    let path = folder.file("first-schema");
    let connection = Connection::open(&path).expect("opened");
    connection.execute_batch(MIGRATIONS[0]).expect("made");
    let fill = r#"INSERT INTO document VALUES ('tenants/acme', 1, '{"name":"acme"}');
        INSERT INTO audit VALUES (1, 1, 1700000000001, 'me', 'tenants/acme', NULL, '{"name":"acme"}');
        UPDATE state SET revision = 1;
        PRAGMA user_version = 1;"#;
    connection.execute_batch(fill).expect("filled");
    path
}

#[test]
fn a_store_of_the_first_schema_is_brought_to_the_newest() {
    let folder = DataDir::new("migrated");
    let bytes = golden(FIRST_SCHEMA, || std::fs::read(first_schema_file(&folder)).expect("read"));
    let path = folder.file_with("migrated", &bytes);

    let store = Sqlite::open(&path).expect("opened");

    let body: Value = json!({ "name": "acme" });
    let document = Document { path: "tenants/acme".into(), version: 1, body: body.clone() };
    assert_eq!(all_documents(&store), [document]);
    let entry = AuditEntry {
        number: 1,
        revision: 1,
        at: 1_700_000_000_001,
        who: "me".into(),
        path: "tenants/acme".into(),
        before: None,
        after: Some(body),
    };
    assert_eq!(all_audit_entries(&store), [entry]);
    drop(store);
    let empty = DataDir::new("migrated-empty");
    drop(Sqlite::open(&empty.file("new")).expect("opened"));
    assert_eq!(content(&path)[..2], content(&empty.file("new"))[..2], "version and schema");
}
