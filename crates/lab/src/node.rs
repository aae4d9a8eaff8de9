//! A sync node: workers, a queue, connections, warm-up after a start, and all that can go wrong with it. It works
//! on what it has begun also when nobody waits for it any more.

use std::collections::VecDeque;
use violetyoke_decision::interface::Micros;

/// What a worker does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// A new connection, for the attempt of that number.
    Handshake(u64),
    Attempt(u64),
}

/// Fixed figures of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub workers: usize,
    pub queue: usize,
    pub connections: u32,
    pub handshake: Micros,
    pub cold_share: f64,
    pub cold_time: Micros,
    pub fall_multiple: f64,
    pub fall_time: Micros,
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub zone: u16,
    /// Against the usual node.
    pub speed: f64,
    /// Rises with each start: what was of an earlier one is over.
    pub epoch: u32,
    pub up: bool,
    /// Its machine is not heard of.
    pub silent: bool,
    pub draining: bool,
    /// It will not come back.
    pub gone: bool,
    /// 0: long ago.
    pub born: Micros,
    pub slow: f64,
    /// Part of its requests that it fails at once.
    pub fails: f64,
    pub paused_until: Micros,
    /// Open connections, those that are yet to be shaken among them.
    pub connections: u32,
    pub working: Vec<u64>,
    pub queue: VecDeque<Job>,
    /// Work that has lately come (us), faded over the fall time.
    pressed: (f64, Micros),
    /// When it was first there.
    pub since: Micros,
    /// Worker time spent (us).
    pub busy: f64,
}

impl Node {
    pub fn new(name: String, zone: u16, speed: f64, born: Micros) -> Node {
        Node {
            name,
            zone,
            speed,
            epoch: 0,
            up: true,
            silent: false,
            draining: false,
            gone: false,
            born,
            slow: 1.0,
            fails: 0.0,
            paused_until: 0,
            connections: 0,
            working: Vec::new(),
            queue: VecDeque::new(),
            pressed: (0.0, 0),
            since: born.max(crate::START),
            busy: 0.0,
        }
    }

    /// Part of its work that it can do for its age.
    pub fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        if self.born == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.born).min(rules.cold_time) as f64;
        rules.cold_share + (1.0 - rules.cold_share) * age / rules.cold_time.max(1) as f64
    }

    pub fn is_cold(&self, now: Micros, rules: &Rules) -> bool {
        self.born > 0 && now < self.born + rules.cold_time
    }

    /// Whether it is there and takes new requests.
    pub fn serves(&self) -> bool {
        self.up && !self.silent && !self.draining && !self.gone
    }

    /// How long some work takes now.
    pub fn takes(&self, now: Micros, work: f64, rules: &Rules) -> Micros {
        let pause = self.paused_until.saturating_sub(now);
        pause + (work * self.slow / self.speed / self.warmth(now, rules)).max(1.0) as Micros
    }

    /// When a request that came now would be done.
    pub fn expected(&self, now: Micros, work: f64, mean_work: f64, rules: &Rules) -> f64 {
        let before = (self.working.len() + self.queue.len() + 1).saturating_sub(rules.workers) as f64;
        let speed = self.speed * self.warmth(now, rules) / self.slow;
        (work + before * mean_work / rules.workers as f64) / speed
            + self.paused_until.saturating_sub(now) as f64
    }

    fn pressed(&self, now: Micros, rules: &Rules) -> f64 {
        let span = rules.fall_time.max(1) as f64;
        self.pressed.0 * (-(now.saturating_sub(self.pressed.1) as f64) / span).exp()
    }

    /// What has lately come, against the most that it bears without falling over; 0 where it is warm.
    pub fn pressure(&self, now: Micros, more: f64, rules: &Rules) -> f64 {
        if !self.is_cold(now, rules) {
            return 0.0;
        }
        let can = rules.workers as f64 * self.speed * self.warmth(now, rules) * rules.fall_time as f64;
        (self.pressed(now, rules) + more) / (rules.fall_multiple * can)
    }

    /// Some work has come. Whether it is more than a cold node bears.
    pub fn press(&mut self, now: Micros, work: f64, rules: &Rules) -> bool {
        self.pressed = (self.pressed(now, rules) + work, now);
        self.pressure(now, 0.0, rules) > 1.0
    }

    /// Takes a job in hand, or in line; false: it is full. A handshake always finds a place.
    pub fn take(&mut self, job: Job, rules: &Rules) -> Placed {
        if self.working.len() < rules.workers {
            return Placed::Starts;
        }
        if let Job::Handshake(_) = job {
            self.queue.push_front(job);
        } else if self.queue.len() < rules.queue {
            self.queue.push_back(job);
        } else {
            return Placed::Full;
        }
        Placed::Waits
    }

    /// It dies, and all that it had in hand with it: the attempts in hand or in line.
    pub fn die(&mut self) -> Vec<u64> {
        self.up = false;
        self.epoch += 1;
        self.connections = 0;
        self.pressed = (0.0, 0);
        let waiting = self.queue.drain(..).map(|job| match job {
            Job::Handshake(attempt) | Job::Attempt(attempt) => attempt,
        });
        let lost: Vec<u64> = waiting.collect();
        self.working.drain(..).chain(lost).collect()
    }

    pub fn start(&mut self, now: Micros) {
        (self.up, self.silent, self.draining, self.born) = (true, false, false, now);
    }
}

/// Where a job has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placed {
    Starts,
    Waits,
    Full,
}
