//! One pool: its nodes, classes, plans and limits.

use crate::consult::Consult;
use crate::section::Section;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use violetyoke_decision::interface::{self as words, Effect, Group, Micros, Plan, Settings};

const MS: f64 = 1_000.0;

/// A pool as the file has it, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    /// What its quotas are counted under. It must not change while a pool keeps its customers, and two pools
    /// never share one.
    pub quota: String,
    /// Its part of the core against the other pools'.
    pub weight: u64,
    pub nodes: Nodes,
    /// Where its shared counter is; none: one in this process.
    pub counter: Option<SocketAddr>,
    pub classes: Vec<Class>,
    pub plans: Vec<(String, Plan)>,
    /// Zones by their numbers; the first is this ingress's own.
    pub zones: Vec<String>,
    pub default_plan: Option<String>,
    pub default_class: Option<String>,
    pub open_requests: u32,
    /// Descriptors and bytes of bodies that are kept for it.
    pub descriptors: u64,
    pub buffered_bytes: u64,
    pub fields: Fields,
    /// The outside rate limit server that is asked first, where there is one.
    pub consult: Option<Consult>,
    /// All that does not follow from classes and plans.
    settings: Settings,
}

/// A class and its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    pub class: words::Class,
}

/// Where the list of nodes comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    Static(Vec<Node>),
    /// An HTTP service that is watched.
    Discovery(SocketAddr),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub size: f64,
    pub draining: bool,
}

/// Which fields tell clients of their quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    /// `RateLimit-Policy` and `RateLimit` (draft-ietf-httpapi-ratelimit-headers-10).
    pub draft: bool,
    /// `X-RateLimit-Limit`, `-Remaining` and `-Reset`, as many services have them.
    pub legacy: bool,
}

impl Pool {
    /// What the decision module is told, for classes and plans at the numbers that they are given.
    pub fn settings(&self, classes: Vec<words::Class>, plans: Vec<Plan>) -> Settings {
        Settings { classes, plans, ..self.settings.clone() }
    }

    pub(crate) fn read(section: &Section<'_>, ingresses: u16, index: u16) -> Pool {
        let name = section.needed("name");
        if section.has("name") && !plain(&name) {
            section.error("name", "must be 1 to 40 letters, digits, - or _");
        }
        let quota = section.text("quota").unwrap_or_else(|| name.clone());
        if section.has("quota") && !plain(&quota) {
            section.error("quota", "must be 1 to 40 letters, digits, - or _");
        }
        let classes: Vec<Class> = section
            .sections("class")
            .into_iter()
            .map(|section| {
                let class = Class::read(&section);
                section.finish();
                class
            })
            .collect();
        let plans: Vec<(String, Plan)> = section
            .sections("plan")
            .into_iter()
            .map(|section| {
                let plan = plan(&section);
                section.finish();
                plan
            })
            .collect();
        if classes.is_empty() {
            section.error("class", "at least one is needed");
        }
        if plans.is_empty() {
            section.error("plan", "at least one is needed");
        }
        only_once(section, "class", classes.iter().map(|class| class.name.as_str()));
        only_once(section, "plan", plans.iter().map(|(name, _)| name.as_str()));
        let zone = section.text("zone").unwrap_or_else(|| "here".into());
        let nodes = nodes(section, &zone);
        let mut zones = vec![zone];
        if let Nodes::Static(nodes) = &nodes {
            for node in nodes.iter().filter(|node| !node.zone.is_empty()) {
                if !zones.contains(&node.zone) {
                    zones.push(node.zone.clone());
                }
            }
        }
        let known = |key: &'static str, names: Vec<&str>| {
            let name = section.text(key);
            if name.as_ref().is_some_and(|name| !names.contains(&name.as_str())) {
                section.error(key, "is not defined in this pool");
            }
            name
        };
        let only = |name: &str, number: usize| (number == 1).then(|| name.to_string());
        let default_plan = known("default_plan", plans.iter().map(|(name, _)| name.as_str()).collect())
            .or_else(|| only(plans.first().map_or("", |(name, _)| name), plans.len()));
        let default_class = known("default_class", classes.iter().map(|class| class.name.as_str()).collect())
            .or_else(|| only(classes.first().map_or("", |class| &class.name), classes.len()));
        let fields = section.words("limit_fields", &[("draft", true), ("legacy", false)]);
        let limits = section.section("limits");
        let settings = settings(section, ingresses, index);
        let consult = section.has("consult").then(|| {
            let names: Vec<&str> = plans.iter().map(|(name, _)| name.as_str()).collect();
            Consult::read(section.section("consult"), &names, settings.limits.longest_retry_hint)
        });
        let pool = Pool {
            settings,
            name,
            quota,
            weight: section.whole("weight", 1, 1..=1_000),
            nodes,
            counter: section.parsed("counter", "an address"),
            classes,
            plans,
            zones,
            default_plan,
            default_class,
            open_requests: limits.whole("open_requests", 1_000, 1..=1_000_000) as u32,
            descriptors: limits.whole("descriptors", 64, 4..=1_000_000),
            buffered_bytes: limits.whole("buffered_bytes", 1 << 20, 1 << 16..=1 << 40),
            fields: Fields { draft: fields.contains(&true), legacy: fields.contains(&false) },
            consult,
        };
        limits.finish();
        pool
    }
}

