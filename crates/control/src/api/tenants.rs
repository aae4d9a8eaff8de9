//! Endpoints of tenants, which only operators change. A tenant is deleted in two steps: it drains, and then its data is
//! deleted.

use super::call::{Call, PageQuery};
use super::documents::{find_tenant, to_json, validated};
use super::problem::Problem;
use super::reply::{HandlerResult, Reply, WaitFor};
use super::resources::{page, resources_of};
use crate::store::{ReadView, Writes};
use serde_json::Value;
use violetyoke_tenants::model::{validate_routes, FieldError, Route, StoredTenant, Tenant, TenantState};

/// The path of the tenant that has a host: no two tenants have the same.
fn host_path(host: &str) -> String {
    format!("-hosts/{host}")
}

/// The path of a draining tenant's marker. Markers are in the order in which their draining ends.
fn draining_path(removed_at: u64, name: &str) -> String {
    format!("-draining/{removed_at:020}/{name}")
}

/// Claims the hosts of a tenant, and releases those that it no longer has.
fn update_hosts(
    mut writes: Writes,
    read: &dyn ReadView,
    old: &[String],
    new: &Tenant,
) -> Result<Writes, Problem> {
    for (number, host) in new.hosts.iter().enumerate() {
        let path = host_path(host);
        match read.get(&path)? {
            Some(claim) if claim.body != new.name.as_str() => {
                return Err(Problem::field(&format!("hosts[{number}]"), "is another tenant's"));
            }
            Some(_) => {}
            None => writes = writes.put(path, Value::from(new.name.as_str())),
        }
    }
    let released = old.iter().filter(|host| !new.hosts.contains(host));
    Ok(released.fold(writes, |writes, host| writes.delete(host_path(host))))
}

/// Creates a tenant.
pub(super) fn create(call: &Call<'_>) -> HandlerResult {
    let new: Tenant = call.parse_resource()?;
    let path = format!("tenants/{}", new.name);
    call.create(|read, next| {
        if let Some(existing) = read.get(&path)? {
            let title = format!("there is a tenant {:?}", new.name);
            return Err(Problem::exists(title, existing.version));
        }
        let stored = StoredTenant { tenant: new.clone(), epoch: next, state: TenantState::Active };
        let body = to_json(&stored)?;
        let writes = update_hosts(Writes::default().put(path.clone(), body.clone()), read, &[], &new)?;
        Ok((writes, Reply::created(body, format!("/v1/{path}")).with_version(next)))
    })
}

/// Lists tenants.
pub(super) fn list(call: &Call<'_>) -> HandlerResult {
    let PageQuery { after, limit } = call.page()?;
    call.read(|read| {
        // Resources of tenants are between them in the order of paths, and are skipped.
        let (mut from, mut list) = (format!("tenants/{after}"), Vec::new());
        while list.len() < limit {
            let Some(document) = read.list("tenants/", &from, 1)?.pop() else { break };
            let name = &document.path["tenants/".len()..];
            if let Some((owner, _)) = name.split_once('/') {
                from = format!("tenants/{owner}/\u{10ffff}");
            } else {
                from = document.path.clone();
                list.push(document);
            }
        }
        Ok(page(list, "tenants/", limit))
    })
}

/// Reads a tenant; with `If-None-Match`, waits until it is no longer at that version.
pub(super) fn read(call: &Call<'_>) -> HandlerResult {
    call.read(|read| {
        let (tenant, version) = find_tenant(read, call.param("tenant"))?;
        if call.if_none_match == Some(version) {
            return Ok(Reply::not_modified(WaitFor::StoreChange).with_version(version));
        }
        Ok(Reply::ok(to_json(&tenant)?).with_version(version))
    })
}

/// Replaces a tenant.
pub(super) fn replace(call: &Call<'_>) -> HandlerResult {
    let new: Tenant = call.parse_resource()?;
    put(call, |_| Ok(new.clone()))
}

/// Changes a tenant by a JSON merge patch (RFC 7396).
pub(super) fn patch(call: &Call<'_>) -> HandlerResult {
    let change: Value = call.parse_body()?;
    put(call, |old| {
        let mut body = to_json(old)?;
        json_patch::merge(&mut body, &change);
        serde_json::from_value(body).map_err(|error| Problem::unreadable_body(".", &error))
    })
}

