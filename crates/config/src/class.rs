//! Classes of requests.

use crate::names::check_name;
use crate::section::Section;
use violetyoke_decision::interface::{self, DedupScope, Idempotency, Micros};

const MS: f64 = 1_000.0;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, which is unique in the pool.
    pub name: String,
    /// The settings of the class for the decision module.
    pub class: interface::Class,
}

impl Class {
    /// Reads the keys of a class. The table may have further keys, so the caller calls [`Section::finish`].
    pub fn read(section: &Section<'_>) -> Class {
        let name = section.required_text("name");
        check_name(section, "name", &name);
        let time =
            |key: &'static str, default: f64| (section.number(key, default, 1.0..=600_000.0) * MS) as Micros;
        let latency_target = time("aim_ms", 1_000.0);
        if !section.has("effect") {
            // There is no default: a wrong one could have a booking executed twice.
            section.error("effect", "is missing: safe, keyed or unsafe");
        }
        let class = interface::Class {
            latency_target,
            latency_target_stretch: 0.0,
            deadline: time("deadline_ms", latency_target as f64 / MS * 2.0),
            idempotency: section.choice(
                "effect",
                Idempotency::AtMostOnce,
                &[
                    ("safe", Idempotency::Idempotent),
                    ("keyed", Idempotency::Deduplicated),
                    ("unsafe", Idempotency::AtMostOnce),
                ],
            ),
            dedup_scope: section.choice(
                "group",
                DedupScope::All,
                &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)],
            ),
            dedup_window: (section.number("repeat_window_ms", 0.0, 0.0..=86_400_000.0) * MS) as Micros,
            late_value: 0.0,
            value: section.number("value", 1.0, 1e-6..=1e6),
            streamed: false,
            admission_only: false,
        };
        if class.deadline < class.latency_target {
            section.error("deadline_ms", "is before aim_ms");
        }
        Class { name, class }
    }
}
