//! What phases wait for.

use crate::figures::Figures;
use crate::installations::{Installations, Spread};
use crate::testbed::Testbed;
use std::time::{Duration, Instant};
use violetyoke_rig::wait_until;

/// A phase that takes longer than this has failed.
pub(super) const PHASE_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits until all simulated proxies are settled and know all members; whether they do in time.
pub(super) fn wait_until_complete(
    figures: &mut Figures,
    testbed: &Testbed,
    name: &str,
    since: Instant,
) -> bool {
    let (all, observations) = (testbed.size.simulated_proxies, testbed.load.observations());
    let is_complete =
        wait_until(PHASE_TIMEOUT, || observations.settled() == all && observations.complete() == all);
    if is_complete {
        figures.set(&format!("{name}.complete_s"), since.elapsed().as_secs_f64());
    } else {
        let (settled, complete) = (observations.settled(), observations.complete());
        let known = format!("{settled} settled and {complete} know all in 40 s");
        figures.add_failure(format!("{name}: of {all}, {known}"));
    }
    is_complete
}

/// Not all proxies have installed a state in time, only so many.
pub(super) struct NotInstalled(pub(super) usize);

/// Waits until all simulated proxies have installed a state that is newer than the first `known`, and says when they did.
pub(super) fn wait_until_installed<K: PartialEq>(
    installations: &Installations<K>,
    known: usize,
    all: usize,
    since: Instant,
) -> Result<Spread, NotInstalled> {
    wait_until(PHASE_TIMEOUT, || installations.newest_count(known) >= all);
    let count = installations.newest_count(known);
    installations.spread(since).filter(|_| count >= all).ok_or(NotInstalled(count))
}
