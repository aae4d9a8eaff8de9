//! The disk apart from all else: what is to be kept, in order, again until it is. A real one has a thread of its own, an
//! emulated one a task.

use super::Input;
use crate::disk::{self, Slots, Turn};
use crate::register::Durable;
use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use violetyoke_transport::environment::{current, Disk};

/// A disk that takes longer for one state does not answer.
const LATE: Duration = Duration::from_millis(600);
/// After a write that was refused.
const AGAIN: Duration = Duration::from_millis(100);

/// Where states are kept.
pub(super) enum Place {
    Folder(Slots),
    Environment(Rc<dyn Disk>, Turn),
}

impl Place {
    /// Opens a folder, and what it holds.
    pub fn open(folder: &Path) -> io::Result<(Place, Option<Durable>)> {
        if let Some(environment) = current() {
            let disk = environment.disk(folder);
            let (turn, kept) = Turn::after(disk.read().map(|bytes| disk::read(&bytes)));
            return Ok((Place::Environment(disk, turn), kept));
        }
        Slots::open(folder).map(|(slots, kept)| (Place::Folder(slots), kept))
    }
}

enum Queue {
    Thread(Sender<(u64, Durable)>),
    Task(UnboundedSender<(u64, Durable)>),
}

pub(super) struct Keeper {
    queue: Queue,
    out: VecDeque<(u64, Instant)>,
}

impl Keeper {
    pub fn new(place: Place, inputs: UnboundedSender<Input>) -> Keeper {
        let queue = match place {
            Place::Folder(slots) => {
                let (queue, taken) = channel();
                std::thread::spawn(move || work(slots, &taken, &inputs));
                Queue::Thread(queue)
            }
            Place::Environment(disk, turn) => {
                let (queue, taken) = unbounded_channel();
                tokio::task::spawn_local(emulated(disk, turn, taken, inputs));
                Queue::Task(queue)
            }
        };
        Keeper { queue, out: VecDeque::new() }
    }

    pub fn keep(&mut self, number: u64, state: Durable) {
        self.out.push_back((number, Instant::now()));
        // Whoever takes these ends with the process alone.
        match &self.queue {
            Queue::Thread(queue) => drop(queue.send((number, state))),
            Queue::Task(queue) => drop(queue.send((number, state))),
        }
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

async fn emulated(
    disk: Rc<dyn Disk>,
    mut turn: Turn,
    mut queue: UnboundedReceiver<(u64, Durable)>,
    inputs: UnboundedSender<Input>,
) {
    while let Some((mut number, mut state)) = queue.recv().await {
        while let Ok(later) = queue.try_recv() {
            (number, state) = later;
        }
        while disk.write_slot(turn.slot, turn.bytes(&state)).await.is_err() {
            tokio::time::sleep(AGAIN).await;
        }
        turn.done();
        if inputs.send(Input::Kept(number)).is_err() {
            return;
        }
    }
}
