//! The parsing of a configuration file. All errors must be reported at once, each with its line and key.

use violetyoke_config::{parse, Nodes};

const VALID: &str = r#"[service]
listen = "127.0.0.1:8080"

[[pool]]
name = "availability"
weight = 3
nodes = [{ address = "127.0.0.1:9001" }, { address = "127.0.0.1:9002", id = "b", zone = "hall-b", size = 2 }]
limit_fields = ["draft", "legacy"]

[[pool.class]]
name = "avail-read"
effect = "safe"
aim_ms = 750
deadline_ms = 2000

[[pool.plan]]
name = "basic"
rate = 2
burst = 10.5

[[pool]]
name = "reservations"
discovery = "127.0.0.1:8500"
counter = "127.0.0.1:6400"

[[pool.class]]
name = "booking-post"
effect = "unsafe"

[[pool.plan]]
name = "basic"
rate = 1
burst = 3

[[route]]
host = "avail.example.org"
pool = "availability"

[[route]]
host = "booking.example.org"
path = "/bookings/*"
pool = "reservations"
"#;

/// The line, key and reason of each error in the valid file after the given replacements.
fn errors(changes: &[(&str, &str)]) -> Vec<String> {
    let mut text = VALID.to_string();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let errors = parse(&text).err().unwrap_or_default();
    errors.iter().map(|error| format!("{} {}: {}", error.line, error.key, error.reason)).collect()
}

#[test]
fn valid_file_is_parsed_with_defaults() {
    let service = parse(VALID).unwrap();
    assert_eq!((service.pools.len(), service.routes.len(), service.schedules_by_weight), (2, 2, true));
    let pool = &service.pools[0];
    assert_eq!(
        (pool.weight, pool.quota.as_str(), pool.default_plan.as_deref()),
        (3, "availability", Some("basic"))
    );
    assert_eq!(pool.classes[0].class.deadline, 2_000_000);
    assert_eq!(pool.plans[0].1.burst, 10.5);
    assert_eq!(pool.zones, ["here", "hall-b"]);
    let Nodes::Static(nodes) = &pool.nodes else { panic!("static nodes") };
    assert_eq!((nodes[0].id.as_str(), nodes[1].id.as_str(), nodes[1].size), ("127.0.0.1:9001", "b", 2.0));
    assert!(pool.quota_headers.draft && pool.quota_headers.legacy);
    assert!(matches!(service.pools[1].nodes, Nodes::Discovery(_)));
    assert_eq!(service.routes[1].pool, 1);
    let rules: Vec<_> = service.routes.iter().map(|route| route.rule.clone()).collect();
    let table = violetyoke_routes::RouteTable::build(&rules).unwrap();
    assert_eq!(table.find("booking.example.org", "/bookings/7", "POST", None), Some(1));
}

#[test]
fn all_errors_are_reported_with_line_and_key() {
    let errors = errors(&[
        ("listen = \"127.0.0.1:8080\"", "listen = \"here\"\nzebra = 1"),
        ("weight = 3", "weigth = 3"),
        ("effect = \"safe\"", "effect = \"harmless\""),
        ("rate = 2\n", "rate = \"two\"\n"),
        ("effect = \"unsafe\"\n", ""),
        ("path = \"/bookings/*\"", "path = \"bookings\""),
        ("pool = \"reservations\"", "pool = \"bookings\""),
    ]);
    assert_eq!(
        errors,
        [
            "2 service.listen: \"here\" is not an address",
            "3 service.zebra: is not a key known here",
            "7 pool[0].weigth: is not a key known here (did you mean weight?)",
            "13 pool[0].class[0].effect: \"harmless\" is none of safe, keyed, unsafe",
            "19 pool[0].plan[0].rate: must be a number",
            "27 pool[1].class[0].effect: is missing: safe, keyed or unsafe",
            "41 route[1].path: path \"bookings\" does not begin with /",
            "42 route[1].pool: there is no pool \"bookings\"",
        ]
    );
}

#[test]
fn syntax_errors_are_reported_with_their_lines() {
    let errors = errors(&[("weight = 3", "weight = = 3")]);
    assert!(errors.iter().any(|error| error.starts_with("6 syntax: ")), "{errors:?}");
}

