//! The time of one lookup for tables of different sizes: `cargo bench -p violetyoke-routes`.

#![allow(clippy::expect_used, reason = "a bench fails by panicking")]
#![allow(missing_docs, reason = "criterion's macros write a public function without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use std::hint::black_box;
use violetyoke_routes::{Route, RouteTable};

/// Routes of many hosts, ten for each host.
fn routes(route_count: usize) -> Vec<Route> {
    let paths = ["/*", "/avail/*", "/avail/{hotel}", "/avail/{hotel}/rooms/{room}", "/booking/{hotel}"];
    let route = |i: usize| Route {
        host: format!("h{}.example.org", i / 10).parse().expect("a host"),
        path: paths[i % 5].parse().expect("a path"),
        method: (i / 5 % 2 == 1).then(|| "POST".to_string()),
        class: None,
    };
    (0..route_count).map(route).collect()
}

fn lookup(criterion: &mut Criterion) {
    for route_count in [10, 1_000, 100_000] {
        let table = RouteTable::build(&routes(route_count)).expect("no conflicts");
        let hosts: Vec<String> =
            (0..1_000).map(|i| format!("h{}.example.org", i * 7919 % (route_count / 10))).collect();
        let mut next = 0;
        criterion.bench_function(&format!("lookup/{route_count}"), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % hosts.len();
                black_box(table.find(&hosts[next], black_box("/avail/7/rooms/12"), "GET", None))
            });
        });
    }
}

criterion_group!(benches, lookup);
criterion_main!(benches);
