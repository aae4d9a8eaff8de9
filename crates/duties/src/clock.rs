//! The clock of leases: it keeps running while the machine is suspended, and can't be set.

use rustix::time::{clock_gettime, ClockId};
use violetyoke_ownership::Micros;

/// Microseconds since the machine started, suspension included (Linux's `CLOCK_BOOTTIME`).
pub fn boottime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}
