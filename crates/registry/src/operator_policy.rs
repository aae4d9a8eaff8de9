//! When an operator's command is sent, and when its effect is confirmed.

use crate::commands::RESPONSE_TIMEOUT;
use std::time::Duration;
use violetyoke_transport::messages::Command;

/// The longest that a confirmation waits for all proxies to install the version.
const INSTALLATION_TIMEOUT: Duration = Duration::from_millis(450);
/// The longest that a confirmation may take in all: an operator goes on to another registry after a second of silence.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(RESPONSE_TIMEOUT + 50);
/// How long an evacuation is delayed. It has no version: one that was sent long ago, and has come late over a partitioned
/// link or to a process that was suspended, would undo later commands. Its operator has gone on and closed the
/// connection, which is known within this time of the arrival of the call; the call is dropped then.
const EVACUATION_DELAY: Duration = Duration::from_millis(60);

/// How long a command is delayed before it is sent, in which it is dropped if its operator closes the connection.
pub fn admission_delay(command: &Command) -> Option<Duration> {
    match command {
        Command::Evacuate { .. } => Some(EVACUATION_DELAY),
        // A configuration has a version, and reading changes nothing.
        Command::Replace { .. } | Command::Read => None,
    }
}

/// How long the confirmation of a configuration waits for all proxies to install it, where the stores have taken
/// `elapsed` to accept it. An operator whose configuration was confirmed finds it in force at all proxies; but a proxy that
/// does not answer is not waited for any longer.
pub fn installation_timeout(elapsed: Duration) -> Duration {
    CONFIRMATION_TIMEOUT.saturating_sub(elapsed).min(INSTALLATION_TIMEOUT)
}
