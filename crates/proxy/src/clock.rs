//! The proxy's clock. It gives times in the unit of `violetyoke_balancing` and `violetyoke_quota`, which read no clock.

use tokio::time::Instant;
use violetyoke_balancing::Millis;

/// Measures the milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// The current time. It is at least 1, as 0 stands for events that never happened in `violetyoke_balancing`.
    pub(crate) fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis + 1
    }
}
