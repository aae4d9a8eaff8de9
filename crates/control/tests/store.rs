//! The store: migrations of all schemas, transactions of several processes, and the audit log.

#![cfg(test)]

use rusqlite::Connection;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use violetyoke_control::store::{Author, Error, ReadView, Sqlite, Store, Writes, MIGRATIONS};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A store's file, which is deleted at the end of the test.
struct StoreFile(PathBuf);

impl StoreFile {
    fn new() -> StoreFile {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        StoreFile(std::env::temp_dir().join(format!("violetyoke-store-{}-{number}", std::process::id())))
    }

    fn open(&self) -> Sqlite {
        Sqlite::open(&self.0).unwrap()
    }
}

impl Drop for StoreFile {
    fn drop(&mut self) {
        for suffix in ["", "-wal", "-shm"] {
            // SQLite removes the others itself.
            drop(std::fs::remove_file(format!("{}{suffix}", self.0.display())));
        }
    }
}

fn by(who: &str) -> Author {
    Author { key_id: who.into(), at_ms: 1_000 }
}

fn put(store: &Sqlite, path: &str, body: &Value) -> u64 {
    store.transact(&by("me"), &mut |_| Ok(Some(Writes::default().put(path, body.clone())))).unwrap().unwrap()
}

fn get(store: &Sqlite, path: &str) -> Option<(u64, Value)> {
    let mut found = None;
    store
        .view(&mut |read| {
            found = read.get(path)?.map(|document| (document.version, document.body));
            Ok(())
        })
        .unwrap();
    found
}

#[test]
fn every_earlier_schema_is_migrated_and_keeps_its_data() {
    for steps in 0..=MIGRATIONS.len() {
        let file = StoreFile::new();
        let connection = Connection::open(&file.0).unwrap();
        for step in &MIGRATIONS[..steps] {
            connection.execute_batch(step).unwrap();
        }
        connection.pragma_update(None, "user_version", steps as u32).unwrap();
        if steps > 0 {
            connection
                .execute_batch(
                    "INSERT INTO document VALUES ('tenants/old', 3, '{\"name\":\"old\"}');
                     INSERT INTO audit VALUES (1, 3, 5, 'w', 'tenants/old', NULL, '{\"name\":\"old\"}');
                     UPDATE state SET revision = 3;",
                )
                .unwrap();
        }
        drop(connection);
        let store = file.open();
        assert_eq!(put(&store, "tenants/new", &json!(1)), if steps > 0 { 4 } else { 1 });
        if steps > 0 {
            assert_eq!(get(&store, "tenants/old"), Some((3, json!({"name": "old"}))));
            assert_eq!(store.audit("tenants/", 0, 10).unwrap().len(), 2);
        }
        drop(store);
        let connection = Connection::open(&file.0).unwrap();
        let version: u32 = connection.query_row("PRAGMA user_version", [], |row| row.get(0)).unwrap();
        assert_eq!(version, MIGRATIONS.len() as u32);
    }
}

#[test]
fn file_of_a_later_version_is_rejected() {
    let file = StoreFile::new();
    drop(file.open());
    let connection = Connection::open(&file.0).unwrap();
    connection.pragma_update(None, "user_version", 99).unwrap();
    drop(connection);
    assert!(matches!(Sqlite::open(&file.0), Err(Error::TooNew { found: 99, .. })));
}

#[test]
fn transaction_writes_everything_or_nothing() {
    let file = StoreFile::new();
    let store = file.open();
    put(&store, "tenants/a/plans/p", &json!(1));
    put(&store, "tenants/a/plans/q", &json!(2));
    put(&store, "tenants/ab", &json!(3));
    // It decides not to, and it fails in the middle: nothing is written, and no revision is used.
    assert_eq!(store.transact(&by("me"), &mut |_| Ok(None)).unwrap(), None);
    let failed = store.transact(&by("me"), &mut |_| {
        Err(Error::InvalidState { path: "tenants/a".into(), reason: "no".into() })
    });
    assert!(failed.is_err());
    let writes = || Writes::default().clear("tenants/a/").put("tenants/a/plans/r", json!(4)).delete("absent");
    assert_eq!(store.transact(&by("you"), &mut |_| Ok(Some(writes()))).unwrap(), Some(4));
    assert_eq!(get(&store, "tenants/a/plans/p"), None);
    assert_eq!(get(&store, "tenants/a/plans/r"), Some((4, json!(4))));
    assert_eq!(get(&store, "tenants/ab"), Some((3, json!(3))));
    let audit = store.changes(3, 100).unwrap();
    let told: Vec<_> = audit.iter().map(|entry| (entry.path.as_str(), &entry.before, &entry.after)).collect();
    assert_eq!(
        told,
        [
            ("tenants/a/plans/p", &Some(json!(1)), &None),
            ("tenants/a/plans/q", &Some(json!(2)), &None),
            ("tenants/a/plans/r", &None, &Some(json!(4))),
        ]
    );
    assert!(audit.iter().all(|entry| entry.who == "you" && entry.revision == 4 && entry.at == 1_000));
}

#[test]
fn concurrent_changes_of_one_document_lose_no_update() {
    // Two connections to one file stand for two processes.
    let file = StoreFile::new();
    let stores = [file.open(), file.open()];
    put(&stores[0], "tenants/a", &json!({"count": 0, "by": []}));
    thread::scope(|scope| {
        for (number, store) in stores.iter().enumerate() {
            for person in 0..2 {
                scope.spawn(move || {
                    let who = format!("{number}-{person}");
                    for round in 0..100 {
                        // Read, and write only if it is still what was read.
                        loop {
                            let (version, mut body) = get(store, "tenants/a").unwrap();
                            body["count"] = json!(body["count"].as_u64().unwrap() + 1);
                            body["by"].as_array_mut().unwrap().push(json!(format!("{who}:{round}")));
                            let done = store.transact(&by(&who), &mut |read| {
                                let now = read.get("tenants/a")?.map(|document| document.version);
                                let writes = Writes::default().put("tenants/a", body.clone());
                                Ok((now == Some(version)).then_some(writes))
                            });
                            if done.unwrap().is_some() {
                                break;
                            }
                        }
                    }
                });
            }
        }
    });
    let (version, body) = get(&stores[0], "tenants/a").unwrap();
    assert_eq!((version, body["count"].as_u64()), (401, Some(400)));
    let mut by: Vec<_> = body["by"].as_array().unwrap().iter().map(Value::to_string).collect();
    by.sort();
    by.dedup();
    assert_eq!(by.len(), 400);
    // The audit log is a chain: each entry begins where the one before it ended.
    let audit = stores[1].audit("tenants/a", 0, 1_000).unwrap();
    assert_eq!(audit.len(), 401);
    assert!(audit.windows(2).all(|pair| pair[0].after == pair[1].before));
}

#[test]
fn lists_are_ordered_and_paged() {
    let file = StoreFile::new();
    let store = file.open();
    for name in ["b", "a", "d", "c"] {
        put(&store, &format!("x/{name}"), &json!(name));
    }
    put(&store, "xy", &json!(0));
    let page = |after: &str, most| {
        let mut names = Vec::new();
        let look = &mut |read: &dyn ReadView| {
            names = read.list("x/", after, most)?.into_iter().map(|document| document.path).collect();
            Ok(())
        };
        store.view(look).unwrap();
        names
    };
    assert_eq!(page("", 3), ["x/a", "x/b", "x/c"]);
    assert_eq!(page("x/c", 3), ["x/d"]);
}
