//! The table itself: for each host, one matcher for each kind of route. Routes of one kind state the same method and
//! class, and are complete paths or prefixes of one length: `matchit` does not accept a prefix beside a parameter, and so
//! compares only within a kind; between kinds the ranks of the paths decide.

use crate::host::HostPattern;
use crate::path::{PathPattern, Rank};
use matchit::Router;
use std::collections::HashMap;

/// One route. A look-up gives its number in the list that the table was built of.
#[derive(Clone, Debug)]
pub struct Route {
    /// The hosts that it is for.
    pub host: HostPattern,
    /// The paths that it is for.
    pub path: PathPattern,
    /// Only requests of this method; `None`: of any.
    pub method: Option<String>,
    /// Only requests whose class header says this; `None`: whatever it says.
    pub class: Option<String>,
}

/// Two routes, by their numbers, of which neither is more specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("routes {first} and {second} match the same requests, and neither is more specific")]
pub struct Conflict {
    /// The first in the list.
    pub first: usize,
    /// The other one.
    pub second: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kind {
    method: Option<String>,
    class: Option<String>,
    /// How many segments a prefix has.
    prefix_length: Option<usize>,
}

/// Looks requests up in time that does not grow with the number of routes.
#[derive(Default)]
pub struct RouteTable {
    names: HashMap<String, Paths>,
    below: HashMap<String, Paths>,
    any: Paths,
    routes: usize,
}

/// The routes of one host: few kinds, many paths.
#[derive(Default)]
struct Paths {
    kinds: Vec<(Kind, Router<(usize, Rank)>)>,
}

impl RouteTable {
    /// Builds the table.
    ///
    /// # Errors
    /// All conflicts between two routes.
    pub fn build(routes: &[Route]) -> Result<RouteTable, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        // The route of each pattern of each host and kind, before the matchers are filled.
        let mut slots: HashMap<(&HostPattern, Kind, String), (usize, Rank)> = HashMap::new();
        for (number, route) in routes.iter().enumerate() {
            let rank = route.path.rank();
            for pattern in route.path.patterns() {
                let prefix_length = route.path.is_prefix.then_some(route.path.segments.len());
                let kind = Kind { method: route.method.clone(), class: route.class.clone(), prefix_length };
                let slot = slots.entry((&route.host, kind, pattern)).or_insert((number, rank.clone()));
                if slot.0 != number {
                    let conflict = Conflict { first: slot.0, second: number };
                    if !conflicts.contains(&conflict) {
                        conflicts.push(conflict);
                    }
                }
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut table = RouteTable { routes: routes.len(), ..RouteTable::default() };
        let mut slots: Vec<_> = slots.into_iter().collect();
        // One order of insertion for one list of routes: the matcher's layout does not depend on chance.
        slots.sort_by(|a, b| (a.1 .0, &a.0 .2).cmp(&(b.1 .0, &b.0 .2)));
        for ((host, kind, pattern), value) in slots {
            let paths = match host {
                HostPattern::Name(name) => table.names.entry(name.clone()).or_default(),
                HostPattern::Subdomains(name) => table.below.entry(name.clone()).or_default(),
                HostPattern::Any => &mut table.any,
            };
            let (first, second) = (value.0, value.0);
            // Patterns are in the matcher's own syntax, each of them once: this cannot fail.
            paths.router(kind).insert(pattern, value).map_err(|_| vec![Conflict { first, second }])?;
        }
        Ok(table)
    }

    /// How many routes it has.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Whether it has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }

    /// The number of the route of a request: by its host and path in normal form, its method, and its class where it
    /// states one.
    #[must_use]
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

impl Kind {
    fn fits(&self, method: &str, class: Option<&str>) -> bool {
        self.method.as_deref().is_none_or(|only| only == method)
            && self.class.as_deref().is_none_or(|only| Some(only) == class)
    }
}

/// A route that matches a request.
struct Candidate<'a> {
    rank: &'a Rank,
    has_method: bool,
    has_class: bool,
    number: usize,
}

impl Candidate<'_> {
    /// The greater one wins.
    fn specificity(&self) -> impl PartialOrd + '_ {
        (self.rank, self.has_method, self.has_class)
    }
}

impl Paths {
    fn router(&mut self, kind: Kind) -> &mut Router<(usize, Rank)> {
        let position = self.kinds.iter().position(|(known, _)| *known == kind);
        let position = position.unwrap_or_else(|| {
            self.kinds.push((kind, Router::new()));
            self.kinds.len() - 1
        });
        &mut self.kinds[position].1
    }

    fn find(&self, path: &str, method: &str, class: Option<&str>) -> Option<usize> {
        let mut best: Option<Candidate<'_>> = None;
        for (kind, router) in self.kinds.iter().filter(|(kind, _)| kind.fits(method, class)) {
            let Ok(found) = router.at(path) else { continue };
            let (number, rank) = found.value;
            let candidate = Candidate {
                rank,
                has_method: kind.method.is_some(),
                has_class: kind.class.is_some(),
                number: *number,
            };
            if best.as_ref().is_none_or(|best| best.specificity() < candidate.specificity()) {
                best = Some(candidate);
            }
        }
        best.map(|best| best.number)
    }
}
