//! The table itself: for each host, one matcher for each kind of rule. Rules of one kind state the same method
//! and class, and are whole paths or open ones of one length: `matchit` does not take an open end beside a
//! parameter, and so compares only within a kind; between kinds the ranks of the paths decide.

use crate::host::Host;
use crate::path::{Path, Rank};
use matchit::Router;
use std::collections::HashMap;
use std::fmt;

/// One route; its number in the list that a table is built of is what a look-up gives.
#[derive(Clone, Debug)]
pub struct Rule {
    pub host: Host,
    pub path: Path,
    /// Only requests of this method; none: of any.
    pub method: Option<String>,
    /// Only requests whose class header says this; none: whatever it says.
    pub class: Option<String>,
}

/// Two rules, by their numbers, of which none is more specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    pub first: usize,
    pub second: usize,
}

impl fmt::Display for Tie {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "routes {} and {} match the same requests, and neither is more specific",
            self.first, self.second
        )
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kind {
    method: Option<String>,
    class: Option<String>,
    /// Segments before the open end.
    open: Option<usize>,
}

/// Looks requests up in time that does not grow with the number of routes.
#[derive(Default)]
pub struct Table {
    names: HashMap<String, Paths>,
    below: HashMap<String, Paths>,
    any: Paths,
    rules: usize,
}

/// The routes of one host: few kinds, many paths.
#[derive(Default)]
struct Paths {
    kinds: Vec<(Kind, Router<(usize, Rank)>)>,
}

impl Table {
    /// Builds the table, or tells of all ties.
    pub fn build(rules: &[Rule]) -> Result<Table, Vec<Tie>> {
        let mut ties = Vec::new();
        // What each pattern of each host and kind stands for, before the matchers are filled.
        let mut slots: HashMap<(&Host, Kind, String), (usize, Rank)> = HashMap::new();
        for (number, rule) in rules.iter().enumerate() {
            let rank = rule.path.rank();
            for pattern in rule.path.patterns() {
                let open = rule.path.open.then_some(rule.path.segments.len());
                let kind = Kind { method: rule.method.clone(), class: rule.class.clone(), open };
                let slot = slots.entry((&rule.host, kind, pattern)).or_insert((number, rank.clone()));
                if slot.0 != number {
                    let tie = Tie { first: slot.0, second: number };
                    if !ties.contains(&tie) {
                        ties.push(tie);
                    }
                }
            }
        }
        if !ties.is_empty() {
            return Err(ties);
        }
        let mut table = Table { rules: rules.len(), ..Table::default() };
        let mut slots: Vec<_> = slots.into_iter().collect();
        // One order of insertion for one list of rules: the matcher's layout does not depend on chance.
        slots.sort_by(|a, b| (a.1 .0, &a.0 .2).cmp(&(b.1 .0, &b.0 .2)));
        for ((host, kind, pattern), value) in slots {
            let paths = match host {
                Host::Name(name) => table.names.entry(name.clone()).or_default(),
                Host::Below(name) => table.below.entry(name.clone()).or_default(),
                Host::Any => &mut table.any,
            };
            let (first, second) = (value.0, value.0);
            // Patterns are in the matcher's own form and stand here once each: this cannot fail.
            paths.router(kind).insert(pattern, value).map_err(|_| vec![Tie { first, second }])?;
        }
        Ok(table)
    }

    /// How many rules it holds.
    pub fn len(&self) -> usize {
        self.rules
    }

    pub fn is_empty(&self) -> bool {
        self.rules == 0
    }

    /// The number of the rule for a request: its host and path in normal form, its method, and its class
    /// where it states one.
    pub fn find(&self, host: &str, path: &str, method: &str, class: Option<&str>) -> Option<usize> {
        let find = |paths: &Paths| paths.find(path, method, class);
        if let Some(found) = self.names.get(host).and_then(find) {
            return Some(found);
        }
        if !self.below.is_empty() {
            let mut rest = host;
            while let Some((_, below)) = rest.split_once('.') {
                if let Some(found) = self.below.get(below).and_then(find) {
                    return Some(found);
                }
                rest = below;
            }
        }
        find(&self.any)
    }
}

impl Paths {
    fn router(&mut self, kind: Kind) -> &mut Router<(usize, Rank)> {
        let place = self.kinds.iter().position(|(known, _)| *known == kind);
        let place = place.unwrap_or_else(|| {
            self.kinds.push((kind, Router::new()));
            self.kinds.len() - 1
        });
        &mut self.kinds[place].1
    }

    fn find(&self, path: &str, method: &str, class: Option<&str>) -> Option<usize> {
        let mut best: Option<(&Rank, bool, bool, usize)> = None;
        for (kind, router) in &self.kinds {
            let fits = kind.method.as_deref().is_none_or(|only| only == method)
                && kind.class.as_deref().is_none_or(|only| Some(only) == class);
            if !fits {
                continue;
            }
            if let Ok(found) = router.at(path) {
                let (number, rank) = found.value;
                let candidate = (rank, kind.method.is_some(), kind.class.is_some(), *number);
                if best.is_none_or(|best| (best.0, best.1, best.2) < (candidate.0, candidate.1, candidate.2))
                {
                    best = Some(candidate);
                }
            }
        }
        best.map(|(.., number)| number)
    }
}
