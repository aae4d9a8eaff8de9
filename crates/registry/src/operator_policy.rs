//! When an operator's command is sent, and when its effect is confirmed.

use crate::commands::RESPONSE_TIMEOUT;
use std::time::Duration;
use violetyoke_transport::messages::Command;

/// The longest time that a confirmation waits for all proxies to install the version.
const INSTALLATION_TIMEOUT: Duration = Duration::from_millis(450);
/// The longest time that a confirmation may take in total: an operator's client tries another registry if it gets no
/// response for a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(RESPONSE_TIMEOUT + 50);
/// How long an evacuation is delayed before it is sent. Evacuations have no version, so one that arrives late, over a
/// partitioned link or at a process that was suspended, would undo later commands. By then its operator's client has
/// tried another registry and closed the connection. This is detected within this time after the call has arrived,
/// and the call is dropped.
const EVACUATION_DELAY: Duration = Duration::from_millis(60);

/// How long a command is delayed before it is sent. It is dropped if its operator closes the connection in that time.
pub fn admission_delay(command: &Command) -> Option<Duration> {
    match command {
        Command::Evacuate { .. } => Some(EVACUATION_DELAY),
        // A configuration has a version, and reading changes nothing.
        Command::Replace { .. } | Command::Read => None,
    }
}

/// How long the confirmation of a configuration waits for all proxies to install it, after the stores have taken
/// `elapsed` to accept it. A confirmed configuration is in force at all proxies, except those that have not reported
/// it within this time.
pub fn installation_timeout(elapsed: Duration) -> Duration {
    CONFIRMATION_TIMEOUT.saturating_sub(elapsed).min(INSTALLATION_TIMEOUT)
}
