//! Validates the descriptors of a rate limit request, maps them to quota queries, and combines the results.

use crate::mapping::{DescriptorRule, Mapping, UnknownPolicy};
use thiserror::Error;

/// The maximum sizes of the parts of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// The number of descriptors.
    pub descriptors: usize,
    /// The number of entries of a descriptor.
    pub entries: usize,
    /// The length of a key, of a value and of the domain (bytes).
    pub text_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { descriptors: 64, entries: 32, text_bytes: 256 }
    }
}

/// One descriptor of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Descriptor<'a> {
    /// Keys and values.
    pub entries: Vec<(&'a str, &'a str)>,
    /// The units of this descriptor, which override those of the request.
    pub hits: Option<u64>,
    /// Whether the units are to be refunded, which is not supported.
    pub is_negative: bool,
    /// Whether the descriptor overrides the limit, which is not supported.
    pub has_limit: bool,
}

/// A query to a pool's decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaQuery {
    /// The index of the pool.
    pub pool: usize,
    /// The name of the account.
    pub account: String,
    /// The name of the plan, from the descriptor or the default of the rule.
    pub plan: Option<String>,
    /// The units to count; 0 only reads the quota.
    pub units: f64,
    /// The name of the attempt. A named attempt is counted once even if several ingresses receive it.
    pub attempt_name: Option<String>,
}

/// Why a request is invalid. Nothing has been counted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidRequest {
    /// The path of the field, with dots and brackets.
    pub field: String,
    /// Why it is invalid.
    pub reason: &'static str,
}

fn invalid(field: impl Into<String>, reason: &'static str) -> Result<(), InvalidRequest> {
    Err(InvalidRequest { field: field.into(), reason })
}

/// Returns the quota query of each descriptor, or the configured result for an unknown domain or descriptor.
///
/// `hits` is the number of units of the request, where 0 means 1. The units of a descriptor override it; there, 0 means no
/// units, and the query only reads the quota.
///
/// # Errors
/// If the request is invalid or exceeds `limits`.
pub fn quota_queries(
    mapping: &Mapping,
    limits: &RequestLimits,
    domain: &str,
    descriptors: &[Descriptor<'_>],
    hits: u32,
) -> Result<Vec<Result<QuotaQuery, UnknownPolicy>>, InvalidRequest> {
    validate(limits, domain, descriptors)?;
    let domain = match mapping.domain(domain) {
        Ok(domain) => domain,
        Err(policy) => return Ok(descriptors.iter().map(|_| Err(policy)).collect()),
    };
    let default_units = f64::from(hits.max(1));
    let query = |descriptor: &Descriptor<'_>| {
        let rule = domain.rule(&descriptor.entries)?;
        Ok(quota_query(rule, descriptor, descriptor.hits.map_or(default_units, |hits| hits as f64)))
    };
    Ok(descriptors.iter().map(query).collect())
}

fn quota_query(rule: &DescriptorRule, descriptor: &Descriptor<'_>, units: f64) -> QuotaQuery {
    let value = |key: &str| {
        let entry = descriptor.entries.iter().find(|(name, _)| *name == key);
        entry.map(|(_, value)| (*value).to_string())
    };
    QuotaQuery {
        pool: rule.pool,
        // Never empty by default: a rule matches only descriptors with the account key.
        account: value(&rule.account_key).unwrap_or_default(),
        plan: rule.plan_key.as_deref().and_then(value).or_else(|| rule.default_plan.clone()),
        units,
        attempt_name: rule.attempt_key.as_deref().and_then(value),
    }
}

fn validate(
    limits: &RequestLimits,
    domain: &str,
    descriptors: &[Descriptor<'_>],
) -> Result<(), InvalidRequest> {
    if domain.is_empty() {
        return invalid("domain", "is empty");
    }
    if domain.len() > limits.text_bytes {
        return invalid("domain", "is too long");
    }
    if descriptors.is_empty() {
        return invalid("descriptors", "there are none");
    }
    if descriptors.len() > limits.descriptors {
        return invalid("descriptors", "there are too many");
    }
    descriptors.iter().enumerate().try_for_each(|(i, descriptor)| {
        validate_entries(limits, i, descriptor)?;
        validate_options(i, descriptor)
    })
}

fn validate_entries(
    limits: &RequestLimits,
    i: usize,
    descriptor: &Descriptor<'_>,
) -> Result<(), InvalidRequest> {
    let entries = &descriptor.entries;
    if entries.is_empty() {
        return invalid(format!("descriptors[{i}].entries"), "there are none");
    }
    if entries.len() > limits.entries {
        return invalid(format!("descriptors[{i}].entries"), "there are too many");
    }
    for (j, (key, value)) in entries.iter().enumerate() {
        let field = |name: &str| format!("descriptors[{i}].entries[{j}].{name}");
        if key.is_empty() || key.len() > limits.text_bytes {
            return invalid(field("key"), "is empty or too long");
        }
        if value.len() > limits.text_bytes {
            return invalid(field("value"), "is too long");
        }
        // With a repeated key, it would be ambiguous which value counts.
        if entries[..j].iter().any(|(other, _)| other == key) {
            return invalid(field("key"), "stands there twice");
        }
    }
    Ok(())
}

fn validate_options(i: usize, descriptor: &Descriptor<'_>) -> Result<(), InvalidRequest> {
    let field = |name: &str| format!("descriptors[{i}].{name}");
    if descriptor.is_negative {
        return invalid(field("is_negative_hits"), "units cannot be taken back");
    }
    if descriptor.has_limit {
        return invalid(field("limit"), "limits are the plans', and cannot be brought along");
    }
    if descriptor.hits.is_some_and(|hits| hits > u64::from(u32::MAX)) {
        return invalid(field("hits_addend"), "is too large");
    }
    Ok(())
}

/// The result of a request with several descriptors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Combined {
    /// Whether all descriptors are within their limits.
    pub is_ok: bool,
    /// The indices of the descriptors whose units must be refunded, because another descriptor is over its limit: the units
    /// of all descriptors are counted, or none.
    pub refunds: Vec<usize>,
}

/// Combines the results of all descriptors. `within_limits` has, for each one, whether it is within its limit.
pub fn combine(within_limits: &[bool]) -> Combined {
    let is_ok = within_limits.iter().all(|within| *within);
    let refunds = within_limits.iter().enumerate().filter(|(_, within)| **within && !is_ok);
    Combined { is_ok, refunds: refunds.map(|(index, _)| index).collect() }
}
