//! Writes the durable state in a worker of its own (a thread for a real disk, a task for an emulated one), in order,
//! and repeats failed writes until they succeed.

use super::input::{Input, InputSender};
use super::pending_writes::PendingWrites;
use super::request_sender::{RequestSender, RETRY_DELAY};
use super::storage::Storage;
use crate::consensus::{DurableState, WriteNumber};
use crate::disk::{SlotCursor, SlotFolder, SlotStorage, WriteError};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinSet;
use violetyoke_transport::environment::Disk;

/// A state to be written.
struct Request {
    number: WriteNumber,
    state: DurableState,
}

/// Passes writes to the worker, and measures how long they take.
///
/// Once the event loop has ended, a worker thread ends after its current write, and a worker task ends at once.
pub(super) struct DiskWriter {
    requests: RequestSender<Request>,
    pending: PendingWrites<WriteNumber>,
    _worker: JoinSet<()>,
}

impl DiskWriter {
    /// Starts the worker, which reports completed writes as [`Input::Persisted`].
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
        DiskWriter { requests, pending: PendingWrites::default(), _worker: worker }
    }

    /// Requests a write. It replaces earlier writes that have not started.
    pub(super) fn write(&mut self, number: WriteNumber, state: DurableState) {
        self.pending.begin(number);
        self.requests.send(Request { number, state });
    }

    /// Records that all writes up to this one are on the disk. Returns whether it is the first success after a failure.
    pub(super) fn on_persisted(&mut self, number: WriteNumber) -> bool {
        self.pending.finish(number)
    }

    /// Records that a write has failed. Returns whether it is the first failure after a success.
    pub(super) fn on_write_failed(&mut self) -> bool {
        self.pending.fail()
    }

    /// Whether the disk completes its writes in time.
    pub(super) fn is_healthy(&self) -> bool {
        self.pending.is_in_time()
    }
}

/// The newest queued request. Its state includes the changes of the earlier ones, which needn't be written.
fn latest_queued(mut request: Request, mut next: impl FnMut() -> Option<Request>) -> Request {
    while let Some(newer) = next() {
        request = newer;
    }
    request
}

fn write_to_folder(mut storage: SlotStorage<SlotFolder>, requests: &Receiver<Request>, inputs: &InputSender) {
    while let Ok(request) = requests.recv() {
        let Request { number, state } = latest_queued(request, || requests.try_recv().ok());
        // The replica doesn't get the reason of a failure, only that the disk doesn't complete its writes in time.
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
        let Request { number, state } = latest_queued(request, || requests.try_recv().ok());
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
