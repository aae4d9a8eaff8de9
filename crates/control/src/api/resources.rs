//! Endpoints of a tenant's resources: plans, accounts and routes, which differ only in how they refer to each other.

use super::call::{Call, PageQuery};
use super::documents::{find_active_tenant, find_tenant, from_stored, to_json, validated};
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use crate::store::{Document, ReadView, Writes};
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde_json::{json, Value};
use violetyoke_tenants::model::{validate_routes, Account, FieldError, Plan, Resource, Route, StoredTenant};

/// A kind of resource that belongs to a tenant.
pub(super) trait TenantResource: Resource {
    /// What is wrong with it together with the tenant's other resources. It replaces that of its name, if there is one.
    fn conflicts(&self, _tenant: &StoredTenant, _read: &dyn ReadView) -> Result<Vec<FieldError>, Problem> {
        Ok(Vec::new())
    }

    /// Why it cannot be deleted.
    fn in_use(_tenant: &str, _name: &str, _read: &dyn ReadView) -> Result<Option<String>, Problem> {
        Ok(None)
    }
}

/// All resources of a kind that a tenant has.
pub(super) fn resources_of<R: Resource>(read: &dyn ReadView, tenant: &str) -> Result<Vec<R>, Problem> {
    let list = read.list(&format!("tenants/{tenant}/{}/", R::COLLECTION), "", usize::MAX)?;
    list.into_iter().map(|document| from_stored(document.body)).collect()
}

impl TenantResource for Plan {
    fn in_use(tenant: &str, name: &str, read: &dyn ReadView) -> Result<Option<String>, Problem> {
        let accounts: Vec<Account> = resources_of(read, tenant)?;
        let user = accounts.into_iter().find(|account| account.plan == name);
        Ok(user.map(|account| format!("account {:?} has this plan", account.name)))
    }
}

impl TenantResource for Account {
    fn conflicts(&self, tenant: &StoredTenant, read: &dyn ReadView) -> Result<Vec<FieldError>, Problem> {
        let plan = read.get(&format!("tenants/{}/plans/{}", tenant.tenant.name, self.plan))?;
        Ok(match plan {
            Some(_) => Vec::new(),
            None => vec![FieldError::new("plan", format!("the tenant has no plan {:?}", self.plan))],
        })
    }
}

impl TenantResource for Route {
    fn conflicts(&self, tenant: &StoredTenant, read: &dyn ReadView) -> Result<Vec<FieldError>, Problem> {
        let mut routes: Vec<Route> = resources_of(read, &tenant.tenant.name)?;
        routes.retain(|route| route.name != self.name);
        routes.push(self.clone());
        Ok(validate_routes(&tenant.tenant, &routes))
    }
}

fn path_of<R: Resource>(tenant: &str, name: &str) -> String {
    format!("tenants/{tenant}/{}/{name}", R::COLLECTION)
}

fn require_no_conflicts<R: TenantResource>(
    resource: &R,
    tenant: &StoredTenant,
    read: &dyn ReadView,
) -> Result<(), Problem> {
    let faults = resource.conflicts(tenant, read)?;
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Problem::invalid(faults))
    }
}

/// Creates a resource.
pub(super) fn create<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    let resource: R = call.parse_resource()?;
    let owner = call.param("tenant");
    let path = path_of::<R>(owner, resource.name());
    call.create(|read, next| {
        let tenant = find_active_tenant(read, owner)?;
        if let Some(existing) = read.get(&path)? {
            let title = format!("there is one of the name {:?}", resource.name());
            return Err(Problem::exists(title, existing.version));
        }
        require_no_conflicts(&resource, &tenant, read)?;
        let body = to_json(&resource)?;
        let writes = Writes::default().put(path.clone(), body.clone());
        let name = utf8_percent_encode(resource.name(), UNRESERVED);
        let location = format!("/v1/tenants/{owner}/{}/{name}", R::COLLECTION);
        Ok((writes, Reply::created(body, location).with_version(next)))
    })
}

/// What needs no escape in a segment of a path (RFC 3986).
const UNRESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// The reply with one page of documents below a prefix.
pub(super) fn page(list: Vec<Document>, prefix: &str, limit: usize) -> Reply {
    let next = (list.len() == limit).then(|| list.last().map(|last| last.path[prefix.len()..].to_string()));
    let item = |document: Document| {
        let mut body = document.body;
        if let Value::Object(body) = &mut body {
            body.insert("version".into(), document.version.into());
        }
        body
    };
    let items: Vec<Value> = list.into_iter().map(item).collect();
    Reply::ok(json!({ "items": items, "next": next.flatten() }))
}

/// Lists resources of a kind.
pub(super) fn list<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    let PageQuery { after, limit } = call.page()?;
    let prefix = format!("tenants/{}/{}/", call.param("tenant"), R::COLLECTION);
    call.read(|read| {
        find_tenant(read, call.param("tenant"))?;
        Ok(page(read.list(&prefix, &format!("{prefix}{after}"), limit)?, &prefix, limit))
    })
}

fn find<R: Resource>(call: &Call<'_>, read: &dyn ReadView) -> Result<Document, Problem> {
    let path = path_of::<R>(call.param("tenant"), call.param("name"));
    read.get(&path)?.ok_or_else(Problem::not_found)
}

/// Reads a resource.
pub(super) fn read<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    call.read(|read| {
        let document = find::<R>(call, read)?;
        Ok(Reply::ok(document.body).with_version(document.version))
    })
}

/// Replaces a resource.
pub(super) fn replace<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    let resource: R = call.parse_resource()?;
    put(call, |_| Ok(resource.clone()))
}

/// Changes a resource by a JSON merge patch (RFC 7396).
pub(super) fn patch<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    let change: Value = call.parse_body()?;
    put::<R>(call, |mut body| {
        json_patch::merge(&mut body, &change);
        serde_json::from_value(body).map_err(|error| Problem::unreadable_body(".", &error))
    })
}

fn put<R: TenantResource>(call: &Call<'_>, new: impl Fn(Value) -> Result<R, Problem>) -> HandlerResult {
    call.transact(|read| {
        let tenant = find_active_tenant(read, call.param("tenant"))?;
        let document = find::<R>(call, read)?;
        call.require_if_match(document.version)?;
        let resource = validated(new(document.body)?)?;
        if resource.name() != call.param("name") {
            return Err(Problem::field("name", "cannot be changed"));
        }
        require_no_conflicts(&resource, &tenant, read)?;
        let body = to_json(&resource)?;
        let writes = Writes::default().put(document.path, body.clone());
        Ok((writes, Reply::ok(body).with_version(document.version)))
    })
}

/// Deletes a resource that nothing refers to.
pub(super) fn remove<R: TenantResource>(call: &Call<'_>) -> HandlerResult {
    call.transact(|read| {
        find_active_tenant(read, call.param("tenant"))?;
        let document = find::<R>(call, read)?;
        call.require_if_match(document.version)?;
        if let Some(reason) = R::in_use(call.param("tenant"), call.param("name"), read)? {
            return Err(Problem::new(409, "in-use", reason));
        }
        Ok((Writes::default().delete(document.path), Reply::no_content()))
    })
}
