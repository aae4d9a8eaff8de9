//! A request's descriptors as questions about quotas, and their answers as one.

use crate::mapping::{Mapping, Rule, Unknown};
use std::fmt;

/// What one request may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub descriptors: usize,
    pub entries: usize,
    /// Bytes of a key, of a value and of a domain.
    pub text: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { descriptors: 64, entries: 32, text: 256 }
    }
}

/// One descriptor, as it came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked<'a> {
    pub entries: Vec<(&'a str, &'a str)>,
    /// Its own units, where it has some.
    pub hits: Option<u64>,
    /// It asks to take units back.
    pub negative: bool,
    /// It brings a limit of its own.
    pub overrides: bool,
}

/// What to ask a pool's module.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    pub pool: usize,
    pub account: String,
    pub plan: Option<String>,
    pub units: f64,
    /// Where the try has a name.
    pub named: Option<String>,
}

/// What is wrong with a request, with the field's name. Nothing has been counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: String,
    pub reason: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

fn fault<T>(field: impl Into<String>, reason: &'static str) -> Result<T, Fault> {
    Err(Fault { field: field.into(), reason })
}

/// Each descriptor's question, or the answer that the configuration states for what is not known. `hits` is the
/// request's own number of units, 0 standing for one; a descriptor's own goes before it, and there 0 is none: it
/// asks how things stand.
pub fn questions(
    mapping: &Mapping,
    bounds: &Bounds,
    domain: &str,
    asked: &[Asked<'_>],
    hits: u32,
) -> Result<Vec<Result<Question, Unknown>>, Fault> {
    if domain.is_empty() {
        return fault("domain", "is empty");
    }
    if domain.len() > bounds.text {
        return fault("domain", "is too long");
    }
    if asked.is_empty() {
        return fault("descriptors", "there are none");
    }
    if asked.len() > bounds.descriptors {
        return fault("descriptors", "there are too many");
    }
    for (number, descriptor) in asked.iter().enumerate() {
        let field = |name: &str| format!("descriptors[{number}].{name}");
        if descriptor.entries.is_empty() {
            return fault(field("entries"), "there are none");
        }
        if descriptor.entries.len() > bounds.entries {
            return fault(field("entries"), "there are too many");
        }
        for (place, (key, value)) in descriptor.entries.iter().enumerate() {
            if key.is_empty() || key.len() > bounds.text {
                return fault(field(&format!("entries[{place}].key")), "is empty or too long");
            }
            if value.len() > bounds.text {
                return fault(field(&format!("entries[{place}].value")), "is too long");
            }
            // Said twice, it is unclear which one holds, and whoever asks could choose.
            if descriptor.entries[..place].iter().any(|(other, _)| other == key) {
                return fault(field(&format!("entries[{place}].key")), "stands there twice");
            }
        }
        if descriptor.negative {
            return fault(field("is_negative_hits"), "units cannot be taken back");
        }
        if descriptor.overrides {
            return fault(field("limit"), "limits are the plans', and cannot be brought along");
        }
        if descriptor.hits.is_some_and(|hits| hits > u64::from(u32::MAX)) {
            return fault(field("hits_addend"), "is too large");
        }
    }
    let domain = match mapping.domain(domain) {
        Ok(domain) => domain,
        Err(unknown) => return Ok(asked.iter().map(|_| Err(unknown)).collect()),
    };
    let usual = f64::from(hits.max(1));
    let question = |descriptor: &Asked<'_>| {
        let rule = domain.rule(&descriptor.entries)?;
        Ok(question(rule, descriptor, descriptor.hits.map_or(usual, |hits| hits as f64)))
    };
    Ok(asked.iter().map(question).collect())
}

fn question(rule: &Rule, descriptor: &Asked<'_>, units: f64) -> Question {
    let value = |key: &str| {
        let entry = descriptor.entries.iter().find(|(name, _)| *name == key);
        entry.map(|(_, value)| value.to_string())
    };
    Question {
        pool: rule.pool,
        account: value(&rule.account).unwrap_or_default(),
        plan: rule.plan_key.as_deref().and_then(value).or_else(|| rule.plan.clone()),
        units,
        named: rule.try_key.as_deref().and_then(value),
    }
}

/// What becomes of a request with several descriptors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub ok: bool,
    /// Numbers of the descriptors that were let in and are to be given back, as another one was over: all or
    /// nothing.
    pub given_back: Vec<usize>,
}

/// `let_in`: for each descriptor, whether it is within its limit.
pub fn verdict(let_in: &[bool]) -> Verdict {
    let ok = let_in.iter().all(|within| *within);
    let given_back =
        let_in.iter().enumerate().filter(|(_, within)| **within && !ok).map(|(number, _)| number);
    Verdict { ok, given_back: given_back.collect() }
}
