//! Classes of requests.

use crate::names::check_name;
use crate::section::Section;
use violetyoke_decision::interface::{self, Effect, Group, Micros};

const MS: f64 = 1_000.0;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, unique in its pool.
    pub name: String,
    /// Its targets and rules.
    pub class: interface::Class,
}

impl Class {
    /// Reads the keys of a class. The table may have others, so it is not finished here.
    pub fn read(section: &Section<'_>) -> Class {
        let name = section.required_text("name");
        check_name(section, "name", &name);
        let time =
            |key: &'static str, default: f64| (section.number(key, default, 1.0..=600_000.0) * MS) as Micros;
        let aim = time("aim_ms", 1_000.0);
        if !section.has("effect") {
            // A guess here could make a booking run twice.
            section.error("effect", "is missing: safe, keyed or unsafe");
        }
        let class = interface::Class {
            aim,
            aim_stretch: 0.0,
            deadline: time("deadline_ms", aim as f64 / MS * 2.0),
            effect: section.choice(
                "effect",
                Effect::Unsafe,
                &[("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)],
            ),
            group: section.choice(
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
