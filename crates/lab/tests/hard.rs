//! Emulated faults and overload: each case must show its effect, and the decisions must violate no rule.

#![cfg(test)]

mod common;

use common::{changed, with, BASE};
use violetyoke_lab::experiment::{parse, variants};
use violetyoke_lab::outcome::Outcome;
use violetyoke_lab::run;
use violetyoke_lab::world::{Policy, World};

fn simulate(text: &str) -> Outcome {
    World::new(&with(text), 5, Policy::Module).run()
}

/// The JSON report of all runs.
fn written(text: &str, threads: usize) -> String {
    let experiment = parse(text).expect("a good file");
    let variants = variants(text, &experiment).expect("good values");
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
    let runs = pool.install(|| run::run_all(&variants, || ()));
    serde_json::to_string(&run::report(&experiment, runs)).expect("plain figures")
}

#[test]
fn report_of_a_seed_is_identical_on_one_thread_and_on_eight() {
    let text = format!(
        "{BASE}\n[[fault]]\nkind = \"kill_ingresses\"\npart = 0.5\nat_seconds = 4\n\n\
         [[fault]]\nkind = \"fail_nodes\"\npart = 0.3\nat_seconds = 5\nevery_seconds = 2\n\n\
         [[vary]]\nkey = \"counter.calls_per_second\"\nvalues = [100, 800]\n"
    );
    let one = written(&text, 1);
    assert_eq!(one, written(&text, 8));
    assert!(one.contains("counter.calls_per_second=100"));
    let other = written(&text.replace("seeds = 2", "seeds = 2\nfirst_seed = 9"), 8);
    assert_ne!(one, other);
}

#[test]
fn cancelled_attempt_keeps_its_worker_busy() {
    let outcome =
        simulate("[[fault]]\nkind = \"slow_nodes\"\npart = 0.5\nby = 40\nat_seconds = 4\nfor_seconds = 4\n");
    assert!(outcome.useless_work > 1e6, "{}", outcome.useless_work);
    assert!(outcome.work > outcome.useless_work);
    let calm = simulate("");
    assert!(calm.useless_work < outcome.useless_work / 10.0, "{}", calm.useless_work);
}

#[test]
fn slow_counter_answers_after_the_time_out_and_rejects_calls_without_violations() {
    // The counter can answer an eighth of the calls that it receives, and its queue takes longer than the time-out.
    let slow =
        changed(&[("calls_per_second = 400", "calls_per_second = 60"), ("line = 12", "line = 40")], "");
    let outcome = World::new(&slow, 5, Policy::Module).run();
    assert!(outcome.calls.late > 50, "{:?}", outcome.calls);
    assert!(outcome.calls.turned_away > 0, "{:?}", outcome.calls);
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
}

#[test]
fn service_recovers_after_seventy_percent_of_ingresses_restart_at_once() {
    let fault = "[[fault]]\nkind = \"kill_ingresses\"\npart = 0.7\nat_seconds = 5\nfor_seconds = 1.5\n";
    let (killed, calm) = (simulate(fault), simulate(""));
    assert!(killed.violations.is_none(), "{:?}", killed.violations);
    // Clients get no answers, all connections are opened again, and service recovers.
    assert!(killed.failed.contains_key("NoAnswer"), "{:?}", killed.failed);
    assert!(killed.handshakes > calm.handshakes, "{} {}", killed.handshakes, calm.handshakes);
    assert!(killed.served.tries < calm.served.tries);
    assert!(killed.recovered_after.is_some());
}

#[test]
fn results_of_attempts_from_an_earlier_incarnation_of_an_ingress_are_ignored() {
    // Ingresses die repeatedly with requests at slow nodes while nodes are replaced: attempts of one incarnation end
    // during the next one, which assigns other ids to the nodes.
    let outcome = simulate(
        "[[fault]]\nkind = \"kill_ingresses\"\npart = 0.3\nat_seconds = 3\nfor_seconds = 0.05\nevery_seconds = 0.3\n\n\
         [[fault]]\nkind = \"slow_nodes\"\npart = 1.0\nby = 4\nat_seconds = 2\nfor_seconds = 10\n\n\
         [[fault]]\nkind = \"replace_nodes\"\npart = 0.5\nat_seconds = 4\nover_seconds = 4\n",
    );
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
    assert!(outcome.useless_work > 0.0);
    assert_eq!(outcome.defects, 0);
}

