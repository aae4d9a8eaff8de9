//! The difference between two configurations. Most changes affect few rows, so a proxy that has the previous configuration
//! needs only the difference.

use crate::configuration::{Configuration, Limits, Route, Service, Tenant};
use crate::digest::{digest, DigestError};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Why a change can't be computed or applied.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// Rows are matched by name, so names must be unique.
    #[error("two rows of {table} have the same name")]
    DuplicateName {
        /// The name of the table.
        table: &'static str,
    },
    /// The change is based on another configuration than the one it was applied to.
    #[error(
        "the change leads to digest {expected:016x}, and was applied to another configuration: {found:016x}"
    )]
    DigestMismatch {
        /// The digest of the configuration that should result.
        expected: u64,
        /// The digest of the actual result.
        found: u64,
    },
    /// The digest of a configuration can't be computed.
    #[error(transparent)]
    Digest(#[from] DigestError),
}

/// The difference between two tables.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TableChange<T> {
    /// New and changed rows.
    pub upserted: Vec<T>,
    /// The names of removed rows.
    pub removed: Vec<String>,
}

/// The difference between two configurations. It is sent between processes, and encoded by the position of its fields.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ConfigurationChange {
    /// The version of the resulting configuration.
    pub version: u64,
    /// The change of the routes.
    pub routes: TableChange<Route>,
    /// The change of the services.
    pub services: TableChange<Service>,
    /// The change of the tenants.
    pub tenants: TableChange<Tenant>,
    /// The limits of the resulting configuration.
    pub limits: Limits,
    /// The [`digest`] of the resulting configuration.
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

/// Applies a change to a table. Changed rows keep their positions, and new rows are appended.
fn apply_to_table<T: NamedRow>(change: &TableChange<T>, rows: &mut Vec<T>) {
    let removed: HashSet<&str> = change.removed.iter().map(String::as_str).collect();
    rows.retain(|row| !removed.contains(row.name()));
    let indices: HashMap<String, usize> =
        rows.iter().enumerate().map(|(index, row)| (row.name().to_owned(), index)).collect();
    for row in &change.upserted {
        match indices.get(row.name()) {
            Some(index) => rows[*index] = row.clone(),
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
    /// Computes the change from `old` to `new`.
    ///
    /// # Errors
    /// If rows of a table have the same name, or a row can't be encoded. Then `new` must be sent in full.
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

    /// Applies the change to `old`, and returns the resulting configuration.
    ///
    /// # Errors
    /// If the change is not based on `old`, or a row can't be encoded. Then the full configuration is needed.
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
