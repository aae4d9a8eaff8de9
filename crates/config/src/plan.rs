//! Plans of accounts.

use crate::names::check_name;
use crate::section::Section;
use violetyoke_decision::interface::Plan;

/// Reads the name and the keys of a plan. The table may have further keys, so the caller calls [`Section::finish`].
pub fn read_plan(section: &Section<'_>) -> (String, Plan) {
    let name = section.required_text("name");
    check_name(section, "name", &name);
    let amount = |key: &'static str| section.number(key, 0.0, 0.0..=1e9);
    let plan = Plan {
        rate: amount("rate"),
        burst: amount("burst"),
        max_in_flight: amount("open"),
        value: section.number("worth", 1.0, 1e-6..=1e6),
        hard_limit_rate: amount("ceiling_rate"),
        hard_limit_burst: amount("ceiling_burst"),
        ..Plan::default()
    };
    if plan.rate > 0.0 && plan.burst < 1.0 {
        section.error("burst", "must be 1 or more where there is a rate");
    }
    if plan.hard_limit_rate > 0.0 && (plan.hard_limit_rate < plan.rate || plan.hard_limit_burst < plan.burst)
    {
        section.error("ceiling_rate", "rate and burst of the ceiling must not be below the plan's");
    }
    (name, plan)
}
