//! The proxy's clock, in the unit of the crates that do no I/O.

use tokio::time::Instant;
use violetyoke_balancing::Millis;

/// Milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// The present, at least 1: in `violetyoke_balancing`, 0 is the time of what never was.
    pub(crate) fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis + 1
    }
}
