//! The difference between two configurations. Most changes are a few rows of many, and a proxy that holds the one
//! before needs no more to hold the next.

use crate::configuration::{Configuration, Limits, Route, Service, Tenant};
use crate::digest::{digest, DigestError};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Why there is no change between two configurations, or why one can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// Rows are matched by name, so names have to be unique.
    #[error("two rows of {table} have the same name")]
    DuplicateName {
        /// Name of the table.
        table: &'static str,
    },
    /// The change was made from another configuration than the one it was applied to.
    #[error(
        "the change leads to digest {expected:016x}, and was applied to another configuration: {found:016x}"
    )]
    DigestMismatch {
        /// Digest of the configuration that the change leads to.
        expected: u64,
        /// Digest of the result.
        found: u64,
    },
    /// A configuration has no digest.
    #[error(transparent)]
    Digest(#[from] DigestError),
}

/// The difference between two tables.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TableChange<T> {
    /// Rows that are new or differ.
    pub upserted: Vec<T>,
    /// Names of the rows that are gone.
    pub removed: Vec<String>,
}

/// The difference between two configurations. It is sent between processes, by the position of its fields.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ConfigurationChange {
    /// The operators' number of the configuration that it leads to.
    pub version: u64,
    /// Routes that differ.
    pub routes: TableChange<Route>,
    /// Services that differ.
    pub services: TableChange<Service>,
    /// Tenants that differ.
    pub tenants: TableChange<Tenant>,
    /// The limits of the configuration that it leads to.
    pub limits: Limits,
    /// [`digest`] of the configuration that it leads to.
    pub digest: u64,
}

/// A row with a name that is unique in its table.
trait NamedRow: Clone + PartialEq {
    const TABLE: &'static str;

    fn name(&self) -> &str;
}

impl NamedRow for Route {
    const TABLE: &'static str = "routes";

    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedRow for Service {
    const TABLE: &'static str = "services";

    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedRow for Tenant {
    const TABLE: &'static str = "tenants";

    fn name(&self) -> &str {
        &self.name
    }
}

fn table_change<T: NamedRow>(old: &[T], new: &[T]) -> Result<TableChange<T>, ChangeError> {
    let old_rows = by_name(old)?;
    let new_rows = by_name(new)?;
    let is_changed = |row: &&T| old_rows.get(row.name()) != Some(row);
    let upserted = new.iter().filter(is_changed).cloned().collect();
    let is_removed = |row: &&T| !new_rows.contains_key(row.name());
    let removed = old.iter().filter(is_removed).map(|row| row.name().to_owned()).collect();
    Ok(TableChange { upserted, removed })
}

/// Changed rows stay at their place, and new ones come last.
fn apply_to_table<T: NamedRow>(change: &TableChange<T>, rows: &mut Vec<T>) {
    let removed: HashSet<&str> = change.removed.iter().map(String::as_str).collect();
    rows.retain(|row| !removed.contains(row.name()));
    let places: HashMap<String, usize> =
        rows.iter().enumerate().map(|(place, row)| (row.name().to_owned(), place)).collect();
    for row in &change.upserted {
        match places.get(row.name()) {
            Some(place) => rows[*place] = row.clone(),
            None => rows.push(row.clone()),
        }
    }
}

fn by_name<T: NamedRow>(rows: &[T]) -> Result<HashMap<&str, &T>, ChangeError> {
    let by_name: HashMap<&str, &T> = rows.iter().map(|row| (row.name(), row)).collect();
    if by_name.len() != rows.len() {
        return Err(ChangeError::DuplicateName { table: T::TABLE });
    }
    Ok(by_name)
}

impl ConfigurationChange {
    /// What leads from `old` to `new`.
    ///
    /// # Errors
    /// Rows of a table share a name, or a row can't be encoded: `new` has to be sent in full.
    pub fn between(old: &Configuration, new: &Configuration) -> Result<ConfigurationChange, ChangeError> {
        Ok(ConfigurationChange {
            version: new.version,
            routes: table_change(&old.routes, &new.routes)?,
            services: table_change(&old.services, &new.services)?,
            tenants: table_change(&old.tenants, &new.tenants)?,
            limits: new.limits,
            digest: digest(new)?,
        })
    }

    /// The configuration that this leads to from `old`.
    ///
    /// # Errors
    /// The change was not made from `old`, or a row can't be encoded: the configuration is needed in full.
    pub fn apply(&self, old: &Configuration) -> Result<Configuration, ChangeError> {
        let mut next = old.clone();
        next.version = self.version;
        next.limits = self.limits;
        apply_to_table(&self.routes, &mut next.routes);
        apply_to_table(&self.services, &mut next.services);
        apply_to_table(&self.tenants, &mut next.tenants);
        let found = digest(&next)?;
        if found != self.digest {
            return Err(ChangeError::DigestMismatch { expected: self.digest, found });
        }
        Ok(next)
    }
}
