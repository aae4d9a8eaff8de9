//! Operations that clients repeat with the same key, also from other zones: after a success, after a failure, and after
//! a fault of core machines.

use super::{Submission, Workload};
use crate::records::{ClientRequest, Millis};
use crate::site::credential;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;

/// The fraction of operations that is repeated after a success.
const REPEATED_AFTER_SUCCESS: f64 = 0.1;
/// The fraction of operations that is repeated after all attempts have failed.
const REPEATED_AFTER_FAILURE: f64 = 0.5;
/// The fraction of repeats that is sent from a random zone.
const FROM_ANY_ZONE: f64 = 0.5;
/// The maximum pause before an operation is repeated (ms).
const MAX_PAUSE: Millis = 3_000;
/// How often each recent operation is repeated after a fault.
const REPEATS_AFTER_FAULT: u64 = 3;
/// Operations are recent if they were first sent within this time (ms).
const RECENT_WINDOW: Millis = 10_000;
/// The maximum number of operations repeated after a fault, newest first. More would exceed the tenants' rate limits
/// and be answered with 429.
const MAX_RECENT_OPERATIONS: usize = 40;

/// An operation to be repeated.
struct Repeat {
    due_at: Millis,
    submission: Submission,
}

/// All operations to be repeated.
#[derive(Default)]
pub(crate) struct Repeats(RefCell<Vec<Repeat>>);

impl Repeats {
    fn add(&self, due_at: Millis, submission: Submission) {
        self.0.borrow_mut().push(Repeat { due_at, submission });
    }

    /// Takes the repeats that a zone's clients have to send by now.
    pub(super) fn take_due(&self, zone: usize, now: Millis) -> Vec<Submission> {
        let mut repeats = self.0.borrow_mut();
        let (due_at, waiting): (Vec<Repeat>, Vec<Repeat>) =
            repeats.drain(..).partition(|repeat| repeat.submission.zone == zone && repeat.due_at <= now);
        *repeats = waiting;
        due_at.into_iter().map(|repeat| repeat.submission).collect()
    }
}

impl Workload {
    /// Schedules a repeat of some operations, after their first request has ended.
    pub(super) fn repeat_after_end(&self, submission: &Submission, is_served: bool, rng: &mut Pcg64Mcg) {
        let part = if is_served { REPEATED_AFTER_SUCCESS } else { REPEATED_AFTER_FAILURE };
        if rng.random::<f64>() >= part {
            return;
        }
        let is_from_any_zone = rng.random::<f64>() < FROM_ANY_ZONE;
        let any_zone = rng.random_range(0..self.site.zones.len());
        let zone = if is_from_any_zone { any_zone } else { submission.zone };
        let due_at = self.recorder.now() + rng.random_range(0..MAX_PAUSE);
        self.repeats.add(due_at, Submission { zone, is_repeat: true, ..submission.clone() });
    }

    /// Schedules several repeats of each recent operation, from random zones, after a fault of core machines.
    pub(crate) fn repeat_recent(&self, random: impl Fn() -> u64) {
        let now = self.recorder.now();
        let is_recent = |request: &ClientRequest| {
            request.operation_key.is_some() && request.first_sent + RECENT_WINDOW >= now
        };
        let submission = |(index, request): (usize, &ClientRequest)| Submission {
            request: index,
            credential: credential(&request.tenant),
            zone: 0,
            is_repeat: true,
        };
        let recent: Vec<Submission> = self.recorder.with(|records| {
            let recent = records.requests.iter().enumerate().rev().filter(|(_, it)| is_recent(it));
            recent.take(MAX_RECENT_OPERATIONS).map(submission).collect()
        });
        for submission in recent {
            for _ in 0..REPEATS_AFTER_FAULT {
                let zone = random() as usize % self.site.zones.len();
                self.repeats.add(now + random() % MAX_PAUSE, Submission { zone, ..submission.clone() });
            }
        }
    }
}
