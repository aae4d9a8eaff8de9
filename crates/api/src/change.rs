//! What makes one configuration another: rows that are new or other, and names that are gone. Most changes are a few
//! rows of many; an ingress that holds the one before needs no more to hold the next.

use crate::configuration::{Configuration, Limits, Route, Service, Tenant};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{HashMap, HashSet};
use std::hash::Hasher;

/// Rows of one table that are new or other, and the names of those that are gone.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct TableChange<T> {
    pub upserted: Vec<T>,
    pub removed: Vec<String>,
}

/// From one configuration to another.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct ConfigurationChange {
    pub version: u64,
    pub routes: TableChange<Route>,
    pub services: TableChange<Service>,
    pub tenants: TableChange<Tenant>,
    pub limits: Limits,
    /// [`digest`] of what it leads to.
    pub digest: u64,
}

/// A row that has a name.
pub trait Named {
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// The same for two configurations with the same rows, in whatever order.
pub fn digest(configuration: &Configuration) -> u64 {
    fn row<T: Serialize>(kind: u8, row: &T) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u8(kind);
        // A row that could not be written would be taken for an empty one, on both sides.
        hasher.write(&rmp_serde::to_vec(row).unwrap_or_default());
        hasher.finish()
    }
    let routes = configuration.routes.iter().map(|it| row(1, it));
    let services = configuration.services.iter().map(|it| row(2, it));
    let tenants = configuration.tenants.iter().map(|it| row(3, it));
    let rest = [row(4, &configuration.limits), row(5, &configuration.version)];
    routes.chain(services).chain(tenants).chain(rest).fold(0, u64::wrapping_add)
}

/// Names are all different: only then does a row have one place.
fn distinct<T: Named>(rows: &[T]) -> bool {
    let names: HashSet<&str> = rows.iter().map(Named::name).collect();
    names.len() == rows.len()
}

fn rows<T: Named + Clone + PartialEq>(old: &[T], new: &[T]) -> TableChange<T> {
    let before: HashMap<&str, &T> = old.iter().map(|row| (row.name(), row)).collect();
    let after: HashSet<&str> = new.iter().map(Named::name).collect();
    let upserted = new.iter().filter(|row| before.get(row.name()) != Some(row)).cloned().collect();
    let removed =
        old.iter().filter(|row| !after.contains(row.name())).map(|row| row.name().to_owned()).collect();
    TableChange { upserted, removed }
}

fn apply<T: Named + Clone>(rows: &mut Vec<T>, change: &TableChange<T>) {
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

impl ConfigurationChange {
    /// What leads from `old` to `new`; nothing where rows share a name.
    pub fn between(old: &Configuration, new: &Configuration) -> Option<ConfigurationChange> {
        let named = distinct(&new.routes) && distinct(&new.services) && distinct(&new.tenants);
        let before = distinct(&old.routes) && distinct(&old.services) && distinct(&old.tenants);
        (named && before).then(|| ConfigurationChange {
            version: new.version,
            routes: rows(&old.routes, &new.routes),
            services: rows(&old.services, &new.services),
            tenants: rows(&old.tenants, &new.tenants),
            limits: new.limits,
            digest: digest(new),
        })
    }

    /// The configuration that this leads to from `old`; nothing where that is not the one it was made from.
    pub fn apply(&self, old: &Configuration) -> Option<Configuration> {
        let mut next = old.clone();
        next.version = self.version;
        next.limits = self.limits;
        apply(&mut next.routes, &self.routes);
        apply(&mut next.services, &self.services);
        apply(&mut next.tenants, &self.tenants);
        (digest(&next) == self.digest).then_some(next)
    }
}
