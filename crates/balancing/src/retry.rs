//! When a request waits, when an attempt has been waited for long enough, and whether another may be made.
//!
//! ```
//! use violetyoke_balancing::retry::Bounds;
//!
//! let search = Bounds { repeatable: true, attempts: 2, target: 400, deadline: 1_000 };
//! assert_eq!(search.queues(), 88);
//! // A backend that usually takes 50 ms is waited for 360 ms where as much is left for another.
//! assert_eq!(search.patience(1_000, Some(50.0)), Some(360));
//! assert_eq!(search.patience(420, Some(50.0)), None);
//! let booking = Bounds { repeatable: false, ..search };
//! assert_eq!(booking.patience(1_000, Some(50.0)), None);
//! ```

use crate::Millis;

/// Less than this is not worth an attempt (ms).
pub const LEAST: Millis = 20;
/// Who is turned away for want of room is told to come back after this (ms).
pub const COME_BACK: Millis = 120;

/// A request waits for room no longer than this part of its target.
const WAITS: f64 = 0.22;
/// An attempt is waited for so many times its backend's usual time, and at least this part of the target.
const TIMES: f64 = 6.0;
const PART: f64 = 0.9;
/// The usual time of a backend that has shown none (ms).
const UNKNOWN: f64 = 100.0;

/// What bounds a request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub repeatable: bool,
    /// The most backends that it may be sent to.
    pub attempts: u32,
    /// An answer within it earns its whole worth (ms), and nobody waits longer than the deadline.
    pub target: Millis,
    pub deadline: Millis,
}

impl Bounds {
    /// How long it may wait for room, from its arrival on.
    pub fn queues(&self) -> Millis {
        ((self.target as f64 * WAITS) as Millis).min(self.deadline)
    }

    /// After how long an attempt may be given up for another, which then is still in time; `left` of the deadline.
    pub fn patience(&self, left: Millis, pace: Option<f64>) -> Option<Millis> {
        let usual = pace.unwrap_or(UNKNOWN);
        let most = (usual * TIMES).max(self.target as f64 * PART);
        (self.repeatable && left as f64 >= most + usual * 2.0).then_some(most as Millis)
    }

    /// Whether one more attempt is allowed by the route, after so many.
    pub fn another(&self, made: usize) -> bool {
        (made as u32) < self.attempts
    }
}
