//! What ingresses get, what each of them holds, and the audit log.

use super::resources::all;
use super::{stored, tenant, value, Answer, Call, Outcome, Problem, Wait};
use crate::store::{AuditEntry, Read};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use utoipa::ToSchema;
use violetyoke_tenants::model::{Account, Plan, Route, StoredTenant};
use violetyoke_tenants::snapshot::{Snapshot, TenantView};

/// Audit entries that are looked through for a part; with more, the whole is shorter.
const MOST_CHANGES: usize = 2_000;

/// What an ingress has told of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
pub struct IngressState {
    /// The revision that it runs.
    pub held: u64,
    /// Unix time in milliseconds.
    pub seen_at: u64,
    /// A revision that it did not take, and why.
    pub rejected: Option<u64>,
    pub reason: Option<String>,
}

fn view(read: &dyn Read, stored: StoredTenant) -> Result<TenantView, Problem> {
    let name = stored.tenant.name.clone();
    let plans: Vec<Plan> = all(read, &name)?;
    let accounts: Vec<Account> = all(read, &name)?;
    let routes: Vec<Route> = all(read, &name)?;
    Ok(TenantView::new(stored, plans, accounts, routes))
}

/// What is found of one tenant.
type Parts = (Option<StoredTenant>, Vec<Plan>, Vec<Account>, Vec<Route>);

/// All tenants, in one pass over what is below `tenants/`.
fn whole(read: &dyn Read) -> Result<Snapshot, Problem> {
    let mut parts: BTreeMap<String, Parts> = BTreeMap::new();
    for document in read.list("tenants/", "", usize::MAX)? {
        let mut segments = document.path.splitn(4, '/').skip(1);
        let (Some(name), kind) = (segments.next(), segments.next()) else { continue };
        let part = parts.entry(name.to_string()).or_default();
        match kind {
            None => part.0 = Some(stored(document.body)?),
            Some("plans") => part.1.push(stored(document.body)?),
            Some("accounts") => part.2.push(stored(document.body)?),
            Some("routes") => part.3.push(stored(document.body)?),
            Some(_) => {}
        }
    }
    let view = |(tenant, plans, accounts, routes): Parts| {
        tenant.map(|tenant| TenantView::new(tenant, plans, accounts, routes))
    };
    let tenants = parts.into_values().filter_map(view).collect();
    Ok(Snapshot::new(None, read.revision()?, tenants, vec![]))
}

/// The tenants that those changes are about.
fn touched(changes: &[AuditEntry]) -> BTreeSet<String> {
    let name = |entry: &AuditEntry| {
        let mut segments = entry.path.strip_prefix("tenants/")?.split('/');
        let (name, kind) = (segments.next()?, segments.next());
        // Keys are no ingress's concern.
        (kind != Some("keys")).then(|| name.to_string())
    };
    changes.iter().filter_map(name).collect()
}

/// `held`: the revision that the ingress runs, 0 for none. It is answered when there is something newer.
pub fn snapshot(call: &Call<'_>) -> Outcome {
    let held = call.number_in_query("held")?.unwrap_or(0);
    let rejected = call.number_in_query("rejected")?;
    if let Some(name) = call.query.get("ingress") {
        let reason = call.query.get("reason").map(|reason| reason.chars().take(500).collect());
        call.app.seen(name, IngressState { held, seen_at: call.now, rejected, reason });
    }
    let changes = if held == 0 { None } else { Some(call.store().changes(held, MOST_CHANGES)?) };
    call.read(|read| {
        let revision = read.revision()?;
        let nothing = Answer { status: 304, wait: Wait::Change, ..Answer::none() };
        // One that could not take the newest waits for the next.
        if held == revision || rejected == Some(revision) {
            return Ok(nothing);
        }
        // Entries committed after the list was read are missing there, but not their revision: then the whole.
        let known = changes.as_ref().filter(|changes| {
            changes.len() < MOST_CHANGES && changes.last().is_none_or(|last| last.revision <= revision)
        });
        let complete = known.filter(|changes| held < revision && rejected.is_none() && !changes.is_empty());
        let Some(changes) = complete else {
            if held > 0 && held < revision && known.is_some_and(Vec::is_empty) && rejected.is_none() {
                return Ok(nothing);
            }
            return Ok(Answer::ok(value(&whole(read)?)?).at(revision));
        };
        let names = touched(changes);
        if names.is_empty() {
            return Ok(nothing);
        }
        let (mut tenants, mut gone) = (Vec::new(), Vec::new());
        for name in names {
            match tenant(read, &name) {
                Ok((stored, _)) => tenants.push(view(read, stored)?),
                Err(problem) if problem.status == 404 => gone.push(name),
                Err(problem) => return Err(problem),
            }
        }
        Ok(Answer::ok(value(&Snapshot::new(Some(held), revision, tenants, gone))?).at(revision))
    })
}

/// `revision` is the newest that was told: what is written without an audit entry (leases, marks of duties) raises the
/// store's own, and no ingress ever hears of it.
pub fn ingresses(call: &Call<'_>) -> Outcome {
    let revision = call.read(|read| Ok(read.audited()?))?;
    Ok(Answer::ok(json!({ "revision": revision, "items": call.app.ingresses() })))
}

pub fn audit(call: &Call<'_>) -> Outcome {
    let (after, limit) = call.page()?;
    let after = match after.as_str() {
        "" => 0,
        text => text.parse().map_err(|_| Problem::field("after", "must be the number of an entry"))?,
    };
    let prefix = match (call.params.get("tenant"), call.query.get("tenant")) {
        (Some(tenant), _) | (None, Some(tenant)) => format!("tenants/{tenant}"),
        (None, None) => String::new(),
    };
    let mut entries = call.store().audit(&prefix, after, limit)?;
    // A tenant's name may be the beginning of another's.
    entries.retain(|entry| {
        prefix.is_empty() || entry.path == prefix || entry.path[prefix.len()..].starts_with('/')
    });
    for entry in &mut entries {
        for body in [&mut entry.before, &mut entry.after].into_iter().flatten() {
            if let Some(body) = body.as_object_mut() {
                // Of no use to readers, and the less it is seen the better.
                body.remove("hash");
            }
        }
    }
    let next = entries.last().map(|entry| entry.number);
    Ok(Answer::ok(json!({ "items": entries, "next": next.filter(|_| entries.len() == limit) })))
}