fn settings(section: &Section<'_>, ingresses: u16, index: u16) -> Settings {
    let time =
        |key: &'static str, usual: f64| (section.number(key, usual, 0.0..=86_400_000.0) * MS) as Micros;
    let retry_after = time("max_retry_after_ms", 60_000.0);
    let start = section.section("cold_start");
    let settings = Settings {
        gateways: ingresses,
        index,
        tick: 1_000,
        counter: Some(words::Counter { timeout: time("counter_timeout_ms", 50.0).max(1_000), fee: 0.0 }),
        largest_request: section.number("largest_request", 100.0, 1e-3..=1e6),
        limits: words::Limits {
            attempts: section.whole("attempts", 4, 1..=16) as u32,
            cancelling: true,
            retry_hints: retry_after > 0,
            longest_retry_hint: retry_after,
            connect_timeout: time("connect_timeout_ms", 250.0).max(1_000),
            idle_close: time("idle_close_ms", 30_000.0).max(1_000),
            streams_per_connection: 1,
            ..words::Limits::default()
        },
        safety: words::Safety {
            answer_slack: 16_000,
            drain_grace: 250_000,
            cold_share: start.number("share", 1.0, 0.01..=1.0),
            cold_time: (start.number("time_ms", 0.0, 0.0..=3_600_000.0) * MS) as Micros,
            fall_multiple: start.number("fall_multiple", 3.0, 1.0..=100.0),
            fall_time: (start.number("fall_ms", 1_000.0, 1.0..=60_000.0) * MS) as Micros,
            ask_within: 10_000_000,
        },
        report_fields: vec![words::ReportField::Outstanding],
        report_via: words::ReportVia::Answers,
        ..Settings::default()
    };
    start.finish();
    settings
}

fn nodes(section: &Section<'_>, zone: &str) -> Nodes {
    let list = section.sections("nodes");
    let discovery = section.parsed("discovery", "an address");
    match (section.has("nodes"), section.has("discovery")) {
        (true, true) => section.error("discovery", "stands beside nodes: one source is allowed"),
        (false, false) => section.error("nodes", "neither nodes nor discovery is there"),
        _ => {}
    }
    let mut ids = BTreeSet::new();
    let mut node = |node: Section<'_>| {
        if !node.has("address") {
            node.error("address", "is missing");
        }
        let address: SocketAddr =
            node.parsed("address", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)));
        let read = Node {
            id: node.text("id").unwrap_or_else(|| address.to_string()),
            address,
            zone: node.text("zone").unwrap_or_else(|| zone.to_string()),
            size: node.number("size", 1.0, 1e-3..=1e6),
            draining: node.flag("draining", false),
        };
        if !ids.insert(read.id.clone()) {
            node.error("id", format!("{:?} stands for another node of this pool too", read.id));
        }
        node.finish();
        read
    };
    let list: Vec<Node> = list.into_iter().map(&mut node).collect();
    discovery.map_or(Nodes::Static(list), Nodes::Discovery)
}

impl Class {
    /// Reads a class's keys; others may stand beside them.
    pub fn read(section: &Section<'_>) -> Class {
        let name = section.needed("name");
        if section.has("name") && !plain(&name) {
            section.error("name", "must be 1 to 40 letters, digits, - or _");
        }
        let time =
            |key: &'static str, usual: f64| (section.number(key, usual, 1.0..=600_000.0) * MS) as Micros;
        let aim = time("aim_ms", 1_000.0);
        if !section.has("effect") {
            // A guess here could make a booking run twice.
            section.error("effect", "is missing: safe, keyed or unsafe");
        }
        let class = words::Class {
            aim,
            aim_stretch: 0.0,
            deadline: time("deadline_ms", aim as f64 / MS * 2.0),
            effect: section.word(
                "effect",
                Effect::Unsafe,
                &[("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)],
            ),
            group: section.word(
                "group",
                Group::All,
                &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)],
            ),
            repeat_window: (section.number("repeat_window_ms", 0.0, 0.0..=86_400_000.0) * MS) as Micros,
            late_value: 0.0,
            value: section.number("value", 1.0, 1e-6..=1e6),
            streamed: false,
            asks_only: false,
        };
        if class.deadline < class.aim {
            section.error("deadline_ms", "is before aim_ms");
        }
        Class { name, class }
    }
}

/// Reads a plan's keys and its name; others may stand beside them.
pub fn plan(section: &Section<'_>) -> (String, Plan) {
    let name = section.needed("name");
    if section.has("name") && !plain(&name) {
        section.error("name", "must be 1 to 40 letters, digits, - or _");
    }
    let figure = |key: &'static str| section.number(key, 0.0, 0.0..=1e9);
    let plan = Plan {
        rate: figure("rate"),
        burst: figure("burst"),
        open_cap: figure("open"),
        worth: section.number("worth", 1.0, 1e-6..=1e6),
        ceiling_rate: figure("ceiling_rate"),
        ceiling_burst: figure("ceiling_burst"),
        ..Plan::default()
    };
    if plan.rate > 0.0 && plan.burst < 1.0 {
        section.error("burst", "must be 1 or more where there is a rate");
    }
    if plan.ceiling_rate > 0.0 && (plan.ceiling_rate < plan.rate || plan.ceiling_burst < plan.burst) {
        section.error("ceiling_rate", "rate and burst of the ceiling must not be below the plan's");
    }
    (name, plan)
}

pub fn only_once<'n>(section: &Section<'_>, key: &'static str, names: impl Iterator<Item = &'n str>) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            section.error(key, format!("{name:?} is defined twice"));
        }
    }
}

/// Names stand in counter names and header fields.
pub fn plain(name: &str) -> bool {
    (1..=40).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}
