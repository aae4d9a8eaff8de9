//! The time of one look-up as the table grows: `cargo bench -p violetyoke-routes`.

#![allow(clippy::expect_used, reason = "a bench fails by panicking")]
#![allow(missing_docs, reason = "criterion's macros write a public function without documentation")]

use criterion::{criterion_group, criterion_main, Criterion};
use std::hint::black_box;
use violetyoke_routes::{Route, RouteTable};

/// Routes as a hosted service has them: ten for each of many hosts.
fn routes(number: usize) -> Vec<Route> {
    let paths = ["/*", "/avail/*", "/avail/{hotel}", "/avail/{hotel}/rooms/{room}", "/booking/{hotel}"];
    let route = |i: usize| Route {
        host: format!("h{}.example.org", i / 10).parse().expect("a host"),
        path: paths[i % 5].parse().expect("a path"),
        method: (i / 5 % 2 == 1).then(|| "POST".to_string()),
        class: None,
    };
    (0..number).map(route).collect()
}

fn lookup(c: &mut Criterion) {
    for number in [10, 1_000, 100_000] {
        let table = RouteTable::build(&routes(number)).expect("no conflicts");
        let hosts: Vec<String> =
            (0..1_000).map(|i| format!("h{}.example.org", i * 7919 % (number / 10))).collect();
        let mut next = 0;
        c.bench_function(&format!("lookup/{number}"), |b| {
            b.iter(|| {
                next = (next + 1) % hosts.len();
                black_box(table.find(&hosts[next], black_box("/avail/7/rooms/12"), "GET", None))
            });
        });
    }
}

criterion_group!(benches, lookup);
criterion_main!(benches);
