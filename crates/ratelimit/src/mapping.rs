//! What descriptors stand for. A descriptor is a list of keys and values; a rule says which of them it must have, and
//! which of them are the account, the plan and the attempt's name.

use std::collections::BTreeMap;
use thiserror::Error;

/// The result for what is unknown, as the configuration states it: never a guess.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownPolicy {
    /// Within the limit.
    Ok,
    /// Over the limit.
    OverLimit,
}

/// Which descriptors are about which pool, and how they are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorRule {
    /// Index of the pool whose quotas they are about.
    pub pool: usize,
    /// Keys that must be there with these values.
    pub when: BTreeMap<String, String>,
    /// The key whose value is the account. It must be there.
    pub account_key: String,
    /// The key whose value is the plan.
    pub plan_key: Option<String>,
    /// The plan where that key is not there.
    pub default_plan: Option<String>,
    /// The key whose value names the attempt, so that it is counted once wherever it is asked about.
    pub attempt_key: Option<String>,
}

impl DescriptorRule {
    /// Number of keys that a descriptor must have.
    fn specificity(&self) -> usize {
        self.when.len() + 1
    }

    fn matches(&self, entries: &[(&str, &str)]) -> bool {
        let value = |key: &str| entries.iter().find(|(name, _)| *name == key).map(|(_, value)| *value);
        self.when.iter().all(|(key, wanted)| value(key) == Some(wanted)) && value(&self.account_key).is_some()
    }
}

/// The rules of one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// In any order: the most specific one applies.
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

/// Two rules of a domain that need the same keys and values: neither is more specific.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("descriptors {first} and {second} of domain {domain:?} need the same keys and values")]
pub struct DuplicateRules {
    /// Name of the domain.
    pub domain: String,
    /// Index of the earlier rule.
    pub first: usize,
    /// Index of the later rule.
    pub second: usize,
}

impl Mapping {
    /// The mapping by these domains.
    ///
    /// # Errors
    /// Names all pairs of rules of which neither is more specific.
    pub fn new(
        domains: BTreeMap<String, Domain>,
        unknown_domain: UnknownPolicy,
    ) -> Result<Mapping, Vec<DuplicateRules>> {
        let mut duplicates = Vec::new();
        for (name, domain) in &domains {
            for (second, rule) in domain.rules.iter().enumerate() {
                let same =
                    |other: &DescriptorRule| other.when == rule.when && other.account_key == rule.account_key;
                if let Some(first) = domain.rules[..second].iter().position(same) {
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
    /// The result for an unknown domain.
    pub fn domain(&self, name: &str) -> Result<&Domain, UnknownPolicy> {
        self.domains.get(name).ok_or(self.unknown_domain)
    }
}

impl Domain {
    /// The rule for a descriptor: of those that match it the one that needs the most keys, and of several of them the first
    /// by keys and values, so that their order in the file doesn't matter.
    ///
    /// # Errors
    /// The result for a descriptor that no rule matches.
    pub fn rule(&self, entries: &[(&str, &str)]) -> Result<&DescriptorRule, UnknownPolicy> {
        let matching = self.rules.iter().filter(|rule| rule.matches(entries));
        let best = matching.max_by(|a, b| {
            let order = |rule: &DescriptorRule| (rule.when.clone(), rule.account_key.clone());
            a.specificity().cmp(&b.specificity()).then_with(|| order(b).cmp(&order(a)))
        });
        best.ok_or(self.unknown_descriptor)
    }
}
