//! Consistency checks between values of settings that are valid on their own.

use crate::error::{Problem, SettingsError};
use violetyoke_decision::interface::{Class, Plan, Settings};

/// Checks that the settings are consistent.
///
/// # Errors
/// Returns the first key that contradicts another one.
pub(crate) fn check_consistency(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return Err(SettingsError::NoClassesOrPlans);
    }
    if settings.gateways == 0 || settings.index >= settings.gateways {
        return Err(key_error("self-index", Problem::IndexOutOfRange));
    }
    if settings.limits.max_attempts == 0 {
        return Err(key_error("bounds.attempts-cap", Problem::Zero));
    }
    for (i, class) in settings.classes.iter().enumerate() {
        check_class(class).map_err(|problem| key_error(format!("categories[{i}]"), problem))?;
    }
    for (i, plan) in settings.plans.iter().enumerate() {
        check_plan(plan).map_err(|problem| key_error(format!("tariffs[{i}]"), problem))?;
    }
    Ok(())
}

fn key_error(path: impl Into<String>, problem: Problem) -> SettingsError {
    SettingsError::Key { path: path.into(), problem }
}

fn check_class(class: &Class) -> Result<(), Problem> {
    if class.latency_target == 0 || class.deadline < class.latency_target {
        return Err(Problem::NoTargetWithinDeadline);
    }
    Ok(())
}

fn check_plan(plan: &Plan) -> Result<(), Problem> {
    if plan.rate > 0.0 && plan.burst <= 0.0 {
        return Err(Problem::RateWithoutBurst);
    }
    if plan.hard_limit_rate > 0.0 && plan.hard_limit_burst <= 0.0 {
        return Err(Problem::HardLimitWithoutBurst);
    }
    Ok(())
}
