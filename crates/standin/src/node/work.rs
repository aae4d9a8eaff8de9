//! The workers of a node, and their queue.

use super::{Execution, Server};
use crate::lock;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

/// The request was declined, because the queue is full.
pub(super) struct Declined;

impl Server {
    /// Waits for a worker, and executes the request for its service time.
    pub(super) fn execute(&self, id: &str) -> Result<(), Declined> {
        self.acquire_worker()?;
        lock(&self.state).executions.push(Execution { id: id.to_string(), started: Instant::now() });
        thread::sleep(self.service_time());
        self.release_worker();
        Ok(())
    }

    fn acquire_worker(&self) -> Result<(), Declined> {
        let mut state = lock(&self.state);
        if state.working >= self.shape.workers && state.waiting >= self.shape.queue {
            return Err(Declined);
        }
        state.in_flight.now += 1;
        state.in_flight.peak = state.in_flight.peak.max(state.in_flight.now);
        state.waiting += 1;
        let waited = self.changed.wait_while(state, |state| state.working >= self.shape.workers);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.waiting -= 1;
        state.working += 1;
        Ok(())
    }

    fn release_worker(&self) {
        let mut state = lock(&self.state);
        state.working -= 1;
        state.in_flight.now -= 1;
        self.changed.notify_all();
    }

    /// The present service time of a request. The speed rises linearly from the initial speed to full speed.
    fn service_time(&self) -> Duration {
        let shape = &self.shape;
        let age = lock(&self.state).started.elapsed();
        if age >= shape.slow_start {
            return shape.service;
        }
        let progress = age.as_secs_f64() / shape.slow_start.as_secs_f64();
        shape.service.div_f64(shape.initial_speed + (1.0 - shape.initial_speed) * progress)
    }
}