fn put(call: &Call<'_>, new: impl Fn(&Tenant) -> Result<Tenant, Problem>) -> HandlerResult {
    call.transact(|read| {
        let (old, version) = find_tenant(read, call.param("tenant"))?;
        call.require_if_match(version)?;
        let new = validated(new(&old.tenant)?)?;
        if new.name != old.tenant.name {
            return Err(Problem::field("name", "cannot be changed"));
        }
        let routes: Vec<Route> = resources_of(read, &new.name)?;
        if let Some(fault) = validate_routes(&new, &routes).first() {
            // An existing route needs what would be removed.
            let field = if fault.field == "host" { "hosts" } else { "pools" };
            return Err(Problem::invalid(vec![FieldError::new(
                field,
                format!("a route needs it: {}", fault.reason),
            )]));
        }
        let stored = StoredTenant { tenant: new, ..old.clone() };
        let body = to_json(&stored)?;
        let writes = Writes::default().put(format!("tenants/{}", stored.tenant.name), body.clone());
        let writes = update_hosts(writes, read, &old.tenant.hosts, &stored.tenant)?;
        Ok((writes, Reply::ok(body).with_version(version)))
    })
}

/// Starts to drain a tenant: new requests are rejected, and those in flight are completed.
pub(super) fn remove(call: &Call<'_>) -> HandlerResult {
    call.transact(|read| {
        let (mut stored, version) = find_tenant(read, call.param("tenant"))?;
        call.require_if_match(version)?;
        if stored.state != TenantState::Active {
            return Err(Problem::new(409, "draining", "the tenant is draining already"));
        }
        let removed_at = call.now + call.app.options.drain_ms;
        stored.state = TenantState::Draining { removed_at };
        let (name, body) = (stored.tenant.name.clone(), to_json(&stored)?);
        let writes = Writes::default()
            .put(format!("tenants/{name}"), body.clone())
            .put(draining_path(removed_at, &name), Value::from(name));
        Ok((writes, Reply { status: 202, ..Reply::ok(body).with_version(version) }))
    })
}

/// Ends a tenant's draining.
pub(super) fn restore(call: &Call<'_>) -> HandlerResult {
    call.transact(|read| {
        let (mut stored, version) = find_tenant(read, call.param("tenant"))?;
        call.require_if_match(version)?;
        let TenantState::Draining { removed_at } = stored.state else {
            return Err(Problem::new(409, "not-draining", "the tenant is not draining"));
        };
        stored.state = TenantState::Active;
        let (name, body) = (stored.tenant.name.clone(), to_json(&stored)?);
        let writes = Writes::default()
            .put(format!("tenants/{name}"), body.clone())
            .delete(draining_path(removed_at, &name));
        Ok((writes, Reply::ok(body).with_version(version)))
    })
}

/// Deletes a drained tenant and all that belongs to it, given the path of its marker; none if the marker is gone.
pub(crate) fn purge(read: &dyn ReadView, marker: &str, now: u64) -> Result<Option<Writes>, Problem> {
    let Some(document) = read.get(marker)? else { return Ok(None) };
    let name = document.body.as_str().unwrap_or_default().to_string();
    let writes = Writes::default().delete(marker);
    let stored = match find_tenant(read, &name) {
        Ok((stored, _)) => stored,
        Err(problem) if problem.status == 404 => return Ok(Some(writes)),
        Err(problem) => return Err(problem),
    };
    match stored.state {
        TenantState::Draining { removed_at } if removed_at <= now => {}
        _ => return Ok(Some(writes)),
    }
    let mut writes = writes.clear(format!("tenants/{name}/")).delete(format!("tenants/{name}"));
    for host in &stored.tenant.hosts {
        writes = writes.delete(host_path(host));
    }
    for key in read.list(&format!("tenants/{name}/keys/"), "", usize::MAX)? {
        if let Some(id) = key.body["id"].as_str() {
            writes = writes.delete(crate::keys::index_path(id));
        }
    }
    Ok(Some(writes))
}
