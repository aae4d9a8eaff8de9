//! The records of a table with their indexes, which are kept consistent by every change.

use crate::bucket::BucketIndex;
use crate::entry::Entry;
use crate::totals::Totals;
use crate::Millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use violetyoke_transport::messages::OperationKey;

/// Entries by operation, by bucket and by expiry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Entries are boxed because a hash table keeps a part of its slots empty.
    entries: HashMap<Arc<OperationKey>, Box<Entry>>,
    by_expiry: BTreeSet<(Millis, Arc<OperationKey>)>,
    buckets: BucketIndex,
    totals: Totals,
}

impl Records {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn totals(&self) -> &Totals {
        &self.totals
    }

    pub(crate) fn buckets(&self) -> &BucketIndex {
        &self.buckets
    }

    pub(crate) fn get(&self, key: &OperationKey) -> Option<&Entry> {
        self.entries.get(key).map(Box::as_ref)
    }

    /// Inserts the entry of an operation, or replaces the existing one.
    pub(crate) fn put(&mut self, key: OperationKey, entry: Entry) {
        let key = self.remove(&key).unwrap_or_else(|| Arc::new(key));
        self.by_expiry.insert((entry.expires_at, Arc::clone(&key)));
        self.buckets.insert(&key, &entry);
        self.totals.add(&key, &entry);
        self.entries.insert(key, Box::new(entry));
    }

    /// Changes the expiry of an entry.
    pub(crate) fn keep_until(&mut self, key: &OperationKey, expires_at: Millis) {
        let Some((shared, entry)) = self.entries.get_key_value(key) else { return };
        let index_entry = (entry.expires_at, Arc::clone(shared));
        self.by_expiry.remove(&index_entry);
        self.by_expiry.insert((expires_at, index_entry.1));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expires_at = expires_at;
        }
    }

    /// Removes the entry of an operation. Returns the key that the indexes shared.
    pub(crate) fn remove(&mut self, key: &OperationKey) -> Option<Arc<OperationKey>> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.buckets.remove(&key, &entry);
        self.totals.subtract(&key, &entry);
        let index_entry = (entry.expires_at, key);
        self.by_expiry.remove(&index_entry);
        Some(index_entry.1)
    }

    /// Removes all entries that have expired.
    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((expires_at, key)) = self.by_expiry.first() {
            if *expires_at > now {
                return;
            }
            let key = Arc::clone(key);
            self.remove(&key);
        }
    }
}
