//! The clock that leases are counted by: it goes on while the machine sleeps, and nobody sets it.

use rustix::time::{clock_gettime, ClockId};
use violetyoke_ownership::Micros;

/// Microseconds since the machine was started, sleep and all.
pub fn boottime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}
