//! What descriptors stand for. A descriptor is a list of keys and values; a rule says which of them it needs to
//! have, and which of them are the account, the plan, the class and the try.

use std::collections::BTreeMap;
use std::fmt;

/// The answer to what is not known, as the configuration states it: never a guess.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    Ok,
    OverLimit,
}

/// One kind of descriptor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Number of the pool whose quotas it is about.
    pub pool: usize,
    /// Keys that must be there with these values.
    pub when: BTreeMap<String, String>,
    /// The key whose value is the account. It must be there.
    pub account: String,
    /// The key whose value is the plan, and the plan where it is not there.
    pub plan_key: Option<String>,
    pub plan: Option<String>,
    /// The key whose value names the try, so that it is counted once wherever it is asked about.
    pub try_key: Option<String>,
}

impl Rule {
    /// Keys that a descriptor must have.
    fn needs(&self) -> usize {
        self.when.len() + 1
    }

    fn fits(&self, entries: &[(&str, &str)]) -> bool {
        let value = |key: &str| entries.iter().find(|(name, _)| *name == key).map(|(_, value)| *value);
        self.when.iter().all(|(key, wanted)| value(key) == Some(wanted)) && value(&self.account).is_some()
    }
}

/// The rules of one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    pub rules: Vec<Rule>,
    pub unknown_descriptor: Unknown,
}

/// All domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mapping {
    domains: BTreeMap<String, Domain>,
    unknown_domain: Unknown,
}

/// Two rules of a domain that need the same keys and values: neither is more specific.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duplicate {
    pub domain: String,
    pub first: usize,
    pub second: usize,
}

impl fmt::Display for Duplicate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Duplicate { domain, first, second } = self;
        write!(f, "descriptors {first} and {second} of domain {domain:?} need the same keys and values")
    }
}

impl Mapping {
    pub fn new(
        domains: BTreeMap<String, Domain>,
        unknown_domain: Unknown,
    ) -> Result<Mapping, Vec<Duplicate>> {
        let mut duplicates = Vec::new();
        for (name, domain) in &domains {
            for (second, rule) in domain.rules.iter().enumerate() {
                let same = |other: &Rule| other.when == rule.when && other.account == rule.account;
                if let Some(first) = domain.rules[..second].iter().position(same) {
                    duplicates.push(Duplicate { domain: name.clone(), first, second });
                }
            }
        }
        if duplicates.is_empty() {
            Ok(Mapping { domains, unknown_domain })
        } else {
            Err(duplicates)
        }
    }

    /// Knows nothing.
    pub fn empty(unknown_domain: Unknown) -> Mapping {
        Mapping { domains: BTreeMap::new(), unknown_domain }
    }

    pub fn domain(&self, name: &str) -> Result<&Domain, Unknown> {
        self.domains.get(name).ok_or(self.unknown_domain)
    }
}

impl Domain {
    /// The rule for a descriptor: the one that needs most of those that it fits, and of several of them the
    /// first by their keys and values, so that the order in the file does not count.
    pub fn rule(&self, entries: &[(&str, &str)]) -> Result<&Rule, Unknown> {
        let fitting = self.rules.iter().filter(|rule| rule.fits(entries));
        let best = fitting.max_by(|a, b| {
            let order = |rule: &Rule| (rule.when.clone(), rule.account.clone());
            a.needs().cmp(&b.needs()).then_with(|| order(b).cmp(&order(a)))
        });
        best.ok_or(self.unknown_descriptor)
    }
}
