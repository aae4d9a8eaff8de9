//! The routes to pools.

use crate::pool::Pool;
use crate::section::Section;
use violetyoke_routes::{HostPattern, PathPattern, Route as TableRoute, RouteTable};

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

/// A route to a pool.
#[derive(Clone, Debug)]
pub struct Route {
    /// The requests that the route matches.
    pub rule: TableRoute,
    /// The index of the pool in [`Service::pools`](crate::Service::pools).
    pub pool: usize,
    /// The class of requests without a class.
    pub default_class: Option<String>,
}

/// Reads the routes of a file to the given pools.
pub(crate) fn read_routes(root: &Section<'_>, pools: &[Pool]) -> Vec<Route> {
    let tables = root.sections("route");
    let routes: Vec<Route> = tables.iter().filter_map(|table| read_route(table, pools)).collect();
    if tables.is_empty() && !root.has("control") {
        root.error("route", "at least one is needed");
    }
    // Conflicts are reported by index, which identifies the table only if all routes are valid.
    if routes.len() == tables.len() {
        reject_conflicts(&tables, &routes);
    }
    tables.into_iter().for_each(Section::finish);
    routes
}

fn reject_conflicts(tables: &[Section<'_>], routes: &[Route]) {
    let table_routes: Vec<TableRoute> = routes.iter().map(|route| route.rule.clone()).collect();
    for conflict in RouteTable::build(&table_routes).err().into_iter().flatten() {
        let first = conflict.first;
        let reason = format!("matches the same requests as route[{first}], and neither is more specific");
        tables[conflict.second].error("path", reason);
    }
}

fn read_route(section: &Section<'_>, pools: &[Pool]) -> Option<Route> {
    let host = section.text("host").map_or(Some(HostPattern::Any), |text| {
        text.parse::<HostPattern>().map_err(|error| section.error("host", error)).ok()
    });
    let path = section.text("path").unwrap_or_else(|| "/*".into());
    let path = path.parse::<PathPattern>().map_err(|error| section.error("path", error)).ok();
    let method = section.text("method");
    if method.as_ref().is_some_and(|method| !METHODS.contains(&method.as_str())) {
        section.error("method", "is none of GET, POST, PUT, PATCH, DELETE");
    }
    let name = section.required_text("pool");
    let pool = pools.iter().position(|pool| pool.name == name);
    if section.has("pool") && pool.is_none() {
        section.error("pool", format!("there is no pool {name:?}"));
    }
    let class = |key: &'static str| {
        let class = section.text(key);
        let has_class = |name: &String| {
            pool.is_none_or(|pool| pools[pool].classes.iter().any(|class| class.name == *name))
        };
        if class.as_ref().is_some_and(|class| !has_class(class)) {
            section.error(key, "is not a class of the pool");
        }
        class
    };
    let (class, default_class) = (class("class"), class("default_class"));
    Some(Route { rule: TableRoute { host: host?, path: path?, method, class }, pool: pool?, default_class })
}
