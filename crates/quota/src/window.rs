//! One count: fixed windows, of which the one before counts less and less.

use crate::Millis;

/// What a tenant may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Length of a window (ms), and the most requests in one.
    pub length: Millis,
    pub most: f64,
}

/// Bounds of a window's length (ms): shorter ones are blurred by the way of an add, longer ones forget too late.
const SHORTEST: f64 = 200.0;
const LONGEST: f64 = 10_000.0;

impl Limit {
    /// None where there is no limit (`rate` 0). A window is `burst / rate` long, with the burst as the most in it.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Limit> {
        if rate_per_s <= 0.0 || !rate_per_s.is_finite() {
            return None;
        }
        let natural = if burst > 0.0 { burst / rate_per_s * 1000.0 } else { 1000.0 };
        let length = natural.clamp(SHORTEST, LONGEST).round();
        Some(Limit { length: length as Millis, most: (rate_per_s * length / 1000.0).max(1.0) })
    }

    /// A part of it, for one of several that can't ask: windows long enough for whole requests.
    pub fn part(self, part: f64, length: Millis) -> Limit {
        let rate = self.most / self.length as f64;
        let length = length.max(self.length);
        Limit { length, most: (rate * length as f64 * part).max(1.0) }
    }
}

/// A tenant's count in the window at hand and in the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    number: u64,
    current: f64,
    previous: f64,
}

impl Window {
    fn roll(&mut self, now: Millis, limit: Limit) {
        let number = now / limit.length;
        if number != self.number {
            self.previous = if number == self.number + 1 { self.current } else { 0.0 };
            self.current = 0.0;
            self.number = number;
        }
    }

    /// Use as the two windows estimate it.
    pub fn estimate(&mut self, now: Millis, limit: Limit) -> f64 {
        self.roll(now, limit);
        let elapsed = (now % limit.length) as f64 / limit.length as f64;
        self.previous * (1.0 - elapsed) + self.current
    }

    /// Adds one request; past the limit it is given back, and the error says when there may be room (ms).
    pub fn add(&mut self, now: Millis, limit: Limit) -> Result<(), Millis> {
        if self.estimate(now, limit) + 1.0 <= limit.most {
            self.current += 1.0;
            return Ok(());
        }
        let length = limit.length as f64;
        let elapsed = (now % limit.length) as f64;
        let room = limit.most - 1.0 - self.current;
        let at = if room >= 0.0 && self.previous > 0.0 {
            length * (1.0 - room / self.previous)
        } else {
            // Only the next window has room, once enough of this one has gone by.
            length + length * (1.0 - (limit.most - 1.0) / self.current.max(1.0)).max(0.0)
        };
        Err((at - elapsed).max(1.0).ceil() as Millis)
    }

    /// The larger of two counts of the same, window by window.
    pub fn larger(mut self, mut other: Window, now: Millis, limit: Limit) -> Window {
        self.roll(now, limit);
        other.roll(now, limit);
        let (current, previous) = (self.current.max(other.current), self.previous.max(other.previous));
        Window { number: self.number, current, previous }
    }

    /// Counts what was let pass without asking here.
    pub fn note(&mut self, now: Millis, limit: Limit, current: f64, previous: f64) {
        self.roll(now, limit);
        self.current += current;
        self.previous += previous;
    }

    /// What the two windows hold.
    pub fn held(&mut self, now: Millis, limit: Limit) -> (f64, f64) {
        self.roll(now, limit);
        (self.current, self.previous)
    }
}
