//! What a snapshot becomes before it is put in force: checked with the file, and with all that takes long done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use violetyoke_config as file;
use violetyoke_decision::interface::Plan;
use violetyoke_routes::{Route, RouteTable};
use violetyoke_tenants::model;
use violetyoke_tenants::snapshot::{TenantDirectory, TenantView};

/// Plans that a pool's module can have; it knows them by 16 bits.
const MOST_PLANS: usize = 60_000;

/// A file and what is held, checked together and with all that takes long done: putting it in force is quick. It is
/// made on another thread.
pub struct Prepared {
    /// The file that it was checked with.
    pub file: Arc<file::Service>,
    pub held: Arc<TenantDirectory>,
    /// Of the file's routes, and behind them the tenants'.
    pub table: Arc<RouteTable>,
    pub routes: Vec<HostedRoute>,
    /// Each pool's plans that are tenants', by names that no file has.
    pub plans: BTreeMap<String, Vec<(String, Plan)>>,
}

pub struct HostedRoute {
    pub tenant: String,
    /// Number of the pool in the file.
    pub pool: usize,
    pub class: Option<String>,
}

/// The name of a tenant's plan among a pool's. One of a tenant made anew is another.
pub fn slot(tenant: &TenantView, plan: &str) -> String {
    format!("{}\u{1f}{}\u{1f}{plan}", tenant.name, tenant.epoch)
}

fn figures(plan: &model::Plan) -> Plan {
    Plan {
        rate: plan.rate,
        burst: plan.burst,
        max_in_flight: f64::from(plan.max_in_flight),
        value: plan.value,
        hard_limit_rate: plan.hard_limit_rate,
        hard_limit_burst: plan.hard_limit_burst,
        ..Plan::default()
    }
}

impl Prepared {
    /// Why not, in words that name the tenant.
    pub fn new(config: &Arc<file::Service>, held: Arc<TenantDirectory>) -> Result<Prepared, String> {
        let mut rules: Vec<Route> = config.routes.iter().map(|route| route.rule.clone()).collect();
        let (mut routes, mut plans) = (Vec::new(), BTreeMap::<String, Vec<(String, Plan)>>::new());
        let [mut descriptors, mut bytes, mut open] = [0u64; 3];
        for tenant in held.tenants.values() {
            let wrong = |what: String| format!("tenant {:?}: {what}", tenant.name);
            for route in &tenant.routes {
                let number = config.pools.iter().position(|pool| pool.name == route.pool);
                let number =
                    number.ok_or_else(|| wrong(format!("there is no pool {:?} here", route.pool)))?;
                let known =
                    |name: &String| config.pools[number].classes.iter().any(|class| class.name == *name);
                if route.default_class.as_ref().is_some_and(|class| !known(class)) {
                    return Err(wrong(format!("route {:?}: the pool has no such class", route.name)));
                }
                rules.push(route.to_table_route().map_err(|error| wrong(error.to_string()))?);
                let (tenant, class) = (tenant.name.clone(), route.default_class.clone());
                routes.push(HostedRoute { tenant, pool: number, class });
            }
            let pools: BTreeSet<&String> = tenant.routes.iter().map(|route| &route.pool).collect();
            for pool in pools {
                let list = tenant.plans.iter().map(|plan| (slot(tenant, &plan.name), figures(plan)));
                plans.entry(pool.clone()).or_default().extend(list);
            }
            descriptors += tenant.limits.descriptors.guaranteed;
            bytes += tenant.limits.buffered_bytes.guaranteed;
            open += tenant.limits.open_requests.guaranteed;
        }
        if let Some((pool, list)) = plans.iter().find(|(_, list)| list.len() > MOST_PLANS) {
            return Err(format!(
                "pool {pool:?} would have {} plans, and {MOST_PLANS} is the most",
                list.len()
            ));
        }
        let most_open = config.control.as_ref().map_or(u64::MAX, |control| control.open_requests);
        let kept: u64 = config.pools.iter().map(|pool| pool.descriptors).sum();
        let kept_bytes: u64 = config.pools.iter().map(|pool| pool.buffered_bytes).sum();
        for (what, asked, there) in [
            ("descriptors", descriptors, config.descriptors.saturating_sub(kept + 32)),
            ("buffered_bytes", bytes, config.buffered_bytes.saturating_sub(kept_bytes)),
            ("open_requests", open, most_open),
        ] {
            if asked > there {
                return Err(format!(
                    "limits.{what}: tenants are guaranteed {asked}, and {there} can be given"
                ));
            }
        }
        let table = RouteTable::build(&rules).map_err(|ties| {
            let name = |number: usize| match number.checked_sub(config.routes.len()) {
                Some(number) => format!("tenant {:?}", routes[number].tenant),
                None => format!("route[{number}] of the file"),
            };
            let (first, second) = ties.first().map_or((0, 0), |tie| (tie.first, tie.second));
            format!("{} and {} have routes that match the same requests", name(first), name(second))
        })?;
        Ok(Prepared { file: config.clone(), held, table: Arc::new(table), routes, plans })
    }
}
