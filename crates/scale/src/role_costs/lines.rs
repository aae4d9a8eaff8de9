//! What the tables of roles consist of: each line is a sum of figures, each as often as it comes.

/// The target's events a second: changes of configuration (18,000 a day), and proxies that end or start, each once
/// (9,100 restarted or replaced and 420 failed a day).
const CHANGES_PER_S: f64 = 18_000.0 / 86_400.0;
const RESTARTS_PER_S: f64 = 9_520.0 / 86_400.0;
/// Requests of tenants with a limit that a proxy forwards a second at the peak (1.3 million over 13,000).
const ADDS_PER_S: f64 = 100.0;

/// A figure, and how often a second it comes at a number of ingresses.
pub(super) type Part = (&'static str, fn(f64) -> f64);

/// A line of a role's table: the sum of its parts.
pub(super) struct Line {
    pub(super) what: &'static str,
    pub(super) unit: &'static str,
    pub(super) parts: &'static [Part],
    /// What the role may use.
    pub(super) bound: Option<f64>,
}

fn once(_: f64) -> f64 {
    1.0
}

fn third(_: f64) -> f64 {
    1.0 / 3.0
}

fn changes(_: f64) -> f64 {
    CHANGES_PER_S
}

fn changes_of_one(_: f64) -> f64 {
    CHANGES_PER_S / 3.0
}

/// Restarts a second grow with the proxies.
fn restarts(ingresses: f64) -> f64 {
    RESTARTS_PER_S * ingresses / 13_000.0
}

fn restarts_of_one(ingresses: f64) -> f64 {
    restarts(ingresses) / 3.0
}

/// Increments a second of one registry of three, in thousands: one is measured in microseconds.
fn adds_of_one(ingresses: f64) -> f64 {
    ingresses * ADDS_PER_S / 3.0 / 1000.0
}

pub(super) const REGISTRY: &[Line] = &[
    Line {
        what: "processor, quiet",
        unit: "ms/s",
        parts: &[("registry.quiet.cpu_ms_per_s", third)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, 0.21 changes/s",
        unit: "ms/s",
        parts: &[("registry.change.cpu_ms", changes_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, restarts at the target's rate",
        unit: "ms/s",
        parts: &[("registry.restart.cpu_ms", restarts_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, 100 adds/s of each ingress",
        unit: "ms/s",
        parts: &[("registry.add.cpu_us", adds_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, all of these",
        unit: "ms/s",
        parts: &[
            ("registry.quiet.cpu_ms_per_s", third),
            ("registry.change.cpu_ms", changes_of_one),
            ("registry.restart.cpu_ms", restarts_of_one),
            ("registry.add.cpu_us", adds_of_one),
        ],
        bound: Some(600.0),
    },
    Line {
        what: "processor, all join at once (whole wave)",
        unit: "ms",
        parts: &[("registry.join.cpu_ms", third)],
        bound: None,
    },
    Line { what: "connections", unit: "", parts: &[("registry.sockets", once)], bound: Some(3896.0) },
    Line { what: "memory", unit: "MB", parts: &[("registry.resident_mb", once)], bound: Some(256.0) },
    Line {
        what: "to other registries, a restart",
        unit: "bytes",
        parts: &[("registry.restart.between_bytes", third)],
        bound: None,
    },
];

pub(super) const STORE: &[Line] = &[
    Line {
        what: "processor, quiet",
        unit: "ms/s",
        parts: &[("store.quiet.cpu_ms_per_s", third)],
        bound: Some(600.0),
    },
    Line { what: "processor, a change", unit: "ms", parts: &[("store.change.cpu_ms", third)], bound: None },
    Line { what: "memory", unit: "MB", parts: &[("store.resident_mb", once)], bound: Some(256.0) },
    Line {
        what: "disk, a change (both holders)",
        unit: "bytes",
        parts: &[("store.change.disk_bytes", once)],
        bound: None,
    },
    Line { what: "connections", unit: "", parts: &[("store.sockets", once)], bound: Some(3896.0) },
];

pub(super) const PROXY: &[Line] = &[
    Line {
        what: "processor for control, quiet",
        unit: "ms/s",
        parts: &[("proxy.quiet.cpu_ms_per_s", once)],
        bound: Some(21.0),
    },
    Line {
        what: "processor for control, restarts of others",
        unit: "ms/s",
        parts: &[("proxy.restart.cpu_ms", restarts)],
        bound: Some(21.0),
    },
    Line { what: "memory", unit: "MB", parts: &[("proxy.resident_mb", once)], bound: Some(64.0) },
    Line {
        what: "control bytes in, quiet",
        unit: "bytes/s",
        parts: &[("ingress.quiet_s.in_bytes", once)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, 0.21 changes/s",
        unit: "bytes/s",
        parts: &[("ingress.change.in_bytes", changes)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, restarts of others",
        unit: "bytes/s",
        parts: &[("ingress.restart.in_bytes", restarts)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, all join at once",
        unit: "bytes",
        parts: &[("ingress.join.in_bytes", once)],
        bound: None,
    },
];
