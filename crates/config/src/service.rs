//! The whole file: what all pools share, the pools, and the routes to them.

use crate::control::Control;
use crate::duties::Duties;
use crate::error::Errors;
use crate::pool::Pool;
use crate::ratelimit::RateLimit;
use crate::section::{self, Section};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_routes::{Host, Path, Route as Rule, RouteTable};

/// A service as its file has it, checked.
#[derive(Clone, Debug)]
pub struct Service {
    pub listen: SocketAddr,
    /// Most descriptors of the process, and bytes of bodies held at once.
    pub descriptors: u64,
    pub buffered_bytes: u64,
    /// Whether pools take turns by weight; if not, all share one queue.
    pub turns: bool,
    /// Whether the file is looked at for changes, beside SIGHUP.
    pub watch_file: bool,
    pub pools: Vec<Pool>,
    pub routes: Vec<Route>,
    /// The gRPC rate limit service, where it is switched on.
    pub ratelimit: Option<RateLimit>,
    /// Where tenants come from, where there are any.
    pub control: Option<Control>,
    /// What of the fleet's work this process takes part in.
    pub duties: Option<Duties>,
}

/// A route to a pool.
#[derive(Clone, Debug)]
pub struct Route {
    pub rule: Rule,
    /// Number of the pool in [`Service::pools`].
    pub pool: usize,
    /// Class of requests that state none.
    pub default_class: Option<String>,
}

/// Reads a file's text; all errors in one go.
pub fn parse(text: &str) -> Result<Service, Errors> {
    section::read(text, read)
}

fn read(root: &Section<'_>) -> Service {
    let service = root.section("service");
    if !service.has("listen") {
        service.error("listen", "is missing");
    }
    let listen = service.parsed("listen", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)));
    let ingresses = service.whole("ingresses", 1, 1..=1_000) as u16;
    let index = service.whole("index", 0, 0..=999) as u16;
    if index >= ingresses {
        service.error("index", "must be below ingresses");
    }
    let descriptors = service.whole("descriptors", 1_024, 64..=1_000_000);
    let buffered_bytes = service.whole("buffered_bytes", 64 << 20, 1 << 16..=1 << 40);
    let sections = root.sections("pool");
    let pools: Vec<Pool> = sections.iter().map(|section| Pool::read(section, ingresses, index)).collect();
    if pools.is_empty() {
        root.error("pool", "at least one is needed");
    }
    let mut names = BTreeMap::new();
    let mut quotas = BTreeMap::new();
    for (pool, section) in pools.iter().zip(&sections) {
        if names.insert(pool.name.clone(), ()).is_some() {
            section.error("name", format!("{:?} is another pool's name too", pool.name));
        } else if quotas.insert(pool.quota.clone(), ()).is_some() {
            // Two pools with one quota name would spend each other's units.
            section.error("quota", format!("{:?} is another pool's too", pool.quota));
        }
    }
    let kept: u64 = pools.iter().map(|pool| pool.descriptors).sum();
    // What remains is for the listener, connections that are yet to be routed, and files.
    if kept + 32 > descriptors {
        service.error(
            "descriptors",
            format!("{descriptors} is below what pools are guaranteed, {kept}, and 32"),
        );
    }
    let kept: u64 = pools.iter().map(|pool| pool.buffered_bytes).sum();
    if kept > buffered_bytes {
        service
            .error("buffered_bytes", format!("{buffered_bytes} is below what pools are guaranteed, {kept}"));
    }
    sections.into_iter().for_each(Section::finish);
    let sections = root.sections("route");
    let routes: Vec<Route> = sections.iter().filter_map(|section| route(section, &pools)).collect();
    if sections.is_empty() && !root.has("control") {
        root.error("route", "at least one is needed");
    }
    let rules: Vec<Rule> = routes.iter().map(|route| route.rule.clone()).collect();
    // Numbers hold only where all could be read.
    if routes.len() == sections.len() {
        for conflict in RouteTable::build(&rules).err().into_iter().flatten() {
            let other = format!(
                "matches the same requests as route[{}], and neither is more specific",
                conflict.first
            );
            sections[conflict.second].error("path", other);
        }
    }
    sections.into_iter().for_each(Section::finish);
    let ratelimit = root.has("ratelimit").then(|| {
        let section = root.section("ratelimit");
        let read = RateLimit::read(&section, &pools);
        if read.listen == listen && read.listen.port() != 0 {
            section.error("listen", "is the service's own address");
        }
        section.finish();
        read
    });
    let duties = root.has("duties").then(|| {
        let section = root.section("duties");
        if !root.has("control") {
            section.error("take", "needs [control]: leases come from there");
        }
        Duties::read(section)
    });
    let read = Service {
        listen,
        descriptors,
        buffered_bytes,
        turns: service.word("turns", true, &[("weighted", true), ("shared", false)]),
        watch_file: service.flag("watch_file", false),
        pools,
        routes,
        ratelimit,
        control: root.has("control").then(|| Control::read(root.section("control"))),
        duties,
    };
    service.finish();
    read
}

fn route(section: &Section<'_>, pools: &[Pool]) -> Option<Route> {
    let host = section.text("host").map_or(Some(Host::Any), |text| {
        text.parse::<Host>().map_err(|error| section.error("host", error)).ok()
    });
    let path = section.text("path").unwrap_or_else(|| "/*".into());
    let path = path.parse::<Path>().map_err(|error| section.error("path", error)).ok();
    let method = section.text("method");
    let known = ["GET", "POST", "PUT", "PATCH", "DELETE"];
    if method.as_ref().is_some_and(|method| !known.contains(&method.as_str())) {
        section.error("method", "is none of GET, POST, PUT, PATCH, DELETE");
    }
    let name = section.needed("pool");
    let pool = pools.iter().position(|pool| pool.name == name);
    if section.has("pool") && pool.is_none() {
        section.error("pool", format!("there is no pool {name:?}"));
    }
    let class = |key: &'static str| {
        let class = section.text(key);
        let known = |name: &String| {
            pool.is_none_or(|pool| pools[pool].classes.iter().any(|class| class.name == *name))
        };
        if class.as_ref().is_some_and(|class| !known(class)) {
            section.error(key, "is not a class of the pool");
        }
        class
    };
    let (class, default_class) = (class("class"), class("default_class"));
    Some(Route { rule: Rule { host: host?, path: path?, method, class }, pool: pool?, default_class })
}
