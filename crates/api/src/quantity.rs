//! Quantities that documents, messages and header fields state as a number: times and sizes.
//!
//! Any number can be stated: below zero, beyond the range of a clock, or larger than any memory. The types of this module keep
//! it as it was stated, so that a document is shown and compared as its sender wrote it, and give it to computations only
//! within a range in which sums with times and sizes can't overflow.

use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::time::Duration;

/// The longest time that a stated number stands for: a year. The time that is computed from the present time and this one
/// is within the range of every clock.
pub const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);
/// The largest size that a stated number stands for (bytes): 1 TiB.
pub const MAX_BYTES: u64 = 1 << 40;

/// [`MAX_DURATION`] in milliseconds.
const MAX_MILLIS: u64 = 365 * 24 * 3600 * 1_000;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A number of milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Milliseconds(f64);

/// A number of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Seconds(f64);

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct ByteCount(f64);

impl Milliseconds {
    /// The quantity with a stated number.
    #[must_use]
    pub const fn new(stated: f64) -> Milliseconds {
        Milliseconds(stated)
    }

    /// Parses the text of a header field; `None` if it is not a number.
    #[must_use]
    pub fn parse(text: &str) -> Option<Milliseconds> {
        text.trim().parse().ok().filter(|number: &f64| !number.is_nan()).map(Milliseconds)
    }

    /// The number as it was stated, for messages and validation.
    #[must_use]
    pub fn stated(self) -> f64 {
        self.0
    }

    /// Whether the number is 0 or more.
    #[must_use]
    pub fn is_valid(self) -> bool {
        self.0 >= 0.0
    }

    /// The time, from 0 to [`MAX_DURATION`]. A number below 0 and one that is not a number stand for 0.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        bounded_duration(self.0 / MILLIS_PER_SECOND)
    }

    /// The same in whole milliseconds, rounded down.
    #[must_use]
    pub fn to_millis(self) -> u64 {
        whole_millis(self.0)
    }
}

impl Seconds {
    /// The quantity with a stated number.
    #[must_use]
    pub const fn new(stated: f64) -> Seconds {
        Seconds(stated)
    }

    /// The number as it was stated, for messages and validation.
    #[must_use]
    pub fn stated(self) -> f64 {
        self.0
    }

    /// The time, from 0 to [`MAX_DURATION`]. A number below 0 and one that is not a number stand for 0.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        bounded_duration(self.0)
    }

    /// The same in whole milliseconds, rounded down.
    #[must_use]
    pub fn to_millis(self) -> u64 {
        whole_millis(self.0 * MILLIS_PER_SECOND)
    }
}

impl ByteCount {
    /// The quantity with a stated number.
    #[must_use]
    pub const fn new(stated: f64) -> ByteCount {
        ByteCount(stated)
    }

    /// Whether the number is 0 or more.
    #[must_use]
    pub fn is_valid(self) -> bool {
        self.0 >= 0.0
    }

    /// The size, from 0 to [`MAX_BYTES`]. A number below 0 and one that is not a number stand for 0.
    #[must_use]
    pub fn to_bytes(self) -> u64 {
        // A conversion from a float saturates.
        (self.0 as u64).min(MAX_BYTES)
    }
}

/// Deserializes a whole number of milliseconds, which becomes at most [`MAX_DURATION`]: for fields of messages, which another
/// build may have sent.
///
/// # Errors
/// If the value is no whole number of 64 bits.
pub fn deserialize_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    u64::deserialize(deserializer).map(|millis| millis.min(MAX_MILLIS))
}

/// The time of a number of seconds, from 0 to [`MAX_DURATION`].
fn bounded_duration(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    // Never fails: the clamped number is within the range of a duration.
    Duration::try_from_secs_f64(seconds.clamp(0.0, MAX_DURATION.as_secs_f64())).unwrap_or(MAX_DURATION)
}

/// Whole milliseconds, from 0 to those of [`MAX_DURATION`].
fn whole_millis(millis: f64) -> u64 {
    // A conversion from a float saturates.
    (millis as u64).min(MAX_MILLIS)
}

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