#[test]
fn contradicting_values_are_rejected() {
    let cases: &[(&str, &str, &str)] = &[
        ("name = \"reservations\"", "name = \"availability\"", "pool[1].name"),
        ("name = \"reservations\"", "name = \"reservations\"\nquota = \"availability\"", "pool[1].quota"),
        ("discovery = ", "nodes = []\ndiscovery = ", "pool[1].discovery"),
        ("discovery = \"127.0.0.1:8500\"\n", "", "pool[1].nodes"),
        ("id = \"b\"", "id = \"127.0.0.1:9001\"", "pool[0].nodes[1].id"),
        ("address = \"127.0.0.1:9002\", ", "", "pool[0].nodes[1].address"),
        ("deadline_ms = 2000", "deadline_ms = 200", "pool[0].class[0].deadline_ms"),
        ("burst = 10.5", "burst = 0", "pool[0].plan[0].burst"),
        ("burst = 10.5", "burst = 10.5\nceiling_rate = 1", "pool[0].plan[0].ceiling_rate"),
        ("weight = 3", "weight = 0", "pool[0].weight"),
        ("weight = 3", "weight = 3\n[pool.limits]\ndescriptors = 5000\n[x]", "service.descriptors"),
        ("weight = 3", "default_plan = \"gold\"", "pool[0].default_plan"),
        ("path = \"/bookings/*\"", "class = \"avail-read\"", "route[1].class"),
        ("path = \"/bookings/*\"", "method = \"get\"", "route[1].method"),
        (
            "host = \"booking.example.org\"\npath = \"/bookings/*\"",
            "host = \"avail.example.org\"",
            "route[1].path",
        ),
        ("[service]", "[service]\nindex = 1", "service.index"),
        ("limit_fields = [\"draft\", \"legacy\"]", "limit_fields = [\"all\"]", "pool[0].limit_fields"),
        ("name = \"avail-read\"", "name = \"avail read\"", "pool[0].class[0].name"),
    ];
    for (from, to, key) in cases {
        let errors = errors(&[(from, to)]);
        assert!(errors.iter().any(|error| error.contains(&format!(" {key}: "))), "{key}: {errors:?}");
    }
}

#[test]
fn all_missing_keys_of_an_empty_file_are_reported() {
    let errors = parse("").unwrap_err();
    let keys: Vec<_> = errors.iter().map(|error| error.key.as_str()).collect();
    assert_eq!(keys, ["pool", "route", "service.listen"]);
    assert!(errors.format_with_file("x.toml").starts_with("x.toml:1: pool: "));
}

#[test]
fn external_limiter_is_validated_against_its_pool() {
    let errors_of = |consult: &str| {
        let table = format!("[pool.consult]\n{consult}\n[[pool.class]]\nname = \"booking-post\"");
        errors(&[("[[pool.class]]\nname = \"booking-post\"", &table)])
    };
    let valid = "address = \"127.0.0.1:8090\"\ndomain = \"rooms\"\nwhen_silent = \"refuse\"";
    assert_eq!(errors_of(valid), Vec::<String>::new());
    let assert_error = |consult: &str, expected: &str| {
        let errors = errors_of(consult);
        assert!(errors.len() == 1 && errors[0].contains(expected), "{errors:?}");
    };
    assert_error(
        &valid.replace("refuse", "guess"),
        "pool[1].consult.when_silent: \"guess\" is none of own_quota, refuse",
    );
    assert_error(&valid.replace("when_silent = \"refuse\"", ""), "pool[1].consult.when_silent: is missing");
    assert_error(&format!("{valid}\nplans = [\"gold\"]"), "pool[1].consult.plans: \"gold\" is not a plan");
    assert_error(&format!("{valid}\nplan_key = \"account\""), "the key \"account\" would occur twice");
    assert_error(&format!("{valid}\nbudget_part = 0.9"), "pool[1].consult.budget_part: 0.9 is out of range");
    assert_error(
        &format!("{valid}\nbreaker = {{ pause_ms = 500, longest_pause_ms = 100 }}"),
        "pool[1].consult.breaker.longest_pause_ms: is below pause_ms",
    );
    assert_error(&format!("{valid}\nbudgets_ms = 5"), "did you mean budget_ms?");
}
