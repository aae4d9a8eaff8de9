//! Appends records of operations to their log in a worker of its own, in order, and repeats failed appends until they
//! succeed. Requests that arrive during an append share the next one, so that a slow disk increases latency but doesn't
//! reduce throughput.

use super::input::{Input, InputSender};
use super::pending_writes::PendingWrites;
use super::request_sender::{RequestSender, RETRY_DELAY};
use crate::disk::operation_log::{decode_entries, encode_entry, AppendError, OperationLog};
use crate::operations::AppendNumber;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinSet;
use violetyoke_transport::environment::{self, AppendLog};
use violetyoke_transport::messages::OperationRecord;

/// Requests are added to an entry until it has at least this many records.
const MAX_SHARED_RECORDS: usize = 1_024;
/// How often expired segments are removed while nothing is appended.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(15);

/// Records to be appended.
struct Request {
    number: AppendNumber,
    records: Vec<OperationRecord>,
}

/// Passes appends to the worker, and measures how long they take. The worker ends in the same way as that of
/// [`DiskWriter`](super::disk_writer::DiskWriter).
pub(super) struct OperationLogWriter {
    requests: RequestSender<Request>,
    pending: PendingWrites<AppendNumber>,
    _worker: JoinSet<()>,
}

impl OperationLogWriter {
    /// Opens the log in a folder and starts the worker; returns the records of earlier runs.
    ///
    /// The worker reports completed appends as [`Input::OperationsAppended`].
    pub(super) fn open(
        folder: &Path,
        max_bytes: u64,
        inputs: InputSender,
    ) -> io::Result<(OperationLogWriter, Vec<OperationRecord>)> {
        let mut worker = JoinSet::new();
        let (requests, records) = if let Some(environment) = environment::current() {
            let log = environment.log(folder);
            let records = log.read().iter().flat_map(|entry| decode_entries(entry)).collect();
            let (sender, receiver) = unbounded_channel();
            worker.spawn_local(append_to_emulated(log, receiver, inputs));
            (RequestSender::Task(sender), records)
        } else {
            let (log, records) = OperationLog::open(folder, max_bytes)?;
            let (sender, receiver) = channel();
            std::thread::spawn(move || append_to_folder(log, &receiver, &inputs));
            (RequestSender::Thread(sender), records)
        };
        Ok((OperationLogWriter { requests, pending: PendingWrites::default(), _worker: worker }, records))
    }

    /// Requests an append. Each number must be higher than the one before.
    pub(super) fn append(&mut self, number: AppendNumber, records: Vec<OperationRecord>) {
        self.pending.begin(number);
        self.requests.send(Request { number, records });
    }

    /// Records that all appends up to this one are on the disk. Returns whether it is the first success after a
    /// failure.
    pub(super) fn on_appended(&mut self, number: AppendNumber) -> bool {
        self.pending.finish(number)
    }

    /// Records that an append has failed. Returns whether it is the first failure after a success.
    pub(super) fn on_append_failed(&mut self) -> bool {
        self.pending.fail()
    }

    /// Whether the disk completes appends in time.
    pub(super) fn is_healthy(&self) -> bool {
        self.pending.is_in_time()
    }
}

/// Combines a request with the queued requests after it.
fn coalesce(mut request: Request, mut next: impl FnMut() -> Option<Request>) -> Request {
    while request.records.len() < MAX_SHARED_RECORDS {
        let Some(mut later) = next() else { break };
        request.records.append(&mut later.records);
        request.number = later.number;
    }
    request
}

fn append_to_folder(mut log: OperationLog, requests: &Receiver<Request>, inputs: &InputSender) {
    while !inputs.is_closed() {
        let request = match requests.recv_timeout(CLEANUP_INTERVAL) {
            Ok(request) => coalesce(request, || requests.try_recv().ok()),
            Err(RecvTimeoutError::Timeout) => {
                log.remove_expired();
                continue;
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        while let Err(error) = log.append(&request.records) {
            if inputs.is_closed() {
                return;
            }
            inputs.send(Input::OperationAppendFailed(error));
            std::thread::sleep(RETRY_DELAY);
        }
        inputs.send(Input::OperationsAppended(request.number));
    }
}

async fn append_to_emulated(
    log: Rc<dyn AppendLog>,
    mut requests: UnboundedReceiver<Request>,
    inputs: InputSender,
) {
    while let Some(request) = requests.recv().await {
        let request = coalesce(request, || requests.try_recv().ok());
        while let Err(error) = append_entry(&*log, &request.records).await {
            inputs.send(Input::OperationAppendFailed(error));
            tokio::time::sleep(RETRY_DELAY).await;
        }
        inputs.send(Input::OperationsAppended(request.number));
    }
}

/// Appends records to the emulated log.
async fn append_entry(log: &dyn AppendLog, records: &[OperationRecord]) -> Result<(), AppendError> {
    Ok(log.append(encode_entry(records)?).await?)
}
