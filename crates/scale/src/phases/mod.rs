//! One step of a run: a system of one size from its start to its end, in phases; each phase gives figures. Those of the
//! registries and stores are of all three together, where they don't say `most`; those of proxies of one.

mod faults;
mod steady;
mod waiting;

use crate::figures::{Figures, Interval};
use crate::record::Step;
use crate::testbed::{Role, Size, Testbed};
use crate::traffic::MessageKind;
use std::path::Path;
use std::time::{Duration, Instant};
use violetyoke_rig::wait_until;
use waiting::{wait_until_complete, PHASE_TIMEOUT};

/// Between two proxies that start one after the other.
const JOIN_INTERVAL: Duration = Duration::from_millis(25);
/// Pause between two changes: the work that one leaves behind is over.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// What a step plays.
#[derive(Clone, Copy, Debug)]
pub struct StepPlan {
    /// The system.
    pub size: Size,
    /// The size that is varied in the run.
    pub scaled: usize,
    /// How often the size has been played, this time included.
    pub repeat: usize,
    /// Registries and stores are killed too.
    pub has_kills: bool,
}

/// Plays one step. What did not happen in its time, its start included, is among the step's failures.
#[must_use]
pub fn play(program: &Path, plan: &StepPlan) -> Step {
    let step = Step { size: plan.scaled, repeat: plan.repeat, ..Step::default() };
    let mut figures = Figures::new(step);
    match Testbed::start(program, plan.size) {
        Ok(testbed) => measure(&mut figures, testbed, plan.has_kills),
        Err(error) => figures.add_failure(error.to_string()),
    }
    figures.step
}

fn measure(figures: &mut Figures, mut testbed: Testbed, has_kills: bool) {
    figures.set("configuration.bytes", testbed.configuration_bytes() as f64);
    if !join(figures, &testbed) {
        return;
    }
    steady::measure_quiet(figures, &testbed);
    steady::measure_changes(figures, &mut testbed);
    steady::measure_increments(figures, &testbed);
    faults::restart_proxies(figures, &testbed);
    faults::drain_backends(figures, &testbed);
    steady::measure_resources(figures, &testbed);
    if has_kills {
        faults::kill_registry(figures, &mut testbed);
        faults::kill_core(figures, &mut testbed);
    }
}

/// All proxies start at once; where that does not come to an end, one after the other. Whether all are there.
fn join(figures: &mut Figures, testbed: &Testbed) -> bool {
    let (all, observations) = (testbed.size.simulated_proxies, testbed.load.observations());
    let before = testbed.snapshot();
    let since = Instant::now();
    (0..all).for_each(|number| testbed.load.start_proxy(number));
    if !wait_until(PHASE_TIMEOUT, || observations.settled() == all) {
        let settled = observations.settled();
        figures.add_failure(format!("join: {settled} of {all} settled in {} s", PHASE_TIMEOUT.as_secs()));
        steady::measure_resources(figures, testbed);
        return join_slowly(figures, testbed);
    }
    figures.set("join.settled_s", since.elapsed().as_secs_f64());
    wait_until_complete(figures, testbed, "join", since);
    // Whoever became ready at the end has said so by then.
    std::thread::sleep(CHANGE_INTERVAL);
    let after = testbed.snapshot();
    let interval = Interval { before: &before, after: &after, events: 1.0 };
    figures.set("registry.join.cpu_ms", figures.cpu_ms(interval, Role::Registry));
    figures.set_proxy_bytes("join", interval, testbed.size);
    figures.set_bytes_between_registries("join", interval);
    for kind in [MessageKind::Poll, MessageKind::Membership, MessageKind::BackendList, MessageKind::FullState]
    {
        figures.set_messages("join", kind, interval);
    }
    true
}

/// Ends all proxies and starts them again, one after the other.
fn join_slowly(figures: &mut Figures, testbed: &Testbed) -> bool {
    let all = testbed.size.simulated_proxies;
    (0..all).for_each(|number| testbed.load.stop_proxy(number));
    wait_until(PHASE_TIMEOUT, || testbed.load.observations().settled() == 0);
    std::thread::sleep(CHANGE_INTERVAL);
    let since = Instant::now();
    for number in 0..all {
        testbed.load.start_proxy(number);
        std::thread::sleep(JOIN_INTERVAL);
    }
    wait_until_complete(figures, testbed, "slow-join", since)
}
