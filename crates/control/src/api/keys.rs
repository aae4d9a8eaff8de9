//! Endpoints of keys. A key's secret is in the reply that creates it, and never again.

use super::app::App;
use super::call::{Call, Caller, PageQuery};
use super::documents::{find_active_tenant, find_tenant, from_stored, to_json};
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use super::resources::page;
use crate::keys::{index_path, path, KeyRole, NewStoredKey, SentKey, StoredKey};
use crate::store::{ReadView, Revision, Writes};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use utoipa::ToSchema;
use violetyoke_tenants::model::FieldError;

/// A key to be made.
#[derive(Clone, Debug, Serialize, Deserialize, ToSchema)]
pub(super) struct NewKey {
    #[serde(flatten)]
    pub(super) role: KeyRole,
    #[serde(default)]
    pub(super) label: String,
    /// For how long it is good; none: until it is withdrawn.
    #[serde(default)]
    pub(super) expires_in_seconds: Option<u64>,
}

/// How a key is exchanged for a new one.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Rotation {
    /// For how long the old one is good beside the new one, in seconds.
    #[serde(default)]
    pub(super) overlap_seconds: u64,
}

/// Longest validity of a key, and of an overlap, in seconds: ten years.
const MAX_VALIDITY_SECONDS: u64 = 315_360_000;
/// Longest label, in characters.
const MAX_LABEL_LENGTH: usize = 128;

/// The caller that a key identifies; none if the key is unknown or not valid.
pub(super) fn find_caller(app: &App, key: &str, now: u64) -> Result<Option<Caller>, Problem> {
    let Some(sent) = SentKey::parse(key) else { return Ok(None) };
    let mut found = Ok(None);
    app.store.view(&mut |read| {
        found = match find(read, sent.id) {
            Ok((key, _)) => Ok(Some(key)),
            Err(problem) if problem.status == 404 => Ok(None),
            Err(problem) => Err(problem),
        };
        Ok(())
    })?;
    let is_valid = |key: &StoredKey| key.is_valid_at(now) && app.options.pepper.verifies(key, sent.secret);
    Ok(found?.filter(is_valid).map(|key| Caller { id: key.id, role: key.role }))
}

fn find(read: &dyn ReadView, id: &str) -> Result<(StoredKey, Revision), Problem> {
    let index = read.get(&index_path(id))?.ok_or_else(Problem::not_found)?;
    let path = index.body.as_str().unwrap_or_default();
    let document = read.get(path)?.ok_or_else(Problem::not_found)?;
    Ok((from_stored(document.body)?, document.version))
}

/// The key that the path names, among the tenant's or among those of no tenant.
fn find_named(call: &Call<'_>, read: &dyn ReadView) -> Result<(StoredKey, Revision), Problem> {
    let (key, version) = find(read, call.param("key"))?;
    if key.role.tenant() == call.tenant_param() {
        Ok((key, version))
    } else {
        Err(Problem::not_found())
    }
}

fn make_key(
    call: &Call<'_>,
    role: KeyRole,
    label: String,
    expires_at: Option<u64>,
) -> Result<NewStoredKey, Problem> {
    let key = call.app.options.pepper.make_key(role, label, call.now, expires_at);
    key.map_err(|error| Problem::internal(error.to_string()))
}

fn put(writes: Writes, key: &StoredKey) -> Result<Writes, Problem> {
    let path = path(&key.role, &key.id);
    Ok(writes.put(path.clone(), to_json(key)?).put(index_path(&key.id), Value::from(path)))
}

/// What is wrong with a key to be created, for this tenant or for none.
fn check_new_key(new: &NewKey, tenant: Option<&str>) -> Vec<FieldError> {
    let mut faults = Vec::new();
    match (tenant, new.role.tenant()) {
        (Some(tenant), Some(of_role)) if tenant != of_role => {
            faults.push(FieldError::new("tenant", "is not the tenant of the path"));
        }
        (Some(_), None) => faults.push(FieldError::new("role", "must be tenant_admin or tenant_reader here")),
        (None, Some(_)) => faults.push(FieldError::new("role", "must be operator or ingress here")),
        _ => {}
    }
    if new.label.chars().count() > MAX_LABEL_LENGTH {
        faults.push(FieldError::new("label", "must be 128 characters at most"));
    }
    let is_in_range = |seconds: u64| (1..=MAX_VALIDITY_SECONDS).contains(&seconds);
    if !new.expires_in_seconds.is_none_or(is_in_range) {
        faults.push(FieldError::new("expires_in_seconds", format!("must be 1 to {MAX_VALIDITY_SECONDS}")));
    }
    faults
}

