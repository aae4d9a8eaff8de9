//! Further attempts: all ingresses together have one budget a service, cut evenly; each keeps to its part.

use crate::Millis;

/// The window is held in so many pieces.
const PIECES: usize = 20;
/// Of its part, so much is used: windows slide, and members come and go.
const PART: f64 = 0.8;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub ratio: f64,
    pub window_ms: Millis,
    pub slack: f64,
}

#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    requests: [u32; PIECES],
    further: [u32; PIECES],
    at: u64,
}

impl Budget {
    pub fn new(terms: Terms) -> Budget {
        Budget { terms, requests: [0; PIECES], further: [0; PIECES], at: 0 }
    }

    fn roll(&mut self, now: Millis) -> usize {
        let piece = (self.terms.window_ms / PIECES as u64).max(1);
        let at = now / piece;
        let steps = (at - self.at.min(at)).min(PIECES as u64);
        for step in 0..steps {
            let place = ((at - step) % PIECES as u64) as usize;
            (self.requests[place], self.further[place]) = (0, 0);
        }
        self.at = at;
        (at % PIECES as u64) as usize
    }

    /// A request of a client.
    pub fn request(&mut self, now: Millis) {
        let place = self.roll(now);
        self.requests[place] += 1;
    }

    /// There is one further attempt in the budget, for one of `ingresses`.
    pub fn room(&mut self, now: Millis, ingresses: usize) -> bool {
        self.roll(now);
        let requests: u32 = self.requests.iter().sum();
        let used: u32 = self.further.iter().sum();
        let slack = self.terms.slack / ingresses.max(1) as f64;
        let most = PART * (self.terms.ratio * f64::from(requests) + slack);
        f64::from(used) + 1.0 <= most
    }

    /// Takes one further attempt from the budget, where there is one.
    pub fn further(&mut self, now: Millis, ingresses: usize) -> bool {
        let room = self.room(now, ingresses);
        let place = self.roll(now);
        self.further[place] += u32::from(room);
        room
    }
}
