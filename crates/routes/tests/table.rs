//! Which route a request matches: the order of specificity, conflicts, and agreement with a linear search through all
//! routes.

#![cfg(test)]

use proptest::prelude::*;
use violetyoke_routes::{Conflict, HostError, HostPattern, PathError, PathPattern, Route, RouteTable};

fn route(host: &str, path: &str, method: Option<&str>, class: Option<&str>) -> Route {
    Route {
        host: host.parse().unwrap(),
        path: path.parse().unwrap(),
        method: method.map(String::from),
        class: class.map(String::from),
    }
}

/// A route for any method and any class.
fn unrestricted_route(host: &str, path: &str) -> Route {
    route(host, path, None, None)
}

#[test]
fn the_most_specific_host_with_a_matching_path_wins() {
    let routes = [
        unrestricted_route("*", "/*"),
        unrestricted_route("*.example.org", "/*"),
        unrestricted_route("*.eu.example.org", "/*"),
        unrestricted_route("a.eu.example.org", "/rooms/*"),
    ];
    let table = RouteTable::build(&routes).unwrap();
    let find = |host, path| table.find(host, path, "GET", None);
    assert_eq!(find("a.eu.example.org", "/rooms/1"), Some(3));
    assert_eq!(find("a.eu.example.org", "/hotels"), Some(2));
    assert_eq!(find("b.c.eu.example.org", "/rooms"), Some(2));
    assert_eq!(find("eu.example.org", "/rooms"), Some(1));
    assert_eq!(find("example.org", "/rooms"), Some(0));
    assert_eq!(find("badexample.org", "/rooms"), Some(0));
}

#[test]
fn paths_are_compared_before_methods_and_methods_before_classes() {
    let routes = [
        unrestricted_route("h", "/*"),
        unrestricted_route("h", "/hotels/*"),
        unrestricted_route("h", "/hotels/{hotel}"),
        unrestricted_route("h", "/hotels/{hotel}/rooms"),
        unrestricted_route("h", "/hotels/all/*"),
        route("h", "/hotels/{hotel}", Some("POST"), None),
        route("h", "/hotels/{hotel}", None, Some("booking")),
        route("h", "/hotels/new", Some("PUT"), Some("booking")),
    ];
    let table = RouteTable::build(&routes).unwrap();
    let find = |path, method, class| table.find("h", path, method, class);
    assert_eq!(find("/", "GET", None), Some(0));
    assert_eq!(find("/hotel", "GET", None), Some(0));
    for path in ["/hotels", "/hotels/", "/hotels/7/rooms/3", "/hotels/7/"] {
        assert_eq!(find(path, "GET", None), Some(1), "{path}");
    }
    assert_eq!(find("/hotels/7", "GET", None), Some(2));
    assert_eq!(find("/hotels/7/rooms", "GET", None), Some(3));
    assert_eq!(find("/hotels/all", "GET", None), Some(4));
    assert_eq!(find("/hotels/all/rooms", "GET", None), Some(4));
    assert_eq!(find("/hotels/7", "POST", Some("booking")), Some(5));
    assert_eq!(find("/hotels/7", "GET", Some("booking")), Some(6));
    assert_eq!(find("/hotels/new", "PUT", Some("booking")), Some(7));
    // The route with the literal requires another method or class: the route with the parameter matches.
    assert_eq!(find("/hotels/new", "GET", None), Some(2));
    assert_eq!(find("/hotels/new", "PUT", Some("other")), Some(2));
    assert_eq!(table.find("other", "/hotels", "GET", None), None);
}

#[test]
fn conflicting_routes_are_reported_even_with_different_parameter_names() {
    let routes = [
        unrestricted_route("h", "/hotels/{hotel}"),
        unrestricted_route("h", "/hotels/{id}"),
        unrestricted_route("h", "/rooms/*"),
        route("h", "/rooms/*", Some("GET"), None),
        unrestricted_route("*.h", "/x"),
        unrestricted_route("*.h", "/x"),
    ];
    let conflicts = RouteTable::build(&routes).err().unwrap();
    let mut conflicts: Vec<_> =
        conflicts.iter().map(|Conflict { first, second }| (*first, *second)).collect();
    conflicts.sort_unstable();
    assert_eq!(conflicts, [(0, 1), (4, 5)]);
}

