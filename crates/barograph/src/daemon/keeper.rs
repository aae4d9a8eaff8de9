//! The disk on a thread of its own: what is to be kept, in order, again until it is.

use super::Input;
use crate::disk::Slots;
use crate::register::Durable;
use std::collections::VecDeque;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// A disk that takes longer for one state does not answer.
const LATE: Duration = Duration::from_millis(600);
/// After a write that was refused.
const AGAIN: Duration = Duration::from_millis(100);

pub(super) struct Keeper {
    queue: Sender<(u64, Durable)>,
    out: VecDeque<(u64, Instant)>,
}

impl Keeper {
    pub fn new(slots: Slots, inputs: UnboundedSender<Input>) -> Keeper {
        let (queue, taken) = channel();
        std::thread::spawn(move || work(slots, &taken, &inputs));
        Keeper { queue, out: VecDeque::new() }
    }

    pub fn keep(&mut self, number: u64, state: Durable) {
        self.out.push_back((number, Instant::now()));
        // The thread ends with the process alone.
        let _ = self.queue.send((number, state));
    }

    pub fn kept(&mut self, number: u64) {
        self.out.retain(|(out, _)| *out > number);
    }

    pub fn answers(&self) -> bool {
        self.out.front().is_none_or(|(_, since)| since.elapsed() < LATE)
    }
}

fn work(mut slots: Slots, queue: &Receiver<(u64, Durable)>, inputs: &UnboundedSender<Input>) {
    while let Ok((mut number, mut state)) = queue.recv() {
        // A later state holds all that an earlier one does.
        while let Ok(later) = queue.try_recv() {
            (number, state) = later;
        }
        while slots.put(&state).is_err() {
            std::thread::sleep(AGAIN);
        }
        if inputs.send(Input::Kept(number)).is_err() {
            return;
        }
    }
}
