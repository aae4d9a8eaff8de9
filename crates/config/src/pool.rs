//! The configuration of a pool: its nodes, classes, plans and limits.

use crate::class::Class;
use crate::external_limiter::ExternalLimiterConfig;
use crate::names::{check_name, reject_duplicates};
use crate::nodes::{read_nodes, Nodes};
use crate::plan::read_plan;
use crate::pool_settings::read_settings;
use crate::section::Section;
use std::net::SocketAddr;
use violetyoke_decision::interface::{self, Plan, Settings};

/// The default zone of an ingress.
const DEFAULT_ZONE: &str = "here";

/// The validated configuration of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name, which is unique in the file.
    pub name: String,
    /// The name under which its quotas are counted, which is unique in the file. It must not change while the pool keeps its
    /// customers.
    pub quota: String,
    /// Its share of the processor relative to other pools.
    pub weight: u64,
    /// The source of its nodes.
    pub nodes: Nodes,
    /// The address of its counter service; with `None`, requests are counted in this process.
    pub counter: Option<SocketAddr>,
    /// Its classes, at least one.
    pub classes: Vec<Class>,
    /// Its plans with their names, at least one.
    pub plans: Vec<(String, Plan)>,
    /// The names of zones, by index; the first is the zone of this ingress.
    pub zones: Vec<String>,
    /// The plan of requests without a plan.
    pub default_plan: Option<String>,
    /// The class of requests without a class.
    pub default_class: Option<String>,
    /// The maximum number of open requests.
    pub open_requests: u32,
    /// The number of file descriptors that are reserved for the pool.
    pub descriptors: u64,
    /// The memory for request bodies that is reserved for the pool (bytes).
    pub buffered_bytes: u64,
    /// The header fields of responses that contain the state of the quota.
    pub quota_headers: QuotaHeaders,
    /// The external rate limit server that is queried before admission, if there is one.
    pub external_limiter: Option<ExternalLimiterConfig>,
    /// All settings of the decision module except classes and plans.
    settings: Settings,
}

/// Which header fields of responses contain the state of the client's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaHeaders {
    /// `RateLimit-Policy` and `RateLimit` (draft-ietf-httpapi-ratelimit-headers-10).
    pub draft: bool,
    /// The widespread fields `X-RateLimit-Limit`, `-Remaining` and `-Reset`.
    pub legacy: bool,
}

impl Pool {
    /// The settings for the decision module, with the given classes and plans.
    pub fn settings(&self, classes: Vec<interface::Class>, plans: Vec<Plan>) -> Settings {
        Settings { classes, plans, ..self.settings.clone() }
    }

    /// Reads a pool. `index` is the index of this ingress among `ingresses`. The caller calls [`Section::finish`].
    pub(crate) fn read(section: &Section<'_>, ingresses: u16, index: u16) -> Pool {
        let name = section.required_text("name");
        check_name(section, "name", &name);
        let quota = section.text("quota").unwrap_or_else(|| name.clone());
        check_name(section, "quota", &quota);
        let classes = read_classes(section);
        let plans = read_plans(section);
        let zone = section.text("zone").unwrap_or_else(|| DEFAULT_ZONE.into());
        let nodes = read_nodes(section, &zone);
        let class_names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let plan_names: Vec<&str> = plans.iter().map(|(name, _)| name.as_str()).collect();
        let limits = section.section("limits");
        let settings = read_settings(section, ingresses, index);
        let external_limiter = section.has("consult").then(|| {
            let table = section.section("consult");
            let config = ExternalLimiterConfig::read(&table, &plan_names, settings.limits.max_retry_after);
            table.finish();
            config
        });
        let pool = Pool {
            quota,
            weight: section.integer("weight", 1, 1..=1_000),
            counter: section.parsed("counter", "an address"),
            default_plan: read_default(section, "default_plan", &plan_names),
            default_class: read_default(section, "default_class", &class_names),
            zones: zones(zone, &nodes),
            nodes,
            open_requests: limits.integer("open_requests", 1_000, 1..=1_000_000) as u32,
            descriptors: limits.integer("descriptors", 64, 4..=1_000_000),
            buffered_bytes: limits.integer("buffered_bytes", 1 << 20, 1 << 16..=1 << 40),
            quota_headers: QuotaHeaders::read(section),
            external_limiter,
            settings,
            name,
            classes,
            plans,
        };
        limits.finish();
        pool
    }
}

impl QuotaHeaders {
    fn read(section: &Section<'_>) -> QuotaHeaders {
        let formats = section.choices("limit_fields", &[("draft", true), ("legacy", false)]);
        QuotaHeaders { draft: formats.contains(&true), legacy: formats.contains(&false) }
    }
}

fn read_classes(section: &Section<'_>) -> Vec<Class> {
    let mut classes = Vec::new();
    for table in section.sections("class") {
        classes.push(Class::read(&table));
        table.finish();
    }
    if classes.is_empty() {
        section.error("class", "at least one is needed");
    }
    reject_duplicates(section, "class", classes.iter().map(|class| class.name.as_str()));
    classes
}

fn read_plans(section: &Section<'_>) -> Vec<(String, Plan)> {
    let mut plans = Vec::new();
    for table in section.sections("plan") {
        plans.push(read_plan(&table));
        table.finish();
    }
    if plans.is_empty() {
        section.error("plan", "at least one is needed");
    }
    reject_duplicates(section, "plan", plans.iter().map(|(name, _)| name.as_str()));
    plans
}

/// Reads one of `names`. If the key is absent and there is only one name, that name is the default.
fn read_default(section: &Section<'_>, key: &'static str, names: &[&str]) -> Option<String> {
    let name = section.text(key);
    if name.as_ref().is_some_and(|name| !names.contains(&name.as_str())) {
        section.error(key, "is not defined in this pool");
    }
    name.or_else(|| match names {
        [only] => Some((*only).to_string()),
        _ => None,
    })
}

/// The distinct zones: the zone of this ingress, then those of the nodes.
fn zones(own_zone: String, nodes: &Nodes) -> Vec<String> {
    let mut zones = vec![own_zone];
    if let Nodes::Static(nodes) = nodes {
        for node in nodes.iter().filter(|node| !node.zone.is_empty()) {
            if !zones.contains(&node.zone) {
                zones.push(node.zone.clone());
            }
        }
    }
    zones
}
