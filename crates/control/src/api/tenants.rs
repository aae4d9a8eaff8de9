//! Tenants: made, read, changed, drained, restored. Only operators change one.

use super::resources::{all, page};
use super::{checked, tenant, value, Answer, Call, Outcome, Problem, Wait};
use crate::store::{Read, Writes};
use serde_json::Value;
use violetyoke_tenants::model::{check_routes, Fault, Route, State, StoredTenant, Tenant};

/// Where it stands whose a host is: no two tenants have one.
fn host_path(host: &str) -> String {
    format!("-hosts/{host}")
}

/// Where it stands when a draining tenant goes, so that they are found in that order.
pub fn draining_path(gone_at: u64, name: &str) -> String {
    format!("-draining/{gone_at:020}/{name}")
}

/// Claims the hosts of a tenant, and gives those back that it no longer has.
fn hosts(mut writes: Writes, read: &dyn Read, old: &[String], new: &Tenant) -> Result<Writes, Problem> {
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
    let gone = old.iter().filter(|host| !new.hosts.contains(host));
    Ok(gone.fold(writes, |writes, host| writes.delete(host_path(host))))
}

pub fn create(call: &Call<'_>) -> Outcome {
    let new: Tenant = call.resource()?;
    let path = format!("tenants/{}", new.name);
    call.create(|read, next| {
        if let Some(there) = read.get(&path)? {
            let title = format!("there is a tenant {:?}", new.name);
            return Err(Problem {
                current_version: Some(there.version),
                ..Problem::new(409, "exists", title)
            });
        }
        let stored = StoredTenant { tenant: new.clone(), epoch: next, state: State::Active };
        let body = value(&stored)?;
        let writes = hosts(Writes::default().put(path.clone(), body.clone()), read, &[], &new)?;
        let location = Some(format!("/v1/{path}"));
        Ok((writes, Answer { status: 201, body: Some(body), version: Some(next), location, wait: Wait::No }))
    })
}

pub fn list(call: &Call<'_>) -> Outcome {
    let (after, limit) = call.page()?;
    call.read(|read| {
        // What belongs to tenants stands between them: it is passed over.
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

/// One tenant; with `If-None-Match`, an answer once it is no longer at that version.
pub fn read(call: &Call<'_>) -> Outcome {
    call.read(|read| {
        let (tenant, version) = tenant(read, call.param("tenant"))?;
        let answer = Answer::ok(value(&tenant)?).at(version);
        if call.if_none_match == Some(version) {
            return Ok(Answer { status: 304, body: None, wait: Wait::Change, ..answer });
        }
        Ok(answer)
    })
}

pub fn replace(call: &Call<'_>) -> Outcome {
    let new: Tenant = call.resource()?;
    put(call, |_| Ok(new.clone()))
}

pub fn patch(call: &Call<'_>) -> Outcome {
    let change: Value = call.json()?;
    put(call, |old| {
        let mut body = value(old)?;
        json_patch::merge(&mut body, &change);
        serde_json::from_value(body).map_err(|error| Problem::body(".", &error))
    })
}

fn put(call: &Call<'_>, new: impl Fn(&Tenant) -> Result<Tenant, Problem>) -> Outcome {
    call.change(|read| {
        let (old, version) = tenant(read, call.param("tenant"))?;
        call.must_match(version)?;
        let new = checked(new(&old.tenant)?)?;
        if new.name != old.tenant.name {
            return Err(Problem::field("name", "cannot be changed"));
        }
        let routes: Vec<Route> = all(read, &new.name)?;
        if let Some(fault) = check_routes(&new, &routes).first() {
            // A route that is there needs what would be taken away.
            let field = if fault.field == "host" { "hosts" } else { "pools" };
            return Err(Problem::faults(vec![Fault::new(
                field,
                format!("a route needs it: {}", fault.reason),
            )]));
        }
        let stored = StoredTenant { tenant: new, ..old.clone() };
        let body = value(&stored)?;
        let writes = Writes::default().put(format!("tenants/{}", stored.tenant.name), body.clone());
        let writes = hosts(writes, read, &old.tenant.hosts, &stored.tenant)?;
        Ok((writes, Answer::ok(body).at(version)))
    })
}

/// The first step of deletion: nothing new is taken for it, and what is in flight is answered.
pub fn remove(call: &Call<'_>) -> Outcome {
    call.change(|read| {
        let (mut stored, version) = tenant(read, call.param("tenant"))?;
        call.must_match(version)?;
        if stored.state != State::Active {
            return Err(Problem::new(409, "draining", "the tenant is draining already"));
        }
        let gone_at = call.now + call.app.options.drain_ms;
        stored.state = State::Draining { gone_at };
        let (name, body) = (stored.tenant.name.clone(), value(&stored)?);
        let writes = Writes::default()
            .put(format!("tenants/{name}"), body.clone())
            .put(draining_path(gone_at, &name), Value::from(name));
        Ok((writes, Answer { status: 202, ..Answer::ok(body).at(version) }))
    })
}

/// Undoes the first step, while the second has not come.
pub fn restore(call: &Call<'_>) -> Outcome {
    call.change(|read| {
        let (mut stored, version) = tenant(read, call.param("tenant"))?;
        call.must_match(version)?;
        let State::Draining { gone_at } = stored.state else {
            return Err(Problem::new(409, "not-draining", "the tenant is not draining"));
        };
        stored.state = State::Active;
        let (name, body) = (stored.tenant.name.clone(), value(&stored)?);
        let writes = Writes::default()
            .put(format!("tenants/{name}"), body.clone())
            .delete(draining_path(gone_at, &name));
        Ok((writes, Answer::ok(body).at(version)))
    })
}

/// The second step: the tenant and all that is its own.
pub fn purge(read: &dyn Read, mark: &str, now: u64) -> Result<Option<Writes>, Problem> {
    let Some(document) = read.get(mark)? else { return Ok(None) };
    let name = document.body.as_str().unwrap_or_default().to_string();
    let writes = Writes::default().delete(mark);
    let stored = match tenant(read, &name) {
        Ok((stored, _)) => stored,
        Err(problem) if problem.status == 404 => return Ok(Some(writes)),
        Err(problem) => return Err(problem),
    };
    match stored.state {
        State::Draining { gone_at } if gone_at <= now => {}
        _ => return Ok(Some(writes)),
    }
    let mut writes = writes.clear(format!("tenants/{name}/")).delete(format!("tenants/{name}"));
    for host in &stored.tenant.hosts {
        writes = writes.delete(host_path(host));
    }
    for key in read.list(&format!("tenants/{name}/keys/"), "", usize::MAX)? {
        if let Some(id) = key.body["id"].as_str() {
            writes = writes.delete(crate::keys::index(id));
        }
    }
    Ok(Some(writes))
}