#[test]
fn no_node_is_overloaded_when_sixty_nodes_restart_together() {
    let changes = [
        ("count = 8", "count = 60"),
        ("tries_per_second = 260", "tries_per_second = 900"),
        ("accounts = 40", "accounts = 400"),
    ];
    let fault = "[[fault]]\nkind = \"kill_nodes\"\npart = 1.0\nat_seconds = 4\nfor_seconds = 0.5\n";
    let outcome = World::new(&changed(&changes, fault), 5, Policy::Module).run();
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
    assert!(outcome.ends.get("ConnectFailed").is_some_and(|ends| *ends >= 60), "{:?}", outcome.ends);
    assert!(outcome.served.tries > 1_000, "{:?}", outcome.shares());
}

#[test]
fn lost_zones_and_replaced_or_failing_nodes_cause_no_violation() {
    for (fault, expected_end) in [
        ("kind = \"silence_nodes\"\nzone = 1\nat_seconds = 4\nfor_seconds = 3", "Timeout"),
        ("kind = \"replace_nodes\"\npart = 0.6\nat_seconds = 3\nover_seconds = 5", "Ok"),
        ("kind = \"fail_nodes\"\npart = 0.1\nat_seconds = 3\nfor_seconds = 8", "Error"),
        ("kind = \"cut_zone\"\nzone = 0\nat_seconds = 4\nfor_seconds = 4", "Timeout"),
    ] {
        let outcome = simulate(&format!("[[fault]]\n{fault}\n"));
        assert!(outcome.violations.is_none(), "{fault}: {:?}", outcome.violations);
        assert!(outcome.ends.contains_key(expected_end), "{fault}: {:?}", outcome.ends);
        assert!(outcome.served.tries > 400, "{fault}: {:?}", outcome.shares());
    }
}

#[test]
fn closed_loop_clients_wait_for_an_answer_before_the_next_request() {
    let experiment = changed(&[("tries_per_second = 260", "clients = 20\nthink_ms = 500")], "");
    let outcome = World::new(&experiment, 5, Policy::Module).run();
    // 20 clients with 0.5 s between an answer and the next try send less than 40 tries a second.
    let tries_per_second = outcome.asked.tries as f64 / 12.0;
    assert!((10.0..40.0).contains(&tries_per_second), "{tries_per_second}");
}

#[test]
fn oracle_earns_more_than_the_module_and_the_random_policy() {
    let run = run::run_seed("", &with(""), 5);
    assert!(run.oracle.net > run.module.net, "{} {}", run.oracle.net, run.module.net);
    assert!(run.oracle.net > run.random.net);
    // Units are charged at the node, shortly after the decision, so the oracle exceeds quotas by very little.
    assert!(run.oracle.beyond_units < 1e-3 * run.oracle.units, "{}", run.oracle.beyond_units);
    assert!(
        run.random.beyond_units > run.module.beyond_units,
        "{} {}",
        run.random.beyond_units,
        run.module.beyond_units
    );
}

#[test]
fn call_counts_as_changing_a_decision_only_if_its_total_decided() {
    // Without answers of the counter, each ingress decides by itself.
    let without_counter =
        simulate("[[fault]]\nkind = \"silence_counter\"\nat_seconds = 0\nfor_seconds = 60\n");
    assert!(without_counter.calls.decide > 0 && without_counter.units > 0.0, "{:?}", without_counter.calls);
    assert_eq!(without_counter.calls.changed, 0, "{:?}", without_counter.calls);
    // With the counter, calls of accounts that exceed their quotas change decisions.
    let with_counter = simulate("");
    assert!(
        with_counter.calls.changed > 0 && with_counter.calls.changed < with_counter.calls.decide,
        "{:?}",
        with_counter.calls
    );
    assert!(
        with_counter.node_load[1] > 0.05 && with_counter.node_load[2] < 1.0,
        "{:?}",
        with_counter.node_load
    );
}
