//! Keys: made, listed, rotated, withdrawn. A secret is shown in the answer that makes it, and never again.

use super::resources::page;
use super::{active, stored, tenant, value, Answer, Call, Outcome, Problem, Wait};
use crate::keys::{index, path, split, Role, ShownKey, StoredKey};
use crate::store::{Read, Revision, Writes};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use utoipa::ToSchema;
use violetyoke_tenants::model::Fault;

/// A key to be made.
#[derive(Clone, Debug, Serialize, Deserialize, ToSchema)]
pub struct NewKey {
    #[serde(flatten)]
    pub role: Role,
    #[serde(default)]
    pub label: String,
    /// For how long it is good; none: until it is withdrawn.
    #[serde(default)]
    pub expires_in_seconds: Option<u64>,
}

/// How a key is exchanged for a new one.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Rotation {
    /// For how long the old one is good beside the new one, in seconds.
    #[serde(default)]
    pub overlap_seconds: u64,
}

/// The longest time that a key or an overlap may be given: ten years.
const LONGEST: u64 = 315_360_000;

/// Who a key is; none: nobody.
pub fn caller(call: &super::App, key: &str, now: u64) -> Result<Option<super::Caller>, Problem> {
    let Some((id, secret)) = split(key) else { return Ok(None) };
    let mut found: Option<StoredKey> = None;
    let mut problem = None;
    call.store.view(&mut |read| {
        match find(read, id) {
            Ok((key, _)) => found = Some(key),
            Err(error) if error.status == 404 => {}
            Err(error) => problem = Some(error),
        }
        Ok(())
    })?;
    if let Some(problem) = problem {
        return Err(problem);
    }
    let good = found.filter(|key| key.is_good(now) && call.options.pepper.fits(key, secret));
    Ok(good.map(|key| super::Caller { id: key.id, role: key.role }))
}

fn find(read: &dyn Read, id: &str) -> Result<(StoredKey, Revision), Problem> {
    let place = read.get(&index(id))?.ok_or_else(Problem::not_found)?;
    let place = place.body.as_str().unwrap_or_default().to_string();
    let document = read.get(&place)?.ok_or_else(Problem::not_found)?;
    Ok((stored(document.body)?, document.version))
}

/// A key that the caller's path names: one of the tenant's, or one that is no tenant's.
fn named(call: &Call<'_>, read: &dyn Read) -> Result<(StoredKey, Revision), Problem> {
    let (key, version) = find(read, call.param("key"))?;
    let owner = call.params.get("tenant").map(String::as_str);
    if key.role.tenant() == owner {
        Ok((key, version))
    } else {
        Err(Problem::not_found())
    }
}

fn make(
    call: &Call<'_>,
    role: Role,
    label: String,
    expires_at: Option<u64>,
) -> Result<(StoredKey, String), Problem> {
    call.app.options.pepper.make(role, label, call.now, expires_at).map_err(Problem::failed)
}

fn put(writes: Writes, key: &StoredKey) -> Result<Writes, Problem> {
    let path = path(&key.role, &key.id);
    Ok(writes.put(path.clone(), value(key)?).put(index(&key.id), Value::from(path)))
}

pub fn create(call: &Call<'_>) -> Outcome {
    let new: NewKey = call.json()?;
    let owner = call.params.get("tenant").map(String::as_str);
    let mut faults = Vec::new();
    match (owner, new.role.tenant()) {
        (Some(owner), Some(tenant)) if owner != tenant => {
            faults.push(Fault::new("tenant", "is not the tenant of the path"));
        }
        (Some(_), None) => faults.push(Fault::new("role", "must be tenant_admin or tenant_reader here")),
        (None, Some(_)) => faults.push(Fault::new("role", "must be operator or ingress here")),
        _ => {}
    }
    if new.label.chars().count() > 128 {
        faults.push(Fault::new("label", "must be 128 characters at most"));
    }
    if new.expires_in_seconds.is_some_and(|time| time == 0 || time > LONGEST) {
        faults.push(Fault::new("expires_in_seconds", format!("must be 1 to {LONGEST}")));
    }
    if !faults.is_empty() {
        return Err(Problem::faults(faults));
    }
    let expires_at = new.expires_in_seconds.map(|time| call.now + time * 1_000);
    let (key, secret) = make(call, new.role, new.label, expires_at)?;
    call.create(|read, next| {
        if let Some(owner) = owner {
            active(read, owner)?;
        }
        let body = value(&key.shown(Some(secret.clone())))?;
        let location = Some(format!("/v1/{}", path(&key.role, &key.id)));
        let answer = Answer { status: 201, body: Some(body), version: Some(next), location, wait: Wait::No };
        Ok((put(Writes::default(), &key)?, answer))
    })
}

pub fn list(call: &Call<'_>) -> Outcome {
    let (after, limit) = call.page()?;
    let prefix = match call.params.get("tenant") {
        Some(tenant) => format!("tenants/{tenant}/keys/"),
        None => "keys/".to_string(),
    };
    call.read(|read| {
        if let Some(owner) = call.params.get("tenant") {
            tenant(read, owner)?;
        }
        let mut list = read.list(&prefix, &format!("{prefix}{after}"), limit)?;
        for document in &mut list {
            let key: StoredKey = stored(document.body.take())?;
            document.body = value(&key.shown(None))?;
        }
        Ok(page(list, &prefix, limit))
    })
}

pub fn read(call: &Call<'_>) -> Outcome {
    call.read(|read| {
        let (key, version) = named(call, read)?;
        Ok(Answer::ok(value(&key.shown(None))?).at(version))
    })
}

/// A new key for an old one, which is good for a while beside it.
pub fn rotate(call: &Call<'_>) -> Outcome {
    let rotation: Rotation = if call.body.is_empty() { Rotation::default() } else { call.json()? };
    if rotation.overlap_seconds > LONGEST {
        return Err(Problem::field("overlap_seconds", format!("must be at most {LONGEST}")));
    }
    call.change(|read| {
        let (mut old, _) = named(call, read)?;
        if !old.is_good(call.now) {
            return Err(Problem::new(409, "expired", "the key has expired"));
        }
        // The new one is good for as long as the old one was to be.
        let lasting = old.expires_at.map(|end| call.now + (end - old.made_at));
        let (new, secret) = make(call, old.role.clone(), old.label.clone(), lasting)?;
        let end = call.now + rotation.overlap_seconds * 1_000;
        old.expires_at = Some(old.expires_at.map_or(end, |before| before.min(end)));
        let writes = put(put(Writes::default(), &old)?, &new)?;
        let body: ShownKey = new.shown(Some(secret));
        let location = Some(format!("/v1/{}", path(&new.role, &new.id)));
        Ok((
            writes,
            Answer { status: 201, body: Some(value(&body)?), version: None, location, wait: Wait::No },
        ))
    })
}

pub fn remove(call: &Call<'_>) -> Outcome {
    call.change(|read| {
        let (key, version) = named(call, read)?;
        call.must_match(version)?;
        let writes = Writes::default().delete(path(&key.role, &key.id)).delete(index(&key.id));
        Ok((writes, Answer::none()))
    })
}
