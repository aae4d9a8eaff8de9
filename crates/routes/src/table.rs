//! The route table. Each host pattern has one `matchit` router for each kind of route. Routes of one kind require the same
//! method and the same class, and are either complete paths or prefixes with the same number of segments. Prefixes have
//! routers of their own because `matchit` does not accept a catch-all beside a parameter. A router finds the
//! best route of its kind; among the routes found, the ranks of their paths decide.

use crate::host::HostPattern;
use crate::path::{PathPattern, Rank};
use matchit::Router;
use std::collections::HashMap;

/// One route. A lookup returns its index in the list that the table was built from.
#[derive(Clone, Debug)]
pub struct Route {
    /// The hosts that it matches.
    pub host: HostPattern,
    /// The paths that it matches.
    pub path: PathPattern,
    /// The required method; `None` matches any method.
    pub method: Option<String>,
    /// The required value of the class header; `None` matches any value and a missing header.
    pub class: Option<String>,
}

/// Two routes that match the same requests and of which neither is more specific.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("routes {first} and {second} match the same requests, and neither is more specific")]
pub struct Conflict {
    /// The index of the route that comes first in the list.
    pub first: usize,
    /// The index of the other route.
    pub second: usize,
}

/// What the routes in one `matchit` router have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RouteKind {
    method: Option<String>,
    class: Option<String>,
    /// The number of segments of a prefix; `None` for complete paths.
    prefix_length: Option<usize>,
}

/// Finds the route of a request in time that does not grow with the number of routes.
#[derive(Default)]
pub struct RouteTable {
    by_name: HashMap<String, HostRoutes>,
    /// The routes of all subdomains of a name, by that name.
    by_parent_domain: HashMap<String, HostRoutes>,
    /// The routes of [`HostPattern::Any`].
    any: HostRoutes,
    route_count: usize,
}

/// The routes of one host pattern. There are few kinds, each with many paths; each router returns the index and the rank
/// of a route.
#[derive(Default)]
struct HostRoutes {
    routers: Vec<(RouteKind, Router<(usize, Rank)>)>,
}

impl RouteTable {
    /// Builds the table.
    ///
    /// # Errors
    /// Returns all conflicts between routes.
    pub fn build(routes: &[Route]) -> Result<RouteTable, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        // The index and the rank of the first route with each combination of host, kind and matcher pattern.
        let mut entries: HashMap<(&HostPattern, RouteKind, String), (usize, Rank)> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let rank = route.path.rank();
            for pattern in route.path.matcher_patterns() {
                let prefix_length = route.path.is_prefix.then_some(route.path.segments.len());
                let kind =
                    RouteKind { method: route.method.clone(), class: route.class.clone(), prefix_length };
                let first_route =
                    entries.entry((&route.host, kind, pattern)).or_insert((index, rank.clone()));
                if first_route.0 != index {
                    let conflict = Conflict { first: first_route.0, second: index };
                    if !conflicts.contains(&conflict) {
                        conflicts.push(conflict);
                    }
                }
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut table = RouteTable { route_count: routes.len(), ..RouteTable::default() };
        let mut entries: Vec<_> = entries.into_iter().collect();
        // The order of a hash map is random: sorting makes the layout of the routers the same for the same list of routes.
        entries.sort_by(|a, b| (a.1 .0, &a.0 .2).cmp(&(b.1 .0, &b.0 .2)));
        for ((host, kind, pattern), value) in entries {
            let host_routes = match host {
                HostPattern::Name(name) => table.by_name.entry(name.clone()).or_default(),
                HostPattern::Subdomains(name) => table.by_parent_domain.entry(name.clone()).or_default(),
                HostPattern::Any => &mut table.any,
            };
            let (first, second) = (value.0, value.0);
            // Cannot fail: the patterns are valid and each one occurs once in its router.
            host_routes.router(kind).insert(pattern, value).map_err(|_| vec![Conflict { first, second }])?;
        }
        Ok(table)
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.route_count
    }

    /// Whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.route_count == 0
    }

    /// The index of the most specific route that matches a request. Host and path must be in normal form; `class` is the
    /// value of the class header, if there is one.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, method: &str, class: Option<&str>) -> Option<usize> {
        let find = |host_routes: &HostRoutes| host_routes.find(path, method, class);
        if let Some(index) = self.by_name.get(host).and_then(find) {
            return Some(index);
        }
        if !self.by_parent_domain.is_empty() {
            let mut rest = host;
            while let Some((_, parent)) = rest.split_once('.') {
                if let Some(index) = self.by_parent_domain.get(parent).and_then(find) {
                    return Some(index);
                }
                rest = parent;
            }
        }
        find(&self.any)
    }
}

impl RouteKind {
    fn matches(&self, method: &str, class: Option<&str>) -> bool {
        self.method.as_deref().is_none_or(|required| required == method)
            && self.class.as_deref().is_none_or(|required| Some(required) == class)
    }
}

/// A route that matches a request.
struct Candidate<'a> {
    rank: &'a Rank,
    has_method: bool,
    has_class: bool,
    index: usize,
}

impl Candidate<'_> {
    /// How specific the route is among those of the same host; the greater one wins.
    fn specificity(&self) -> impl PartialOrd + '_ {
        (self.rank, self.has_method, self.has_class)
    }
}

impl HostRoutes {
    fn router(&mut self, kind: RouteKind) -> &mut Router<(usize, Rank)> {
        let position = self.routers.iter().position(|(other, _)| *other == kind);
        let position = position.unwrap_or_else(|| {
            self.routers.push((kind, Router::new()));
            self.routers.len() - 1
        });
        &mut self.routers[position].1
    }

    fn find(&self, path: &str, method: &str, class: Option<&str>) -> Option<usize> {
        let mut best: Option<Candidate<'_>> = None;
        for (kind, router) in self.routers.iter().filter(|(kind, _)| kind.matches(method, class)) {
            let Ok(found) = router.at(path) else { continue };
            let (index, rank) = found.value;
            let candidate = Candidate {
                rank,
                has_method: kind.method.is_some(),
                has_class: kind.class.is_some(),
                index: *index,
            };
            if best.as_ref().is_none_or(|best| best.specificity() < candidate.specificity()) {
                best = Some(candidate);
            }
        }
        best.map(|best| best.index)
    }
}
