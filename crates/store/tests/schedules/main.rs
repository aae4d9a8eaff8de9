//! Schedules of faults and planned work over simulated stores, by named generators; judged by the operators' configurations.
//!
//! A few hundred in the ordinary test. More, with how often each fault landed inside the act that it is meant for:
//! `SCHEDULES=20000 cargo test --profile proof -p violetyoke-store --test schedules -- --nocapture`

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]
#![allow(
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod draws;
mod faults;
mod figures;
mod generators;
mod operators;
mod player;
#[path = "../simulation/mod.rs"]
mod simulation;
mod steps;
mod story;

use figures::Figures;
use generators::{plan, GENERATORS};
use player::{play, Broken};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use steps::{Act, Plan, Planned, Step};
use story::{shorten, tell};

/// Schedules of an ordinary test.
const ORDINARY: u64 = 264;
const THREADS: u64 = 3;

fn setting(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

/// The schedule of a number: generators in turn, three and five machines, every other one crossed with another.
fn numbered(number: u64) -> (usize, Plan) {
    let generator = (number % GENERATORS.len() as u64) as usize;
    let round = number / GENERATORS.len() as u64;
    let machines = if round.is_multiple_of(2) { 3 } else { 5 };
    (generator, plan(generator, number, machines, round % 4 >= 2))
}

/// A schedule that broke a rule.
struct Found {
    generator: usize,
    plan: Plan,
    broken: Vec<Broken>,
}

/// Plays those schedules that are wanted side by side; figures of each generator, and what broke.
fn play_all(
    first: u64,
    count: u64,
    wanted: impl Fn(usize, &Plan) -> bool + Sync,
) -> (Vec<Figures>, Vec<Found>) {
    let next = AtomicU64::new(first);
    let figures = Mutex::new(vec![Figures::default(); GENERATORS.len()]);
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..setting("THREADS", THREADS) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= first + count {
                    return;
                }
                let (generator, plan) = numbered(number);
                if !wanted(generator, &plan) {
                    continue;
                }
                let outcome = play(&plan);
                figures.lock().expect("no panic")[generator].add(&outcome.figures);
                if !outcome.broken.is_empty() {
                    found.lock().expect("no panic").push(Found { generator, plan, broken: outcome.broken });
                }
            });
        }
    });
    (figures.into_inner().expect("no panic"), found.into_inner().expect("no panic"))
}

/// Prints figures and stories, and holds that nothing broke.
fn none_broken(figures: &[Figures], mut found: Vec<Found>) {
    for ((name, _), figures) in GENERATORS.iter().zip(figures).filter(|(_, it)| it.schedules > 0) {
        println!("{name}: {figures}");
    }
    found.sort_by_key(|found| found.plan.seed);
    for Found { generator, plan, broken } in found.iter().take(setting("STORIES", 6) as usize) {
        let story = shorten(plan, broken[0].rule);
        println!("{}: BROKEN {broken:?}\n    {}", GENERATORS[*generator].0, tell(&story));
    }
    let mut rules: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for Found { generator, broken, .. } in &found {
        *rules.entry((GENERATORS[*generator].0, broken[0].rule)).or_default() += 1;
    }
    let count: u64 = figures.iter().map(|figures| figures.schedules).sum();
    assert!(found.is_empty(), "{} of {count} schedules broke a rule: {rules:?}", found.len());
}

/// Whether it is among those that the environment names, or none are named.
fn asked_for(name: &str, what: &str) -> bool {
    std::env::var(name).ok().is_none_or(|wanted| wanted.split(',').any(|one| one == what))
}

#[test]
fn schedules_of_all_generators_break_no_rule() {
    let (first, count) = (setting("FIRST", 0), setting("SCHEDULES", ORDINARY));
    let wanted = |generator: usize, _: &Plan| asked_for("GENERATOR", GENERATORS[generator].0);
    let (figures, found) = play_all(first, count, wanted);
    none_broken(&figures, found);
}

/// Schedules that broke a rule once, by what caused it.
const BROKE_ONCE: [(&str, &[u64]); 8] = [
    ("a returned voter led without a vote", &[353, 969, 1695]),
    ("a leaver ended before another had its place", &[49, 137, 821]),
    ("a silent voter's place was given up too late", &[242, 248, 865, 1172, 1354, 1529, 1834]),
    ("a cut-off primary confirmed what it had not committed", &[2931]),
    ("places never changed while orders were under way", &[10103, 12478, 18068, 22822, 23345]),
    ("candidates overtook each other beside a slow disk", &[19040, 23300]),
    ("a restarted store knew the seeds alone", &[10024]),
    ("a new voter gave up each attempt by its own older record", &[117, 161]),
];

#[test]
fn schedules_that_broke_a_rule_once_break_none() {
    for (cause, seeds) in BROKE_ONCE {
        for seed in seeds {
            let broken = play(&numbered(*seed).1).broken;
            assert_eq!(broken, [], "seed {seed}: {cause}");
        }
    }
}

/// The trouble that each generator is for, and the act that it has to land in.
const MEANT: [(&str, &str, Act); 8] = [
    ("cut-off", "Cut", Act::OrderPending),
    ("orders-once", "SameNumber", Act::OrderPending),
    ("second-loss-after-replacement", "Kill", Act::NewcomerCounts),
    ("second-loss-after-replacement", "Wipe", Act::NewcomerCounts),
    ("planned-replacement", "Terminate", Act::NewcomerCounts),
    ("leaver-in-takeover", "Terminate", Act::TakingOver),
    ("slow-and-stalled-disks", "KillAll", Act::DiskWriting),
    ("all-down", "KillAll", Act::OrderPending),
];

#[test]
fn troubles_land_inside_the_acts_that_they_are_meant_for() {
    let (figures, _) = play_all(0, ORDINARY, |_, _| true);
    for (name, step, act) in MEANT {
        let place = GENERATORS.iter().position(|(other, _)| *other == name).expect("a generator");
        let inside = figures[place].inside(step, act);
        assert!(inside >= 3, "{name}: {step} landed in {act:?} {inside} times in {ORDINARY} schedules");
    }
}

#[test]
fn disks_that_lie_are_found_by_the_operators_records() {
    let mut found = 0;
    for seed in 0..20 {
        let step = |after, inside, step| Planned { after, inside, step };
        // A loss that a higher number covers before anybody reads shows in no replica set: there are several.
        let honest = vec![step(3_000, None, Step::KillAll { power: true, down: 400 }); 6];
        let plan = Plan { seed, machines: 3, tolerance: 1, steps: honest };
        assert_eq!(play(&plan).broken, [], "seed {seed}: with honest disks");
        let mut lies = plan.clone();
        lies.steps.insert(0, step(500, None, Step::LieAboutSyncs));
        let rules: Vec<&str> = play(&lies).broken.iter().map(|broken| broken.rule).collect();
        found += usize::from(rules.contains(&"linearizability"));
    }
    assert_eq!(found, 20, "the negative control: each liar is found");
}