#[test]
fn invalid_patterns_are_rejected_and_the_error_names_the_field() {
    for path in [
        "",
        "hotels",
        "/a/*/b",
        "/a*",
        "/{}",
        "/{a}.json",
        "/a//b",
        "/../a",
        "/%61",
        "/a%2fb",
        "/{a-b}",
        "/a/./b",
    ] {
        let error: PathError = path.parse::<PathPattern>().unwrap_err();
        assert!(error.to_string().starts_with("path "), "{path}: {error}");
    }
    for host in ["", "*.", "*.*.a", "a..b", "a b", "a:80", "*a"] {
        let error: HostError = host.parse::<HostPattern>().unwrap_err();
        assert!(error.to_string().starts_with("host "), "{host}: {error}");
    }
    for path in ["/", "/*", "/a/{b}/c", "/a/{b}/*", "/a.b"] {
        assert_eq!(path.parse::<PathPattern>().unwrap().to_string(), path);
    }
}

/// Matches one route against one request, independently of the table's code. Returns the sort key of the specificity,
/// or `None` if the route does not match.
fn specificity(
    route: &Route,
    host: &str,
    path: &str,
    method: &str,
    class: Option<&str>,
) -> Option<(usize, Vec<u8>, bool, bool)> {
    let host = match &route.host {
        HostPattern::Name(name) => (name == host).then_some(usize::MAX)?,
        HostPattern::Subdomains(name) => {
            host.strip_suffix(name.as_str())?.ends_with('.').then_some(name.len())?
        }
        HostPattern::Any => 0,
    };
    let pattern = route.path.to_string();
    let (pattern, is_prefix) =
        pattern.strip_suffix("/*").map_or((pattern.as_str(), false), |pattern| (pattern, true));
    let pattern: Vec<&str> = pattern.split('/').skip(1).collect();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    if segments.len() < pattern.len() || (!is_prefix && segments.len() > pattern.len()) {
        return None;
    }
    // Literal segment 3, parameter 2, end of an exact path 1, end of a prefix 0.
    let mut rank = Vec::new();
    for (expected, segment) in pattern.iter().zip(&segments) {
        if expected.starts_with('{') {
            rank.push(2);
            (!segment.is_empty()).then_some(())?;
        } else {
            rank.push(3);
            (expected == segment).then_some(())?;
        }
    }
    rank.push(u8::from(!is_prefix));
    (route.method.as_deref().is_none_or(|required| required == method)).then_some(())?;
    (route.class.as_deref().is_none_or(|required| Some(required) == class)).then_some(())?;
    Some((host, rank, route.method.is_some(), route.class.is_some()))
}

fn any_route() -> impl Strategy<Value = Route> {
    let segment = prop::sample::select(vec!["a", "b", "{x}", "{y}"]);
    let host = prop::sample::select(vec!["*", "a.h", "b.h", "*.h", "*.a.h"]);
    let method = prop::sample::select(vec![None, None, Some("GET"), Some("POST")]);
    let class = prop::sample::select(vec![None, None, Some("k"), Some("l")]);
    (host, prop::collection::vec(segment, 0..4), any::<bool>(), method, class).prop_map(
        |(host, path, is_prefix, method, class)| {
            let path = format!("/{}", path.join("/"));
            let path = match (is_prefix, path.as_str()) {
                (true, "/") => "/*".to_string(),
                (true, path) => format!("{path}/*"),
                (false, path) => path.to_string(),
            };
            route(host, &path, method, class)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn the_table_agrees_with_a_linear_search(
        routes in prop::collection::vec(any_route(), 1..24),
        host in prop::sample::select(vec!["a.h", "b.h", "c.a.h", "h", "z"]),
        path in prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..5),
        ends_with_slash in any::<bool>(),
        method in prop::sample::select(vec!["GET", "POST", "PUT"]),
        class in prop::sample::select(vec![None, Some("k"), Some("l")]),
    ) {
        // Each duplicate must be reported as a conflict, and nothing else. The lookups use a table without duplicates.
        let is_duplicate = |a: &Route, b: &Route| {
            let path = |route: &Route| route.path.to_string().replace("{x}", "{}").replace("{y}", "{}");
            (&a.host, path(a), &a.method, &a.class) == (&b.host, path(b), &b.method, &b.class)
        };
        let mut unique: Vec<Route> = Vec::new();
        let mut duplicates = 0;
        for route in &routes {
            if unique.iter().any(|other| is_duplicate(other, route)) {
                duplicates += 1;
            } else {
                unique.push(route.clone());
            }
        }
        prop_assert_eq!(RouteTable::build(&routes).err().map_or(0, |conflicts| conflicts.len()), duplicates);
        let table = RouteTable::build(&unique).unwrap();
        let path = format!("/{}{}", path.join("/"), if ends_with_slash && !path.is_empty() { "/" } else { "" });
        let matching = unique.iter().enumerate().filter_map(|(index, route)| Some((specificity(route, host, &path, method, class)?, index)));
        let best = matching.max();
        prop_assert_eq!(table.find(host, &path, method, class), best.map(|(_, index)| index), "{} {}", host, path);
    }
}
