//! What a tenant has: plans, accounts and routes, all alike but for what they need of each other.

use super::{active, checked, stored, tenant, value, Answer, Call, Outcome, Problem, Wait};
use crate::store::{Document, Read};
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde_json::{json, Value};
use violetyoke_tenants::model::{check_routes, Account, Fault, Plan, Resource, Route, StoredTenant};

/// A kind of thing that a tenant has.
pub trait Owned: Resource {
    /// What is wrong with it beside the tenant's other things. It replaces `itself`, if that is there.
    fn fits(&self, _tenant: &StoredTenant, _read: &dyn Read) -> Result<Vec<Fault>, Problem> {
        Ok(Vec::new())
    }

    /// Why it can't go.
    fn needed(_tenant: &str, _name: &str, _read: &dyn Read) -> Result<Option<String>, Problem> {
        Ok(None)
    }
}

/// All that a tenant has of a kind.
pub fn all<R: Resource>(read: &dyn Read, tenant: &str) -> Result<Vec<R>, Problem> {
    let list = read.list(&format!("tenants/{tenant}/{}/", R::COLLECTION), "", usize::MAX)?;
    list.into_iter().map(|document| stored(document.body)).collect()
}

impl Owned for Plan {
    fn needed(tenant: &str, name: &str, read: &dyn Read) -> Result<Option<String>, Problem> {
        let accounts: Vec<Account> = all(read, tenant)?;
        let user = accounts.into_iter().find(|account| account.plan == name);
        Ok(user.map(|account| format!("account {:?} has this plan", account.name)))
    }
}

impl Owned for Account {
    fn fits(&self, tenant: &StoredTenant, read: &dyn Read) -> Result<Vec<Fault>, Problem> {
        let plan = read.get(&format!("tenants/{}/plans/{}", tenant.tenant.name, self.plan))?;
        Ok(match plan {
            Some(_) => Vec::new(),
            None => vec![Fault::new("plan", format!("the tenant has no plan {:?}", self.plan))],
        })
    }
}

impl Owned for Route {
    fn fits(&self, tenant: &StoredTenant, read: &dyn Read) -> Result<Vec<Fault>, Problem> {
        let mut routes: Vec<Route> = all(read, &tenant.tenant.name)?;
        routes.retain(|route| route.name != self.name);
        routes.push(self.clone());
        Ok(check_routes(&tenant.tenant, &routes))
    }
}

fn path_of<R: Resource>(tenant: &str, name: &str) -> String {
    format!("tenants/{tenant}/{}/{name}", R::COLLECTION)
}

fn fitting<R: Owned>(resource: &R, tenant: &StoredTenant, read: &dyn Read) -> Result<(), Problem> {
    let faults = resource.fits(tenant, read)?;
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Problem::faults(faults))
    }
}

pub fn create<R: Owned>(call: &Call<'_>) -> Outcome {
    let resource: R = call.resource()?;
    let owner = call.param("tenant");
    let path = path_of::<R>(owner, resource.name());
    call.create(|read, next| {
        let tenant = active(read, owner)?;
        if let Some(there) = read.get(&path)? {
            let title = format!("there is one of the name {:?}", resource.name());
            return Err(Problem {
                current_version: Some(there.version),
                ..Problem::new(409, "exists", title)
            });
        }
        fitting(&resource, &tenant, read)?;
        let body = value(&resource)?;
        let writes = crate::store::Writes::default().put(path.clone(), body.clone());
        let name = utf8_percent_encode(resource.name(), PLAIN);
        let location = Some(format!("/v1/tenants/{owner}/{}/{name}", R::COLLECTION));
        Ok((writes, Answer { status: 201, body: Some(body), version: Some(next), location, wait: Wait::No }))
    })
}

/// What stands in a path as it is; a name's slash does not, and its collection's name has none.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// A page of documents as the API gives it.
pub fn page(list: Vec<Document>, prefix: &str, limit: usize) -> Answer {
    let next = (list.len() == limit).then(|| list.last().map(|last| last.path[prefix.len()..].to_string()));
    let item = |document: Document| {
        let mut body = document.body;
        if let Value::Object(body) = &mut body {
            body.insert("version".into(), document.version.into());
        }
        body
    };
    let items: Vec<Value> = list.into_iter().map(item).collect();
    Answer::ok(json!({ "items": items, "next": next.flatten() }))
}

pub fn list<R: Owned>(call: &Call<'_>) -> Outcome {
    let (after, limit) = call.page()?;
    let prefix = format!("tenants/{}/{}/", call.param("tenant"), R::COLLECTION);
    call.read(|read| {
        tenant(read, call.param("tenant"))?;
        Ok(page(read.list(&prefix, &format!("{prefix}{after}"), limit)?, &prefix, limit))
    })
}

fn found<R: Resource>(call: &Call<'_>, read: &dyn Read) -> Result<Document, Problem> {
    let path = path_of::<R>(call.param("tenant"), call.param("name"));
    read.get(&path)?.ok_or_else(Problem::not_found)
}

pub fn read<R: Owned>(call: &Call<'_>) -> Outcome {
    call.read(|read| {
        let document = found::<R>(call, read)?;
        Ok(Answer::ok(document.body).at(document.version))
    })
}

pub fn replace<R: Owned>(call: &Call<'_>) -> Outcome {
    let resource: R = call.resource()?;
    put(call, |_| Ok(resource.clone()))
}

/// JSON merge patch (RFC 7396).
pub fn patch<R: Owned>(call: &Call<'_>) -> Outcome {
    let change: Value = call.json()?;
    put::<R>(call, |mut body| {
        json_patch::merge(&mut body, &change);
        serde_json::from_value(body).map_err(|error| Problem::body(".", &error))
    })
}

fn put<R: Owned>(call: &Call<'_>, new: impl Fn(Value) -> Result<R, Problem>) -> Outcome {
    call.change(|read| {
        let tenant = active(read, call.param("tenant"))?;
        let document = found::<R>(call, read)?;
        call.must_match(document.version)?;
        let resource = checked(new(document.body)?)?;
        if resource.name() != call.param("name") {
            return Err(Problem::field("name", "cannot be changed"));
        }
        fitting(&resource, &tenant, read)?;
        let body = value(&resource)?;
        let writes = crate::store::Writes::default().put(document.path, body.clone());
        Ok((writes, Answer::ok(body).at(document.version)))
    })
}

pub fn remove<R: Owned>(call: &Call<'_>) -> Outcome {
    call.change(|read| {
        active(read, call.param("tenant"))?;
        let document = found::<R>(call, read)?;
        call.must_match(document.version)?;
        if let Some(reason) = R::needed(call.param("tenant"), call.param("name"), read)? {
            return Err(Problem::new(409, "in-use", reason));
        }
        Ok((crate::store::Writes::default().delete(document.path), Answer::none()))
    })
}
