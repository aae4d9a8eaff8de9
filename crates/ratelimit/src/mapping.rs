//! The mapping of descriptors to quotas. A descriptor is a list of keys and values. A rule defines which of them a descriptor
//! must have, and which keys contain the account, the plan and the name of the attempt.

use std::collections::BTreeMap;
use thiserror::Error;

/// The result for unknown domains and descriptors, as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownPolicy {
    /// Within the limit.
    Ok,
    /// Over the limit.
    OverLimit,
}

/// Maps matching descriptors to the quotas of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorRule {
    /// The index of the pool.
    pub pool: usize,
    /// Keys and values that a matching descriptor must have.
    pub when: BTreeMap<String, String>,
    /// The key whose value is the account. A matching descriptor must have it.
    pub account_key: String,
    /// The key whose value is the plan.
    pub plan_key: Option<String>,
    /// The plan of descriptors without the plan key.
    pub default_plan: Option<String>,
    /// The key whose value is the name of the attempt, so that the attempt is counted once even if several ingresses receive
    /// it.
    pub attempt_key: Option<String>,
}

impl DescriptorRule {
    /// The number of keys that a matching descriptor must have.
    fn specificity(&self) -> usize {
        self.when.len() + 1
    }

    fn matches(&self, entries: &[(&str, &str)]) -> bool {
        let value = |key: &str| entries.iter().find(|(name, _)| *name == key).map(|(_, value)| *value);
        self.when.iter().all(|(key, required)| value(key) == Some(required))
            && value(&self.account_key).is_some()
    }
}

/// The rules of one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// The rules, in any order: the most specific matching one applies.
    pub rules: Vec<DescriptorRule>,
    /// The result for a descriptor that no rule matches.
    pub unknown_descriptor: UnknownPolicy,
}

/// The rules of all domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mapping {
    domains: BTreeMap<String, Domain>,
    unknown_domain: UnknownPolicy,
}

/// Two rules of a domain that require the same keys and values, so that neither is more specific.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("descriptors {first} and {second} of domain {domain:?} need the same keys and values")]
pub struct DuplicateRules {
    /// The name of the domain.
    pub domain: String,
    /// The index of the earlier rule.
    pub first: usize,
    /// The index of the later rule.
    pub second: usize,
}

impl Mapping {
    /// Creates a mapping with these domains.
    ///
    /// # Errors
    /// Returns all pairs of rules of which neither is more specific.
    pub fn new(
        domains: BTreeMap<String, Domain>,
        unknown_domain: UnknownPolicy,
    ) -> Result<Mapping, Vec<DuplicateRules>> {
        let mut duplicates = Vec::new();
        for (name, domain) in &domains {
            for (second, rule) in domain.rules.iter().enumerate() {
                let is_duplicate =
                    |other: &DescriptorRule| other.when == rule.when && other.account_key == rule.account_key;
                if let Some(first) = domain.rules[..second].iter().position(is_duplicate) {
                    duplicates.push(DuplicateRules { domain: name.clone(), first, second });
                }
            }
        }
        if duplicates.is_empty() {
            Ok(Mapping { domains, unknown_domain })
        } else {
            Err(duplicates)
        }
    }

    /// A mapping without domains.
    pub fn empty(unknown_domain: UnknownPolicy) -> Mapping {
        Mapping { domains: BTreeMap::new(), unknown_domain }
    }

    /// The rules of a domain.
    ///
    /// # Errors
    /// Returns the configured result if the domain is unknown.
    pub fn domain(&self, name: &str) -> Result<&Domain, UnknownPolicy> {
        self.domains.get(name).ok_or(self.unknown_domain)
    }
}

impl Domain {
    /// The rule for a descriptor: the matching rule that requires the most keys. Among several, the first one by keys and
    /// values applies, so that the order of the rules in the settings file has no effect.
    ///
    /// # Errors
    /// Returns the configured result if no rule matches.
    pub fn rule(&self, entries: &[(&str, &str)]) -> Result<&DescriptorRule, UnknownPolicy> {
        let matching = self.rules.iter().filter(|rule| rule.matches(entries));
        let best = matching.max_by(|a, b| {
            let order = |rule: &DescriptorRule| (rule.when.clone(), rule.account_key.clone());
            a.specificity().cmp(&b.specificity()).then_with(|| order(b).cmp(&order(a)))
        });
        best.ok_or(self.unknown_descriptor)
    }
}
