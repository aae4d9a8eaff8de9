//! The descriptors of a rate limit request as queries about quotas, and their results combined to one.

use crate::mapping::{DescriptorRule, Mapping, UnknownPolicy};
use thiserror::Error;

/// What one request may have at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Descriptors.
    pub descriptors: usize,
    /// Entries of a descriptor.
    pub entries: usize,
    /// Bytes of a key, of a value and of a domain.
    pub text_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { descriptors: 64, entries: 32, text_bytes: 256 }
    }
}

/// One descriptor, as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Descriptor<'a> {
    /// Keys and values.
    pub entries: Vec<(&'a str, &'a str)>,
    /// Its own units, where it has some.
    pub hits: Option<u64>,
    /// It asks for units to be taken back.
    pub is_negative: bool,
    /// It has a limit of its own.
    pub has_limit: bool,
}

/// What to ask a pool's decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaQuery {
    /// Index of the pool.
    pub pool: usize,
    /// Name of the account.
    pub account: String,
    /// Name of the plan, where one is stated.
    pub plan: Option<String>,
    /// Units to count; 0 only reads the quota.
    pub units: f64,
    /// Name of the attempt, where it has one: it is counted once wherever it is asked about.
    pub attempt_name: Option<String>,
}

/// Why a request is not valid. Nothing has been counted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidRequest {
    /// The field, with dots and brackets.
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

fn invalid(field: impl Into<String>, reason: &'static str) -> Result<(), InvalidRequest> {
    Err(InvalidRequest { field: field.into(), reason })
}

/// The query of each descriptor, or the result that the configuration states for what is unknown.
///
/// `hits` is the request's own number of units, where 0 stands for 1. The units of a descriptor precede it; there 0 is 0,
/// and only reads the quota.
///
/// # Errors
/// If the request is not valid, or has more of something than `limits`.
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
        // A rule matches only where the account is there.
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
        // With a key twice it would be unclear which value counts, and the caller could choose.
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
    /// Indices of the descriptors whose units have to be refunded, as another one was over its limit: all or nothing.
    pub refunds: Vec<usize>,
}

/// Combines the results of all descriptors: for each, whether it is within its limit.
pub fn combine(within_limits: &[bool]) -> Combined {
    let is_ok = within_limits.iter().all(|within| *within);
    let refunds = within_limits.iter().enumerate().filter(|(_, within)| **within && !is_ok);
    Combined { is_ok, refunds: refunds.map(|(index, _)| index).collect() }
}
