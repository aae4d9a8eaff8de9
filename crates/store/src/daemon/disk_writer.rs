//! Writes the durable state apart from all else, in order, and each state until it is written. A real disk has a thread
//! of its own, an emulated one a task.

use super::input::{Input, InputSender};
use super::storage::Storage;
use crate::consensus::{DurableState, WriteNumber};
use crate::disk::{SlotCursor, SlotFolder, SlotStorage, WriteError};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::Instant;
use violetyoke_transport::environment::Disk;

/// A disk that takes longer for one state is not healthy.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A state to be written.
struct Request {
    number: WriteNumber,
    state: DurableState,
}

enum RequestSender {
    Thread(Sender<Request>),
    Task(UnboundedSender<Request>),
}

/// A write that is not on the disk yet.
struct Unfinished {
    number: WriteNumber,
    requested_at: Instant,
}

/// Takes writes for the disk, and watches how long they take.
///
/// Once the event loop has ended, a worker thread ends after its present write, and a worker task ends at once.
pub(super) struct DiskWriter {
    requests: RequestSender,
    unfinished: VecDeque<Unfinished>,
    /// The disk has refused the newest attempt at a write.
    is_failing: bool,
    _worker: JoinSet<()>,
}

impl DiskWriter {
    /// Starts the worker. It reports each write that is on the disk as [`Input::Persisted`].
    pub(super) fn start(storage: Storage, inputs: InputSender) -> DiskWriter {
        let mut worker = JoinSet::new();
        let requests = match storage {
            Storage::Folder(storage) => {
                let (sender, receiver) = channel();
                std::thread::spawn(move || write_to_folder(storage, &receiver, &inputs));
                RequestSender::Thread(sender)
            }
            Storage::Emulated(disk, cursor) => {
                let (sender, receiver) = unbounded_channel();
                worker.spawn_local(write_to_emulated(disk, cursor, receiver, inputs));
                RequestSender::Task(sender)
            }
        };
        DiskWriter { requests, unfinished: VecDeque::new(), is_failing: false, _worker: worker }
    }

    /// Requests a write. It replaces an earlier one that has not begun.
    pub(super) fn write(&mut self, number: WriteNumber, state: DurableState) {
        self.unfinished.push_back(Unfinished { number, requested_at: Instant::now() });
        let request = Request { number, state };
        // The worker outlives this writer unless it panics. Then the write is lost and stays unfinished: the disk counts
        // as unhealthy from then on, and nothing that waits for the write is sent.
        match &self.requests {
            RequestSender::Thread(sender) => drop(sender.send(request)),
            RequestSender::Task(sender) => drop(sender.send(request)),
        }
    }

    /// All writes up to this one are on the disk. Returns whether it is the first one after a failure.
    pub(super) fn on_persisted(&mut self, number: WriteNumber) -> bool {
        self.unfinished.retain(|unfinished| unfinished.number > number);
        std::mem::replace(&mut self.is_failing, false)
    }

    /// The disk has refused a write. Returns whether it is the first failure after a success.
    pub(super) fn on_write_failed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Whether the disk completes its writes in time.
    pub(super) fn is_healthy(&self) -> bool {
        self.unfinished.front().is_none_or(|oldest| oldest.requested_at.elapsed() < WRITE_TIMEOUT)
    }
}

/// The newest request that is queued: its state contains all that an earlier one does.
fn newest(mut request: Request, mut next: impl FnMut() -> Option<Request>) -> Request {
    while let Some(newer) = next() {
        request = newer;
    }
    request
}

fn write_to_folder(mut storage: SlotStorage<SlotFolder>, requests: &Receiver<Request>, inputs: &InputSender) {
    while let Ok(request) = requests.recv() {
        let Request { number, state } = newest(request, || requests.try_recv().ok());
        // Why a write fails makes no difference to the replica: meanwhile the disk counts as unhealthy.
        while let Err(error) = storage.write(&state) {
            inputs.send(Input::WriteFailed(error));
            std::thread::sleep(RETRY_DELAY);
        }
        inputs.send(Input::Persisted(number));
        if inputs.is_closed() {
            return;
        }
    }
}

async fn write_to_emulated(
    disk: Rc<dyn Disk>,
    mut cursor: SlotCursor,
    mut requests: UnboundedReceiver<Request>,
    inputs: InputSender,
) {
    while let Some(request) = requests.recv().await {
        let Request { number, state } = newest(request, || requests.try_recv().ok());
        while let Err(error) = write_slot(&*disk, cursor, &state).await {
            inputs.send(Input::WriteFailed(error));
            tokio::time::sleep(RETRY_DELAY).await;
        }
        cursor.advance();
        inputs.send(Input::Persisted(number));
        if inputs.is_closed() {
            return;
        }
    }
}

/// Writes a state to the emulated disk.
async fn write_slot(disk: &dyn Disk, cursor: SlotCursor, state: &DurableState) -> Result<(), WriteError> {
    Ok(disk.write_slot(cursor.slot(), cursor.encode(state)?).await?)
}
