//! The kinds of trouble that a drawn day is made of, with the ranges that their fields are drawn from.

/// A field's value is drawn evenly from this range.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    pub low: f64,
    pub high: f64,
}

pub(super) const fn range(low: f64, high: f64) -> Option<Range> {
    Some(Range { low, high })
}

/// One kind of trouble or of planned work, as a day's file names it.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Planned work stands under `plan`, all else under `faults`.
    pub planned: bool,
    /// It strikes the control side: these are drawn more often.
    pub control: bool,
    /// Variants; an empty one leaves the field out.
    pub how: &'static [&'static str],
    /// The class of machines that it may strike; an empty one leaves the field out.
    pub on: &'static [&'static str],
    pub for_s: Option<Range>,
    pub gap_s: Option<Range>,
    pub share: Option<Range>,
    pub count: Option<Range>,
    pub x: Option<Range>,
}

pub(super) const FAULT: Kind = Kind {
    name: "",
    planned: false,
    control: false,
    how: &[""],
    on: &[""],
    for_s: None,
    gap_s: None,
    share: None,
    count: None,
    x: None,
};
const PLAN: Kind = Kind { planned: true, ..FAULT };
const CONTROL: Kind = Kind { control: true, ..FAULT };
const ORDER: Kind = Kind { planned: true, control: true, ..FAULT };