/// Creates a key of the path's tenant, or of none.
pub(super) fn create(call: &Call<'_>) -> HandlerResult {
    let new: NewKey = call.parse_body()?;
    let faults = check_new_key(&new, call.tenant_param());
    if !faults.is_empty() {
        return Err(Problem::invalid(faults));
    }
    let expires_at = new.expires_in_seconds.map(|seconds| call.now + seconds * 1_000);
    let NewStoredKey { stored, key } = make_key(call, new.role, new.label, expires_at)?;
    call.create(|read, next| {
        if let Some(tenant) = call.tenant_param() {
            find_active_tenant(read, tenant)?;
        }
        let body = to_json(&stored.to_shown(Some(key.clone())))?;
        let location = format!("/v1/{}", path(&stored.role, &stored.id));
        Ok((put(Writes::default(), &stored)?, Reply::created(body, location).with_version(next)))
    })
}

/// Lists the keys of the path's tenant, or of none.
pub(super) fn list(call: &Call<'_>) -> HandlerResult {
    let PageQuery { after, limit } = call.page()?;
    let prefix = match call.tenant_param() {
        Some(tenant) => format!("tenants/{tenant}/keys/"),
        None => "keys/".to_string(),
    };
    call.read(|read| {
        if let Some(tenant) = call.tenant_param() {
            find_tenant(read, tenant)?;
        }
        let mut list = read.list(&prefix, &format!("{prefix}{after}"), limit)?;
        for document in &mut list {
            let key: StoredKey = from_stored(document.body.take())?;
            document.body = to_json(&key.to_shown(None))?;
        }
        Ok(page(list, &prefix, limit))
    })
}

/// Reads a key.
pub(super) fn read(call: &Call<'_>) -> HandlerResult {
    call.read(|read| {
        let (key, version) = find_named(call, read)?;
        Ok(Reply::ok(to_json(&key.to_shown(None))?).with_version(version))
    })
}

/// Creates a new key for an old one, which stays valid for the overlap.
pub(super) fn rotate(call: &Call<'_>) -> HandlerResult {
    let rotation: Rotation = if call.body.is_empty() { Rotation::default() } else { call.parse_body()? };
    if rotation.overlap_seconds > MAX_VALIDITY_SECONDS {
        return Err(Problem::field("overlap_seconds", format!("must be at most {MAX_VALIDITY_SECONDS}")));
    }
    call.transact(|read| {
        let (mut old, _) = find_named(call, read)?;
        if !old.is_valid_at(call.now) {
            return Err(Problem::new(409, "expired", "the key has expired"));
        }
        // The new key is valid for as long as the old one was meant to be.
        let expires_at = old.expires_at.map(|end| call.now + (end - old.made_at));
        let NewStoredKey { stored, key } = make_key(call, old.role.clone(), old.label.clone(), expires_at)?;
        let end = call.now + rotation.overlap_seconds * 1_000;
        old.expires_at = Some(old.expires_at.map_or(end, |before| before.min(end)));
        let writes = put(put(Writes::default(), &old)?, &stored)?;
        let location = format!("/v1/{}", path(&stored.role, &stored.id));
        Ok((writes, Reply::created(to_json(&stored.to_shown(Some(key)))?, location)))
    })
}

/// Withdraws a key.
pub(super) fn remove(call: &Call<'_>) -> HandlerResult {
    call.transact(|read| {
        let (key, version) = find_named(call, read)?;
        call.require_if_match(version)?;
        let writes = Writes::default().delete(path(&key.role, &key.id)).delete(index_path(&key.id));
        Ok((writes, Reply::no_content()))
    })
}
