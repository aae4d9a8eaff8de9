//! Endpoints of the tenants' configuration for ingresses, of what each ingress runs, and of the audit log.

use super::call::{Call, PageQuery};
use super::documents::{find_tenant, from_stored, to_json};
use super::ingress_state::IngressState;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply, WaitFor};
use super::resources::resources_of;
use crate::store::{AuditEntry, ReadView};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_tenants::model::{Account, Plan, Route, StoredTenant};
use violetyoke_tenants::snapshot::{Snapshot, TenantView};

/// Audit entries that are read for an incremental snapshot; with more, a full one is shorter.
const MAX_CHANGES: usize = 2_000;
/// Longest reason for a rejected revision that is kept, in characters.
const MAX_REASON_LENGTH: usize = 500;

/// One tenant and its resources.
#[derive(Default)]
struct TenantParts {
    tenant: Option<StoredTenant>,
    plans: Vec<Plan>,
    accounts: Vec<Account>,
    routes: Vec<Route>,
}

impl TenantParts {
    fn into_view(self) -> Option<TenantView> {
        Some(TenantView::new(self.tenant?, self.plans, self.accounts, self.routes))
    }
}

fn tenant_view(read: &dyn ReadView, stored: StoredTenant) -> Result<TenantView, Problem> {
    let name = stored.tenant.name.clone();
    let (plans, accounts) = (resources_of(read, &name)?, resources_of(read, &name)?);
    Ok(TenantView::new(stored, plans, accounts, resources_of(read, &name)?))
}

/// All tenants, in one pass over the documents below `tenants/`.
fn full_snapshot(read: &dyn ReadView) -> Result<Snapshot, Problem> {
    let mut tenants: BTreeMap<String, TenantParts> = BTreeMap::new();
    for document in read.list("tenants/", "", usize::MAX)? {
        let mut segments = document.path.splitn(4, '/').skip(1);
        let (Some(name), kind) = (segments.next(), segments.next()) else { continue };
        let parts = tenants.entry(name.to_string()).or_default();
        match kind {
            None => parts.tenant = Some(from_stored(document.body)?),
            Some("plans") => parts.plans.push(from_stored(document.body)?),
            Some("accounts") => parts.accounts.push(from_stored(document.body)?),
            Some("routes") => parts.routes.push(from_stored(document.body)?),
            Some(_) => {}
        }
    }
    let views = tenants.into_values().filter_map(TenantParts::into_view).collect();
    Ok(Snapshot::new(None, read.revision()?, views, vec![]))
}

/// The tenants that these changes are about. Keys are no concern of ingresses.
fn changed_tenants(changes: &[AuditEntry]) -> BTreeSet<String> {
    let tenant = |entry: &AuditEntry| {
        let mut segments = entry.path.strip_prefix("tenants/")?.split('/');
        let (name, kind) = (segments.next()?, segments.next());
        (kind != Some("keys")).then(|| name.to_string())
    };
    changes.iter().filter_map(tenant).collect()
}

/// Returns all tenants, or those that have changed since revision `held` (0: none), which the ingress runs. It replies
/// once there is something newer.
pub(super) fn snapshot(call: &Call<'_>) -> HandlerResult {
    let held = call.number_in_query("held")?.unwrap_or(0);
    let rejected = call.number_in_query("rejected")?;
    record_ingress(call, held, rejected);
    let changes = if held == 0 { None } else { Some(call.store().changes(held, MAX_CHANGES)?) };
    call.read(|read| {
        let revision = read.revision()?;
        // An ingress that could not apply the newest revision waits for the next one.
        if held == revision || rejected == Some(revision) {
            return Ok(Reply::not_modified(WaitFor::StoreChange));
        }
        // Changes that were committed after they were listed are missing, which their revision tells.
        let complete = changes.as_ref().filter(|changes| {
            let is_older = |last: &AuditEntry| last.revision <= revision;
            changes.len() < MAX_CHANGES && changes.last().is_none_or(is_older)
        });
        let is_behind = held > 0 && held < revision && rejected.is_none();
        let Some(changes) = complete.filter(|_| is_behind) else {
            return Ok(Reply::ok(to_json(&full_snapshot(read)?)?).with_version(revision));
        };
        let tenants = changed_tenants(changes);
        if tenants.is_empty() {
            return Ok(Reply::not_modified(WaitFor::StoreChange));
        }
        let snapshot = incremental_snapshot(read, held, tenants)?;
        Ok(Reply::ok(to_json(&snapshot)?).with_version(revision))
    })
}

fn record_ingress(call: &Call<'_>, held: u64, rejected: Option<u64>) {
    let Some(name) = call.query.get("ingress") else { return };
    let reason = call.query.get("reason").map(|reason| reason.chars().take(MAX_REASON_LENGTH).collect());
    call.app.record_ingress(name, IngressState { held, seen_at: call.now, rejected, reason });
}

/// These tenants, as changes since revision `held`.
fn incremental_snapshot(
    read: &dyn ReadView,
    held: u64,
    names: BTreeSet<String>,
) -> Result<Snapshot, Problem> {
    let (mut tenants, mut deleted) = (Vec::new(), Vec::new());
    for name in names {
        match find_tenant(read, &name) {
            Ok((stored, _)) => tenants.push(tenant_view(read, stored)?),
            Err(problem) if problem.status == 404 => deleted.push(name),
            Err(problem) => return Err(problem),
        }
    }
    Ok(Snapshot::new(Some(held), read.revision()?, tenants, deleted))
}

/// Lists what each ingress runs. `revision` is the newest that ingresses are told of: documents without audit entries
/// (leases, watermarks) raise the store's own revision, of which no ingress ever hears.
pub(super) fn ingresses(call: &Call<'_>) -> HandlerResult {
    let revision = call.read(|read| Ok(read.audited_revision()?))?;
    Ok(Reply::ok(json!({ "revision": revision, "items": call.app.ingresses() })))
}

/// Lists audit entries, of the path's or the query's tenant if one is named.
pub(super) fn audit(call: &Call<'_>) -> HandlerResult {
    let PageQuery { after, limit } = call.page()?;
    let after = match after.as_str() {
        "" => 0,
        text => text.parse().map_err(|_| Problem::field("after", "must be the number of an entry"))?,
    };
    let tenant = call.tenant_param().or(call.query.get("tenant").map(String::as_str));
    let prefix = tenant.map_or_else(String::new, |tenant| format!("tenants/{tenant}"));
    let mut entries = call.store().audit(&prefix, after, limit)?;
    // A tenant's name may be the beginning of another's.
    entries.retain(|entry| {
        prefix.is_empty() || entry.path == prefix || entry.path[prefix.len()..].starts_with('/')
    });
    for entry in &mut entries {
        for body in [&mut entry.before, &mut entry.after].into_iter().flatten() {
            if let Some(body) = body.as_object_mut() {
                // Of no use to readers, and the fewer see it the better.
                body.remove("hash");
            }
        }
    }
    let next = entries.last().map(|entry| entry.number);
    Ok(Reply::ok(json!({ "items": entries, "next": next.filter(|_| entries.len() == limit) })))
}
