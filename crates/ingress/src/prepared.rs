//! A configuration file and a directory of tenants that were checked together, ready to be put in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use violetyoke_config as file;
use violetyoke_decision::interface::Plan;
use violetyoke_routes::{Route, RouteTable};
use violetyoke_tenants::model;
use violetyoke_tenants::snapshot::{TenantDirectory, TenantView};

/// The maximum number of plans of a pool. The decision module has 16-bit indices of plans.
const MAX_PLANS: usize = 60_000;

/// A file and a directory that were checked together. It is created on another thread, which does all slow
/// work, so that it can be put in force quickly.
pub struct PreparedConfig {
    /// The file.
    pub file: Arc<file::Service>,
    /// The tenants.
    pub directory: Arc<TenantDirectory>,
    /// The routes of the file, followed by those of the tenants.
    pub table: Arc<RouteTable>,
    /// The targets of the tenants' routes, in the order of the table.
    pub routes: Vec<HostedRoute>,
    /// The plans of tenants in each pool, with names from [`tenant_plan_name`].
    pub plans: BTreeMap<String, Vec<(String, Plan)>>,
}

pub struct HostedRoute {
    pub tenant: String,
    /// Index of the pool in the file.
    pub pool: usize,
    pub class: Option<String>,
}

/// The name of a tenant's plan in a pool. It can't occur in a file, and differs for a tenant that was created
/// again.
pub fn tenant_plan_name(tenant: &TenantView, plan: &str) -> String {
    format!("{}\u{1f}{}\u{1f}{plan}", tenant.name, tenant.epoch)
}

fn plan_settings(plan: &model::Plan) -> Plan {
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

impl PreparedConfig {
    /// Checks the file and the tenants together.
    ///
    /// # Errors
    /// If they are not compatible. The message names the tenant, the pool or the limit.
    pub fn new(
        config: &Arc<file::Service>,
        directory: Arc<TenantDirectory>,
    ) -> Result<PreparedConfig, String> {
        let mut rules: Vec<Route> = config.routes.iter().map(|route| route.rule.clone()).collect();
        let (mut routes, mut plans) = (Vec::new(), BTreeMap::<String, Vec<(String, Plan)>>::new());
        let [mut descriptors, mut bytes, mut open_requests] = [0u64; 3];
        for tenant in directory.tenants.values() {
            let tenant_error = |message: String| format!("tenant {:?}: {message}", tenant.name);
            for route in &tenant.routes {
                let pool_index = config.pools.iter().position(|pool| pool.name == route.pool);
                let pool_index = pool_index
                    .ok_or_else(|| tenant_error(format!("there is no pool {:?} here", route.pool)))?;
                let has_class =
                    |name: &String| config.pools[pool_index].classes.iter().any(|class| class.name == *name);
                if route.default_class.as_ref().is_some_and(|class| !has_class(class)) {
                    return Err(tenant_error(format!("route {:?}: the pool has no such class", route.name)));
                }
                rules.push(route.to_table_route().map_err(|error| tenant_error(error.to_string()))?);
                let (tenant, class) = (tenant.name.clone(), route.default_class.clone());
                routes.push(HostedRoute { tenant, pool: pool_index, class });
            }
            let pools: BTreeSet<&String> = tenant.routes.iter().map(|route| &route.pool).collect();
            for pool in pools {
                let list = tenant
                    .plans
                    .iter()
                    .map(|plan| (tenant_plan_name(tenant, &plan.name), plan_settings(plan)));
                plans.entry(pool.clone()).or_default().extend(list);
            }
            descriptors += tenant.limits.descriptors.guaranteed;
            bytes += tenant.limits.buffered_bytes.guaranteed;
            open_requests += tenant.limits.open_requests.guaranteed;
        }
        if let Some((pool, list)) = plans.iter().find(|(_, list)| list.len() > MAX_PLANS) {
            return Err(format!(
                "pool {pool:?} would have {} plans, and {MAX_PLANS} is the most",
                list.len()
            ));
        }
        let max_open_requests = config.control.as_ref().map_or(u64::MAX, |control| control.open_requests);
        let guaranteed_descriptors: u64 = config.pools.iter().map(|pool| pool.descriptors).sum();
        let guaranteed_bytes: u64 = config.pools.iter().map(|pool| pool.buffered_bytes).sum();
        for (resource, guaranteed, available) in [
            ("descriptors", descriptors, config.descriptors.saturating_sub(guaranteed_descriptors + 32)),
            ("buffered_bytes", bytes, config.buffered_bytes.saturating_sub(guaranteed_bytes)),
            ("open_requests", open_requests, max_open_requests),
        ] {
            if guaranteed > available {
                return Err(format!(
                    "limits.{resource}: tenants are guaranteed {guaranteed}, and {available} can be given"
                ));
            }
        }
        let table = RouteTable::build(&rules).map_err(|conflicts| {
            let name = |index: usize| match index.checked_sub(config.routes.len()) {
                Some(index) => format!("tenant {:?}", routes[index].tenant),
                None => format!("route[{index}] of the file"),
            };
            let (first, second) =
                conflicts.first().map_or((0, 0), |conflict| (conflict.first, conflict.second));
            format!("{} and {} have routes that match the same requests", name(first), name(second))
        })?;
        Ok(PreparedConfig { file: config.clone(), directory, table: Arc::new(table), routes, plans })
    }
}
