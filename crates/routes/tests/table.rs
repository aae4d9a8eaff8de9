//! Which rule a request matches: the order of specificity, ties, and agreement with a plain search through
//! all rules.

#![cfg(test)]

use proptest::prelude::*;
use violetyoke_routes::{Conflict, HostError, HostPattern, PathError, PathPattern, Route, RouteTable};

fn rule(host: &str, path: &str, method: Option<&str>, class: Option<&str>) -> Route {
    Route {
        host: host.parse().unwrap(),
        path: path.parse().unwrap(),
        method: method.map(String::from),
        class: class.map(String::from),
    }
}

fn plain(host: &str, path: &str) -> Route {
    rule(host, path, None, None)
}

#[test]
fn the_most_specific_host_wins_and_one_that_does_not_fit_gives_way() {
    let rules = [
        plain("*", "/*"),
        plain("*.example.org", "/*"),
        plain("*.eu.example.org", "/*"),
        plain("a.eu.example.org", "/rooms/*"),
    ];
    let table = RouteTable::build(&rules).unwrap();
    let find = |host, path| table.find(host, path, "GET", None);
    assert_eq!(find("a.eu.example.org", "/rooms/1"), Some(3));
    assert_eq!(find("a.eu.example.org", "/hotels"), Some(2));
    assert_eq!(find("b.c.eu.example.org", "/rooms"), Some(2));
    assert_eq!(find("eu.example.org", "/rooms"), Some(1));
    assert_eq!(find("example.org", "/rooms"), Some(0));
    assert_eq!(find("badexample.org", "/rooms"), Some(0));
}

#[test]
fn paths_go_segment_by_segment_and_methods_and_classes_come_after_them() {
    let rules = [
        plain("h", "/*"),
        plain("h", "/hotels/*"),
        plain("h", "/hotels/{hotel}"),
        plain("h", "/hotels/{hotel}/rooms"),
        plain("h", "/hotels/all/*"),
        rule("h", "/hotels/{hotel}", Some("POST"), None),
        rule("h", "/hotels/{hotel}", None, Some("booking")),
        rule("h", "/hotels/new", Some("PUT"), Some("booking")),
    ];
    let table = RouteTable::build(&rules).unwrap();
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
    // The literal is for another method: the parameter's rule serves.
    assert_eq!(find("/hotels/new", "GET", None), Some(2));
    assert_eq!(find("/hotels/new", "PUT", Some("other")), Some(2));
    assert_eq!(table.find("other", "/hotels", "GET", None), None);
}

#[test]
fn a_tie_is_an_error_whatever_parameters_are_called() {
    let rules = [
        plain("h", "/hotels/{hotel}"),
        plain("h", "/hotels/{id}"),
        plain("h", "/rooms/*"),
        rule("h", "/rooms/*", Some("GET"), None),
        plain("*.h", "/x"),
        plain("*.h", "/x"),
    ];
    let ties = RouteTable::build(&rules).err().unwrap();
    let mut ties: Vec<_> = ties.iter().map(|Conflict { first, second }| (*first, *second)).collect();
    ties.sort_unstable();
    assert_eq!(ties, [(0, 1), (4, 5)]);
}

#[test]
fn what_is_no_pattern_is_refused_in_plain_words() {
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

/// One rule against one request, in the words of the documentation and with none of the table's code.
fn fits(
    rule: &Route,
    host: &str,
    path: &str,
    method: &str,
    class: Option<&str>,
) -> Option<(usize, Vec<u8>, bool, bool)> {
    let host = match &rule.host {
        HostPattern::Name(name) => (name == host).then_some(usize::MAX)?,
        HostPattern::Subdomains(name) => {
            host.strip_suffix(name.as_str())?.ends_with('.').then_some(name.len())?
        }
        HostPattern::Any => 0,
    };
    let stated = rule.path.to_string();
    let (stated, open) = stated.strip_suffix("/*").map_or((stated.as_str(), false), |stated| (stated, true));
    let wanted: Vec<&str> = stated.split('/').skip(1).collect();
    let asked: Vec<&str> = path.split('/').skip(1).collect();
    if asked.len() < wanted.len() || (!open && asked.len() > wanted.len()) {
        return None;
    }
    let mut rank = Vec::new();
    for (wanted, asked) in wanted.iter().zip(&asked) {
        if wanted.starts_with('{') {
            rank.push(2);
            (!asked.is_empty()).then_some(())?;
        } else {
            rank.push(3);
            (wanted == asked).then_some(())?;
        }
    }
    rank.push(u8::from(!open));
    (rule.method.as_deref().is_none_or(|only| only == method)).then_some(())?;
    (rule.class.as_deref().is_none_or(|only| Some(only) == class)).then_some(())?;
    Some((host, rank, rule.method.is_some(), rule.class.is_some()))
}

fn any_rule() -> impl Strategy<Value = Route> {
    let segment = prop::sample::select(vec!["a", "b", "{x}", "{y}"]);
    let host = prop::sample::select(vec!["*", "a.h", "b.h", "*.h", "*.a.h"]);
    let method = prop::sample::select(vec![None, None, Some("GET"), Some("POST")]);
    let class = prop::sample::select(vec![None, None, Some("k"), Some("l")]);
    (host, prop::collection::vec(segment, 0..4), any::<bool>(), method, class).prop_map(
        |(host, path, open, method, class)| {
            let path = format!("/{}", path.join("/"));
            let path = match (open, path.as_str()) {
                (true, "/") => "/*".to_string(),
                (true, path) => format!("{path}/*"),
                (false, path) => path.to_string(),
            };
            rule(host, &path, method, class)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn the_table_agrees_with_a_search_through_all_rules(
        rules in prop::collection::vec(any_rule(), 1..24),
        host in prop::sample::select(vec!["a.h", "b.h", "c.a.h", "h", "z"]),
        path in prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..5),
        slash in any::<bool>(),
        method in prop::sample::select(vec!["GET", "POST", "PUT"]),
        class in prop::sample::select(vec![None, Some("k"), Some("l")]),
    ) {
        // Ties are the table's to refuse, and nothing else is: the first of each is kept.
        let same = |a: &Route, b: &Route| {
            let path = |rule: &Route| rule.path.to_string().replace("{x}", "{}").replace("{y}", "{}");
            (&a.host, path(a), &a.method, &a.class) == (&b.host, path(b), &b.method, &b.class)
        };
        let mut kept: Vec<Route> = Vec::new();
        let mut ties = 0;
        for rule in &rules {
            if kept.iter().any(|other| same(other, rule)) {
                ties += 1;
            } else {
                kept.push(rule.clone());
            }
        }
        prop_assert_eq!(RouteTable::build(&rules).err().map_or(0, |ties| ties.len()), ties);
        let table = RouteTable::build(&kept).unwrap();
        let path = format!("/{}{}", path.join("/"), if slash && !path.is_empty() { "/" } else { "" });
        let all = kept.iter().enumerate().filter_map(|(number, rule)| Some((fits(rule, host, &path, method, class)?, number)));
        let best = all.max();
        prop_assert_eq!(table.find(host, &path, method, class), best.map(|(_, number)| number), "{} {}", host, path);
    }
}
