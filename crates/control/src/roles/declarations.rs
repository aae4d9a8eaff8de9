//! Which singleton roles there are: declared in the operators' file, and kept in the store from the first start on, so
//! that the roles in force do not change because the file is absent.

use super::lease_store;
use crate::store::{Author, Error, ReadView, Result, Store, Writes};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_ownership::{RoleKind, SingletonRole};

const PREFIX: &str = "duties/";
/// The role that every control plane has, declared or not.
const UPKEEP: &str = "upkeep";
const UPKEEP_TTL_MS: u64 = 3_000;

/// A declaration that is not put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct DeclarationError {
    /// The settings' key, with the role's number in the file or its name.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// The file as a whole cannot be read.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ParseError(#[from] toml::de::Error);

/// The content of an operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedDeclarations {
    /// Valid roles, in the order of the file.
    pub roles: Vec<SingletonRole>,
    /// What is wrong with the others.
    pub errors: Vec<DeclarationError>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default, rename = "duty")]
    roles: Vec<toml::Value>,
}

/// Parses a file. A role that is not valid is left out and reported; the others stand.
///
/// # Errors
/// [`ParseError`] if the file is not valid TOML, or has other keys than `duty`.
pub fn parse(text: &str) -> std::result::Result<ParsedDeclarations, ParseError> {
    let file: File = toml::from_str(text)?;
    let mut parsed = ParsedDeclarations::default();
    let mut names = BTreeSet::new();
    for (number, value) in file.roles.into_iter().enumerate() {
        let mut errors = Vec::new();
        match serde_path_to_error::deserialize::<_, SingletonRole>(value) {
            Err(error) => {
                let path = error.path().to_string();
                let field = if path == "." { String::new() } else { path };
                errors.push((field, error.into_inner().message().to_string()));
            }
            Ok(role) => {
                errors
                    .extend(role.validate().into_iter().map(|error| (error.field.to_string(), error.reason)));
                if !names.insert(role.name.clone()) {
                    errors.push(("name".into(), format!("{:?} is another duty's name too", role.name)));
                }
                if errors.is_empty() {
                    parsed.roles.push(role);
                }
            }
        }
        parsed.errors.extend(errors.into_iter().map(|(field, reason)| {
            let field = if field.is_empty() { field } else { format!(".{field}") };
            DeclarationError { field: format!("duty[{number}]{field}"), reason }
        }));
    }
    Ok(parsed)
}

/// The roles in force, in order of their names.
pub(crate) fn in_force(read: &dyn ReadView) -> Result<Vec<SingletonRole>> {
    let mut roles = declared(read)?;
    if !roles.iter().any(|role| role.kind == RoleKind::Upkeep || role.name == UPKEEP) {
        roles.push(SingletonRole { ttl_ms: UPKEEP_TTL_MS, ..SingletonRole::new(UPKEEP, RoleKind::Upkeep) });
        roles.sort_by(|a, b| a.name.cmp(&b.name));
    }
    Ok(roles)
}

fn declared(read: &dyn ReadView) -> Result<Vec<SingletonRole>> {
    let documents = read.list(PREFIX, "", usize::MAX)?;
    // Overrides of a role's shards are below its own path.
    let declarations = documents.into_iter().filter(|document| !document.path[PREFIX.len()..].contains('/'));
    declarations
        .map(|document| {
            let path = document.path;
            serde_json::from_value(document.body).map_err(|source| Error::Document { path, source })
        })
        .collect()
}

fn by_name(roles: Vec<SingletonRole>) -> BTreeMap<String, SingletonRole> {
    roles.into_iter().map(|role| (role.name.clone(), role)).collect()
}

/// Puts declared roles in force, each on its own: a role whose number of shards would change while any of them has an
/// owner stays as it was, and is reported. `None`: no file is given, and the roles in force stay.
///
/// # Errors
/// [`Error`] if the store fails.
pub fn declare(
    store: &dyn Store,
    roles: Option<Vec<SingletonRole>>,
    wall_ms: u64,
) -> Result<Vec<DeclarationError>> {
    let Some(roles) = roles else { return Ok(Vec::new()) };
    let new = by_name(roles);
    let mut errors = Vec::new();
    store.transact(&Author::control(wall_ms), &mut |read| {
        errors.clear();
        let old = by_name(declared(read)?);
        let mut writes = Writes::default();
        for (name, role) in &new {
            match old.get(name) {
                Some(old) if old == role => continue,
                Some(old) if old.shard_count != role.shard_count && has_owner(read, name)? => {
                    let (from, to) = (old.shard_count, role.shard_count);
                    let reason = format!("cannot go from {from} to {to} while a shard is owned");
                    errors.push(DeclarationError { field: format!("duty {name:?}.shards"), reason });
                    continue;
                }
                _ => {}
            }
            let path = format!("{PREFIX}{name}");
            writes = match serde_json::to_value(role) {
                Ok(body) => writes.put(path, body),
                Err(source) => return Err(Error::Document { path, source }),
            };
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            // Its records stay: if it is declared again, epochs and watermarks continue.
            writes = writes.delete(format!("{PREFIX}{name}"));
        }
        Ok(writes.non_empty())
    })?;
    Ok(errors)
}

/// Whether any shard of the role has an owner.
fn has_owner(read: &dyn ReadView, role: &str) -> Result<bool> {
    Ok(lease_store::records(read, Some(role))?.iter().any(|record| record.holder.is_some()))
}