/// Every kind that may come on any deployment.
pub const KINDS: &[Kind] = &[
    Kind { name: "hot_tenant", x: range(3.0, 9.0), for_s: range(3.0, 8.0), ..FAULT },
    Kind { name: "burst", x: range(1.3, 2.0), for_s: range(2.0, 6.0), ..FAULT },
    Kind { name: "retry_abuse", share: range(0.1, 0.4), x: range(1.0, 4.0), for_s: range(3.0, 8.0), ..FAULT },
    Kind {
        name: "srv_crash",
        how: &["", "dark", "gone"],
        share: range(0.05, 0.2),
        for_s: range(2.0, 6.0),
        ..FAULT
    },
    Kind { name: "give_up", share: range(0.1, 0.5), for_s: range(3.0, 8.0), ..FAULT },
    Kind { name: "srv_slow", share: range(0.1, 0.3), x: range(2.0, 5.0), for_s: range(3.0, 6.0), ..FAULT },
    Kind { name: "replace_with_reuse", how: &["", "drain", "dark"], share: range(0.05, 0.2), ..FAULT },
    Kind { name: "cold_return", planned: false, how: &["", "dark"], for_s: range(2.0, 5.0), ..FAULT },
    Kind {
        name: "answer_lost",
        share: range(0.2, 0.5),
        x: range(0.01, 0.04),
        for_s: range(3.0, 6.0),
        ..FAULT
    },
    Kind {
        name: "garble",
        how: &["", "extra"],
        share: range(0.2, 0.5),
        x: range(0.01, 0.03),
        for_s: range(3.0, 6.0),
        ..FAULT
    },
    Kind { name: "release", share: range(0.2, 0.5), x: range(1.0, 2.0), gap_s: range(0.6, 1.4), ..PLAN },
    Kind { name: "scale_in", how: &["", "spot"], share: range(0.1, 0.2), ..PLAN },
    Kind { name: "scale_out", share: range(0.1, 0.4), gap_s: range(1.0, 4.0), ..PLAN },
    Kind {
        name: "node_kill",
        control: true,
        how: &[
            "",
            "power",
            "power leader",
            "leader",
            "leader meet",
            "power reader",
            "power seed",
            "power meet race hard",
        ],
        on: &["", "core"],
        for_s: range(1.0, 12.0),
        count: range(1.0, 2.0),
        ..FAULT
    },
    Kind {
        name: "roll_term",
        planned: true,
        control: true,
        how: &["", "busy", "remove"],
        on: &["", "core", "core"],
        gap_s: range(2.0, 5.0),
        share: range(0.3, 1.0),
        ..FAULT
    },
    Kind { name: "herd_kill", how: &["", "power"], share: range(0.3, 0.6), for_s: range(0.8, 2.5), ..FAULT },
    Kind {
        name: "herd_kill",
        on: &["core"],
        how: &["", "power", "off", "taken", "taken all"],
        for_s: range(0.5, 2.0),
        ..CONTROL
    },
    Kind {
        name: "after_ack_kill",
        how: &["", "kill", "timed", "taken"],
        for_s: range(1.0, 8.0),
        count: range(1.0, 2.0),
        ..CONTROL
    },
    Kind {
        name: "after_ack_wipe",
        how: &["", "timed", "oldest"],
        for_s: range(1.0, 6.0),
        count: range(1.0, 2.0),
        ..CONTROL
    },
    Kind { name: "disk_stall", for_s: range(1.0, 6.0), count: range(1.0, 2.0), ..CONTROL },
    Kind {
        name: "disk_slow",
        for_s: range(3.0, 15.0),
        count: range(1.0, 3.0),
        x: range(10.0, 30.0),
        ..CONTROL
    },
    Kind { name: "disk_full", for_s: range(2.0, 10.0), count: range(1.0, 2.0), ..CONTROL },
    Kind { name: "zone_loss", for_s: range(3.0, 6.0), ..CONTROL },
    Kind { name: "zone_cut", for_s: range(3.0, 20.0), ..CONTROL },
    Kind {
        name: "core_cut",
        how: &[
            "",
            "leader",
            "one_way",
            "seeds",
            "both",
            "leader meet",
            "leader race",
            "leader meet race hard",
            "reader",
            "leader one_way",
            "reset",
            "refuse leader",
            "split",
            "split meet race",
            "behind",
            "relieve",
            "oldest",
            "near",
            "all",
            "lure",
        ],
        for_s: range(3.0, 20.0),
        ..CONTROL
    },
    Kind {
        name: "node_cut",
        how: &["", "servers", "reset"],
        share: range(0.1, 0.3),
        for_s: range(2.0, 10.0),
        ..FAULT
    },
    Kind {
        name: "node_freeze",
        control: true,
        on: &["", "core", "core"],
        how: &["", "leader", "meet race"],
        count: range(1.0, 2.0),
        for_s: range(1.0, 12.0),
        ..FAULT
    },
    Kind {
        name: "node_slow",
        on: &["", "core"],
        how: &["", "leader"],
        count: range(1.0, 2.0),
        x: range(3.0, 6.0),
        for_s: range(3.0, 12.0),
        ..CONTROL
    },
    Kind {
        name: "replace_core",
        how: &["", "", "planned", "leader", "planned leader", "oldest"],
        x: range(0.5, 2.5),
        ..CONTROL
    },
    Kind { name: "seed_turnover", ..CONTROL },
    Kind {
        name: "clock_step",
        how: &["", "back", "ahead"],
        x: range(500.0, 4000.0),
        share: range(0.2, 0.6),
        for_s: range(2.0, 8.0),
        ..FAULT
    },
    Kind { name: "hup", share: range(0.2, 1.0), gap_s: range(0.5, 3.0), ..PLAN },
    Kind { name: "reset_conns", share: range(0.1, 0.5), x: range(0.3, 1.0), ..FAULT },
    Kind { name: "ack_lost", x: range(0.4, 0.8), for_s: range(4.0, 15.0), ..CONTROL },
    Kind {
        name: "config_change",
        how: &["route", "weights", "timeout", "tenant", "quota", "idle"],
        count: None,
        ..ORDER
    },
    Kind {
        name: "config_change",
        how: &["route", "weights", "timeout", "tenant", "quota", "idle"],
        count: None,
        ..ORDER
    },
    Kind { name: "config_race", count: range(1.0, 4.0), gap_s: range(0.4, 1.5), ..ORDER },
    Kind {
        name: "bad_config",
        how: &[
            "",
            "cut_short",
            "unknown_service",
            "same_place",
            "no_weight",
            "no_timeout",
            "old_version",
            "same_version",
            "stale_match",
            "shared_key",
        ],
        count: range(1.0, 4.0),
        gap_s: range(0.4, 1.5),
        ..ORDER
    },
    Kind { name: "big_config", count: range(100.0, 500.0), ..ORDER },
    Kind { name: "revoke", count: range(1.0, 3.0), gap_s: range(0.5, 2.0), ..ORDER },
    Kind { name: "evacuate", how: &["", "warm"], for_s: range(3.0, 8.0), ..ORDER },
];
