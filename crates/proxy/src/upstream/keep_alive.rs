//! The keep-alive time-out of a backend: for how long it keeps an idle connection open.

use std::time::Duration;

/// The option of the `Keep-Alive` field that has the time-out in whole seconds.
const TIMEOUT_OPTION: &str = "timeout=";
/// The longest time-out that is used. No idle connection is reused after this time, so a longer one has the same effect, and
/// the time when it expires must be within the range of the clock.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);
/// Connections are closed this long before the backend's keep-alive time-out. If the backend closes a
/// connection while a request is on the way, it is unknown whether the request was executed.
const MARGIN: Duration = Duration::from_millis(700);

/// A keep-alive time-out that a backend announced; at most [`MAX_TIMEOUT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeepAliveTimeout(Duration);

impl KeepAliveTimeout {
    /// Parses the value of a `Keep-Alive` field. `None` if it has no time-out that is a whole number of seconds.
    pub(super) fn parse(value: &str) -> Option<KeepAliveTimeout> {
        let seconds = value.split(',').find_map(|option| option.trim().strip_prefix(TIMEOUT_OPTION))?;
        if seconds.is_empty() || !seconds.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        // A number of digits that can't be parsed is too large for 64 bits.
        let timeout = seconds.parse().map_or(MAX_TIMEOUT, Duration::from_secs);
        Some(KeepAliveTimeout(timeout.min(MAX_TIMEOUT)))
    }

    /// How long an idle connection may be kept; zero if it can't be reused at all.
    pub(super) fn max_idle(self) -> Duration {
        self.0.saturating_sub(MARGIN)
    }
}
