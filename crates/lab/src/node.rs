//! An emulated node: workers, a queue, connections, slow start and faults. A node completes the work that it has
//! started, even if the attempt was cancelled.

use std::collections::VecDeque;
use violetyoke_decision::interface::Micros;

/// What a worker works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// The handshake of a new connection, for the attempt of this serial.
    Handshake(u64),
    /// The request of the attempt of this serial.
    Attempt(u64),
}

/// The settings of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings {
    /// Jobs worked on at once.
    pub workers: usize,
    /// The most requests that wait.
    pub queue: usize,
    /// The most connections.
    pub connections: u32,
    /// Time of a worker for a handshake.
    pub handshake: Micros,
    /// Share of its speed right after its start.
    pub initial_speed: f64,
    /// How long its slow start takes.
    pub slow_start: Micros,
    /// During its slow start a node fails under more than this multiple of its capacity.
    pub overload_factor: f64,
    /// The window over which incoming work is averaged for that.
    pub overload_window: Micros,
}

/// A node and its state.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name in lists.
    pub name: String,
    /// The number of its zone.
    pub zone: u16,
    /// As a multiple of the mean speed.
    pub speed: f64,
    /// Incremented when it dies: connections and events of an earlier epoch are void.
    pub epoch: u32,
    /// Whether its process runs.
    pub is_up: bool,
    /// Whether its machine is unreachable.
    pub is_silent: bool,
    /// Whether it refuses new requests because it will end.
    pub is_draining: bool,
    /// Whether it has been replaced, and does not come back.
    pub is_removed: bool,
    /// When its process was started; 0: long before the run.
    pub started_at: Micros,
    /// Factor on its work times.
    pub slowdown: f64,
    /// Share of its requests that it fails at once.
    pub failure_share: f64,
    /// The node completes no work until then.
    pub paused_until: Micros,
    /// Open connections, with those whose handshake is not complete.
    pub connections: u32,
    /// Serials that workers work on.
    pub working: Vec<u64>,
    /// Waiting jobs.
    pub queue: VecDeque<Job>,
    recent_work: RecentWork,
    /// When it was added.
    pub added_at: Micros,
    /// Time that its workers have worked, in microseconds.
    pub busy: f64,
}

/// Incoming work in microseconds, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RecentWork {
    work: f64,
    at: Micros,
}

impl Node {
    /// An idle node whose process was started at this time; 0: long before the run.
    pub fn new(name: String, zone: u16, speed: f64, started_at: Micros) -> Node {
        Node {
            name,
            zone,
            speed,
            epoch: 0,
            is_up: true,
            is_silent: false,
            is_draining: false,
            is_removed: false,
            started_at,
            slowdown: 1.0,
            failure_share: 0.0,
            paused_until: 0,
            connections: 0,
            working: Vec::new(),
            queue: VecDeque::new(),
            recent_work: RecentWork::default(),
            added_at: started_at.max(crate::START),
            busy: 0.0,
        }
    }

    /// The share of its speed that its slow start allows now.
    pub fn slow_start_share(&self, now: Micros, settings: &NodeSettings) -> f64 {
        if self.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at).min(settings.slow_start) as f64;
        settings.initial_speed + (1.0 - settings.initial_speed) * age / settings.slow_start.max(1) as f64
    }

    /// Whether it is in its slow start.
    pub fn is_in_slow_start(&self, now: Micros, settings: &NodeSettings) -> bool {
        self.started_at > 0 && now < self.started_at + settings.slow_start
    }

    /// Whether it is reachable and accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.is_up && !self.is_silent && !self.is_draining && !self.is_removed
    }

    /// How long a worker needs for this much work, from now.
    pub fn work_time(&self, now: Micros, work: f64, settings: &NodeSettings) -> Micros {
        let pause = self.paused_until.saturating_sub(now);
        pause + (work * self.slowdown / self.speed / self.slow_start_share(now, settings)).max(1.0) as Micros
    }

    /// How long a request that came now would take, with its time in the queue.
    pub fn expected_time(&self, now: Micros, work: f64, mean_work: f64, settings: &NodeSettings) -> f64 {
        let before = (self.working.len() + self.queue.len() + 1).saturating_sub(settings.workers) as f64;
        let speed = self.speed * self.slow_start_share(now, settings) / self.slowdown;
        (work + before * mean_work / settings.workers as f64) / speed
            + self.paused_until.saturating_sub(now) as f64
    }

    fn recent_work(&self, now: Micros, settings: &NodeSettings) -> f64 {
        let window = settings.overload_window.max(1) as f64;
        self.recent_work.work * (-(now.saturating_sub(self.recent_work.at) as f64) / window).exp()
    }

    /// Recent work plus `more`, as a multiple of the load under which the node fails; 0 after the slow start.
    pub fn pressure(&self, now: Micros, more: f64, settings: &NodeSettings) -> f64 {
        if !self.is_in_slow_start(now, settings) {
            return 0.0;
        }
        let capacity = settings.workers as f64
            * self.speed
            * self.slow_start_share(now, settings)
            * settings.overload_window as f64;
        (self.recent_work(now, settings) + more) / (settings.overload_factor * capacity)
    }

    /// Adds incoming work. Returns whether the load makes the node fail in its slow start.
    #[must_use]
    pub fn add_work(&mut self, now: Micros, work: f64, settings: &NodeSettings) -> bool {
        self.recent_work = RecentWork { work: self.recent_work(now, settings) + work, at: now };
        self.pressure(now, 0.0, settings) > 1.0
    }

    /// Starts or queues a job. A handshake goes to the front of the queue, even if the queue is full.
    #[must_use]
    pub fn place(&mut self, job: Job, settings: &NodeSettings) -> Placement {
        if self.working.len() < settings.workers {
            return Placement::Started;
        }
        if let Job::Handshake(_) = job {
            self.queue.push_front(job);
        } else if self.queue.len() < settings.queue {
            self.queue.push_back(job);
        } else {
            return Placement::QueueFull;
        }
        Placement::Queued
    }

    /// Its process dies. Returns the serials of the attempts that it worked on and that waited.
    pub fn kill(&mut self) -> Vec<u64> {
        self.is_up = false;
        self.epoch += 1;
        self.connections = 0;
        self.recent_work = RecentWork::default();
        let waiting = self.queue.drain(..).map(|job| match job {
            Job::Handshake(attempt) | Job::Attempt(attempt) => attempt,
        });
        let lost: Vec<u64> = waiting.collect();
        self.working.drain(..).chain(lost).collect()
    }

    /// Its process is started, and its slow start begins.
    pub fn start(&mut self, now: Micros) {
        (self.is_up, self.is_silent, self.is_draining, self.started_at) = (true, false, false, now);
    }
}

/// Where a job has been placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// A worker is free, and must be given the job.
    Started,
    /// The job is queued.
    Queued,
    /// The job is refused because the queue is full.
    QueueFull,
}
