//! Each hard case is caused, and what it must show is looked for.

#![cfg(test)]

mod common;

use common::{changed, with, BASE};
use violetyoke_lab::experiment::{parse, variants};
use violetyoke_lab::outcome::Outcome;
use violetyoke_lab::run;
use violetyoke_lab::world::{Policy, World};

fn play(text: &str) -> Outcome {
    World::new(&with(text), 5, Policy::Module).play()
}

/// All figures of all runs, as they are written.
fn written(text: &str, threads: usize) -> String {
    let experiment = parse(text).expect("a good file");
    let variants = variants(text, &experiment).expect("good values");
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
    let runs = pool.install(|| run::run_all(&variants, || ()));
    serde_json::to_string(&run::report(&experiment, runs)).expect("plain figures")
}

#[test]
fn the_same_seed_gives_the_same_bytes_on_one_thread_and_on_eight() {
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
fn an_attempt_that_is_given_up_keeps_its_worker_busy() {
    let outcome =
        play("[[fault]]\nkind = \"slow_nodes\"\npart = 0.5\nby = 40\nat_seconds = 4\nfor_seconds = 4\n");
    assert!(outcome.useless_work > 1e6, "{}", outcome.useless_work);
    assert!(outcome.work > outcome.useless_work);
    let calm = play("");
    assert!(calm.useless_work < outcome.useless_work / 10.0, "{}", calm.useless_work);
}

#[test]
fn answers_of_the_counter_that_come_after_their_time_out_have_been_added() {
    // Eight times slower than what it is asked for, with a line that takes longer than the time-out.
    let slow =
        changed(&[("calls_per_second = 400", "calls_per_second = 60"), ("line = 12", "line = 40")], "");
    let outcome = World::new(&slow, 5, Policy::Module).play();
    assert!(outcome.calls.late > 50, "{:?}", outcome.calls);
    assert!(outcome.calls.turned_away > 0, "{:?}", outcome.calls);
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
}

#[test]
fn seven_in_ten_ingresses_die_at_once_and_are_back_within_seconds() {
    let fault = "[[fault]]\nkind = \"kill_ingresses\"\npart = 0.7\nat_seconds = 5\nfor_seconds = 1.5\n";
    let (killed, calm) = (play(fault), play(""));
    assert!(killed.violations.is_none(), "{:?}", killed.violations);
    // Their clients see it, their nodes get all connections anew, and it passes.
    assert!(killed.failed.contains_key("NoAnswer"), "{:?}", killed.failed);
    assert!(killed.handshakes > calm.handshakes, "{} {}", killed.handshakes, calm.handshakes);
    assert!(killed.served.tries < calm.served.tries);
    assert!(killed.recovered_after.is_some());
}

#[test]
fn a_node_that_answers_after_its_ingress_has_died_and_numbers_that_begin_anew_confuse_nobody() {
    // Ingresses die again and again with requests at nodes that take long, while nodes are replaced: attempts of an
    // earlier life end in a later one, and the later one numbers nodes in another order.
    let outcome = play(
        "[[fault]]\nkind = \"kill_ingresses\"\npart = 0.3\nat_seconds = 3\nfor_seconds = 0.05\nevery_seconds = 0.3\n\n\
         [[fault]]\nkind = \"slow_nodes\"\npart = 1.0\nby = 4\nat_seconds = 2\nfor_seconds = 10\n\n\
         [[fault]]\nkind = \"replace_nodes\"\npart = 0.5\nat_seconds = 4\nover_seconds = 4\n",
    );
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
    assert!(outcome.useless_work > 0.0);
    assert_eq!(outcome.defects, 0);
}

#[test]
fn sixty_nodes_restart_together_and_none_is_pushed_over() {
    let words = [
        ("count = 8", "count = 60"),
        ("tries_per_second = 260", "tries_per_second = 900"),
        ("accounts = 40", "accounts = 400"),
    ];
    let fault = "[[fault]]\nkind = \"kill_nodes\"\npart = 1.0\nat_seconds = 4\nfor_seconds = 0.5\n";
    let outcome = World::new(&changed(&words, fault), 5, Policy::Module).play();
    assert!(outcome.violations.is_none(), "{:?}", outcome.violations);
    assert!(outcome.ends.get("ConnectFailed").is_some_and(|many| *many >= 60), "{:?}", outcome.ends);
    assert!(outcome.served.tries > 1_000, "{:?}", outcome.shares());
}

#[test]
fn a_zone_is_lost_and_back_cold_six_in_ten_nodes_are_replaced_some_fail_some_are_slow() {
    for (fault, sees) in [
        ("kind = \"silence_nodes\"\nzone = 1\nat_seconds = 4\nfor_seconds = 3", "Timeout"),
        ("kind = \"replace_nodes\"\npart = 0.6\nat_seconds = 3\nover_seconds = 5", "Ok"),
        ("kind = \"fail_nodes\"\npart = 0.1\nat_seconds = 3\nfor_seconds = 8", "Error"),
        ("kind = \"cut_zone\"\nzone = 0\nat_seconds = 4\nfor_seconds = 4", "Timeout"),
    ] {
        let outcome = play(&format!("[[fault]]\n{fault}\n"));
        assert!(outcome.violations.is_none(), "{fault}: {:?}", outcome.violations);
        assert!(outcome.ends.contains_key(sees), "{fault}: {:?}", outcome.ends);
        assert!(outcome.served.tries > 400, "{fault}: {:?}", outcome.shares());
    }
}

#[test]
fn closed_clients_wait_for_their_answers_before_they_ask_again() {
    let few = changed(&[("tries_per_second = 260", "clients = 20\nthink_ms = 500")], "");
    let outcome = World::new(&few, 5, Policy::Module).play();
    // Twenty clients with half a second between an answer and the next try can't ask 40 times a second.
    let a_second = outcome.asked.tries as f64 / 12.0;
    assert!((10.0..40.0).contains(&a_second), "{a_second}");
}

#[test]
fn the_oracle_stands_above_the_module_and_blind_chance_below_the_oracle() {
    let run = run::run_seed("", &with(""), 5);
    assert!(run.oracle.net > run.module.net, "{} {}", run.oracle.net, run.module.net);
    assert!(run.oracle.net > run.random.net);
    // Units count at the node, a moment after the decision: hardly anything may come of that.
    assert!(run.oracle.beyond_units < 1e-3 * run.oracle.units, "{}", run.oracle.beyond_units);
    assert!(
        run.random.beyond_units > run.module.beyond_units,
        "{} {}",
        run.random.beyond_units,
        run.module.beyond_units
    );
}

#[test]
fn a_call_changes_a_decision_only_where_its_total_decided() {
    // Nobody hears the counter: whatever is decided is decided alone.
    let alone = play("[[fault]]\nkind = \"silence_counter\"\nat_seconds = 0\nfor_seconds = 60\n");
    assert!(alone.calls.decide > 0 && alone.units > 0.0, "{:?}", alone.calls);
    assert_eq!(alone.calls.changed, 0, "{:?}", alone.calls);
    // With one, calls of accounts that ask beyond their quotas do.
    let counted = play("");
    assert!(counted.calls.changed > 0 && counted.calls.changed < counted.calls.decide, "{:?}", counted.calls);
    assert!(counted.node_load[1] > 0.05 && counted.node_load[2] < 1.0, "{:?}", counted.node_load);
}
