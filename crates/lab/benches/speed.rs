//! How fast the emulated clock runs: one second of a fleet's time, on one core, by the number of ingresses.
//!
//!     cargo bench --package violetyoke-lab

#![allow(clippy::expect_used, missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::hint::black_box;
use violetyoke_lab::experiment::{parse, variants};
use violetyoke_lab::world::{Policy, World};

fn seconds(criterion: &mut Criterion) {
    let text = include_str!("../experiments/calm.toml");
    let mut group = criterion.benchmark_group("ten seconds of");
    group.sample_size(10);
    for (scale, ingresses) in [(1, 60), (5, 300), (17, 1020)] {
        let text = text
            .replace("values = [1, 5]", &format!("values = [{scale}]"))
            .replace("seconds = 26", "seconds = 10")
            .replace("warm_seconds = 6", "warm_seconds = 1");
        let read = parse(&text).expect("a good file");
        let experiment = variants(&text, &read).expect("good values").remove(0).experiment;
        assert_eq!(experiment.ingresses, ingresses);
        group.bench_with_input(
            BenchmarkId::new("ingresses", ingresses),
            &experiment,
            |bencher, experiment| {
                bencher.iter(|| black_box(World::new(experiment, 1, Policy::Module).run()));
            },
        );
    }
    group.finish();
}

criterion_group!(benches, seconds);
criterion_main!(benches);
