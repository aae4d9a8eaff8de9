//! Kinds that not every deployment knows, and the faults that close a day.

use super::kinds::{range, Kind, FAULT};

/// Kinds that only the grown deployments' contracts know.
pub const GROWN: &[Kind] = &[
    Kind {
        name: "srv_grey",
        how: &["", "errors", "shed", "busy", "hang", "reset", "mute"],
        share: range(0.1, 0.2),
        x: range(0.2, 0.5),
        for_s: range(3.0, 8.0),
        ..FAULT
    },
    Kind {
        name: "srv_lying_health",
        how: &["", "errors", "hang", "reset", "bad"],
        share: range(0.1, 0.2),
        for_s: range(3.0, 8.0),
        ..FAULT
    },
    Kind {
        name: "srv_flap",
        share: range(0.1, 0.2),
        for_s: range(3.0, 8.0),
        gap_s: range(0.5, 1.5),
        ..FAULT
    },
    Kind {
        name: "idle_race",
        share: range(0.2, 0.6),
        x: range(100.0, 600.0),
        for_s: range(3.0, 10.0),
        ..FAULT
    },
];

/// Kinds of closing faults, and their variants.
pub const CLOSINGS: &[(&str, &[&str])] = &[
    ("power_off_all", &["", "timed", "taken"]),
    ("wipe_after_ack", &["", "timed", "aimed", "oldest"]),
    ("kill_all", &["", "timed", "taken"]),
];
