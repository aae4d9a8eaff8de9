//! The complete file: the settings that all pools share, the pools, and the further services of an ingress.

use crate::control::Control;
use crate::error::Errors;
use crate::pool::Pool;
use crate::ratelimit::RateLimit;
use crate::route::{read_routes, Route};
use crate::section::{self, Section};
use crate::singleton_roles::SingletonRoles;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of file descriptors for the listener, connections that are not routed yet, and files.
const UNRESERVED_DESCRIPTORS: u64 = 32;

/// The validated configuration of an ingress.
#[derive(Clone, Debug)]
pub struct Service {
    /// The address on which requests are accepted.
    pub listen: SocketAddr,
    /// The maximum number of file descriptors of the process.
    pub descriptors: u64,
    /// The maximum memory for request bodies (bytes).
    pub buffered_bytes: u64,
    /// Whether pools are scheduled by weight; otherwise all tasks share one queue.
    pub schedules_by_weight: bool,
    /// Whether the file is reloaded when it changes, and not only on SIGHUP.
    pub watch_file: bool,
    /// The pools, at least one.
    pub pools: Vec<Pool>,
    /// The routes to the pools.
    pub routes: Vec<Route>,
    /// The gRPC rate limit service, if it is enabled.
    pub ratelimit: Option<RateLimit>,
    /// The control plane from which tenants are received, if there is one.
    pub control: Option<Control>,
    /// The singleton roles that this process applies for, if there are any.
    pub singleton_roles: Option<SingletonRoles>,
}

/// Parses and validates the text of a file.
///
/// # Errors
/// Returns all errors of the file.
pub fn parse(text: &str) -> Result<Service, Errors> {
    section::read(text, read_service)
}

fn read_service(root: &Section<'_>) -> Service {
    let service = root.section("service");
    let listen = service.required_address("listen");
    let descriptors = service.integer("descriptors", 1_024, 64..=1_000_000);
    let buffered_bytes = service.integer("buffered_bytes", 64 << 20, 1 << 16..=1 << 40);
    let pools = read_pools(root, &service);
    check_descriptors(&service, &pools, descriptors);
    check_buffered_bytes(&service, &pools, buffered_bytes);
    let config = Service {
        listen,
        descriptors,
        buffered_bytes,
        schedules_by_weight: service.choice("turns", true, &[("weighted", true), ("shared", false)]),
        watch_file: service.flag("watch_file", false),
        routes: read_routes(root, &pools),
        ratelimit: read_ratelimit(root, &pools, listen),
        control: read_control(root),
        singleton_roles: read_singleton_roles(root),
        pools,
    };
    service.finish();
    config
}

fn read_pools(root: &Section<'_>, service: &Section<'_>) -> Vec<Pool> {
    let ingresses = service.integer("ingresses", 1, 1..=1_000) as u16;
    let index = service.integer("index", 0, 0..=999) as u16;
    if index >= ingresses {
        service.error("index", "must be below ingresses");
    }
    let tables = root.sections("pool");
    let pools: Vec<Pool> = tables.iter().map(|table| Pool::read(table, ingresses, index)).collect();
    if pools.is_empty() {
        root.error("pool", "at least one is needed");
    }
    let mut names = BTreeSet::new();
    let mut quotas = BTreeSet::new();
    for (pool, table) in pools.iter().zip(&tables) {
        if !names.insert(&pool.name) {
            table.error("name", format!("{:?} is already the name of another pool", pool.name));
        } else if !quotas.insert(&pool.quota) {
            // Two pools with the same quota name would share their counters.
            table.error("quota", format!("{:?} is already the quota name of another pool", pool.quota));
        }
    }
    tables.into_iter().for_each(Section::finish);
    pools
}

fn check_descriptors(service: &Section<'_>, pools: &[Pool], descriptors: u64) {
    let reserved: u64 = pools.iter().map(|pool| pool.descriptors).sum();
    if reserved + UNRESERVED_DESCRIPTORS > descriptors {
        let reason = format!(
            "{descriptors} is below what pools are guaranteed, {reserved}, and {UNRESERVED_DESCRIPTORS}"
        );
        service.error("descriptors", reason);
    }
}

fn check_buffered_bytes(service: &Section<'_>, pools: &[Pool], buffered_bytes: u64) {
    let reserved: u64 = pools.iter().map(|pool| pool.buffered_bytes).sum();
    if reserved > buffered_bytes {
        let reason = format!("{buffered_bytes} is below what pools are guaranteed, {reserved}");
        service.error("buffered_bytes", reason);
    }
}

fn read_ratelimit(root: &Section<'_>, pools: &[Pool], listen: SocketAddr) -> Option<RateLimit> {
    root.has("ratelimit").then(|| {
        let table = root.section("ratelimit");
        let ratelimit = RateLimit::read(&table, pools);
        if ratelimit.listen == listen && ratelimit.listen.port() != 0 {
            table.error("listen", "is the service's own address");
        }
        table.finish();
        ratelimit
    })
}

fn read_control(root: &Section<'_>) -> Option<Control> {
    root.has("control").then(|| {
        let table = root.section("control");
        let control = Control::read(&table);
        table.finish();
        control
    })
}

fn read_singleton_roles(root: &Section<'_>) -> Option<SingletonRoles> {
    root.has("duties").then(|| {
        let table = root.section("duties");
        if !root.has("control") {
            table.error("take", "needs [control]: leases come from there");
        }
        let roles = SingletonRoles::read(&table);
        table.finish();
        roles
    })
}
