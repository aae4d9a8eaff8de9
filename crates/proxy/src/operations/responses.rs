//! Recorded responses to the operations that this proxy has executed, for repeats of their requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::messages::{ClaimHolder, RecordedResponse};

/// The maximum total size of the recorded responses (bytes). Above it, the oldest responses are dropped, and repeats of
/// their requests get status 502.
const MAX_BYTES: usize = 16 << 20;

/// The responses of one incarnation of a proxy.
#[derive(Debug)]
pub(super) struct RecordedResponses {
    incarnation: u64,
    /// How long a response is kept.
    window: Duration,
    by_request: HashMap<u64, RecordedResponse>,
    /// The time at which each response was recorded, with its request; the oldest first.
    recorded_at: VecDeque<(Instant, u64)>,
    /// The total size of the responses.
    bytes: usize,
}

impl RecordedResponses {
    pub(super) fn new(incarnation: u64, window: Duration) -> RecordedResponses {
        RecordedResponses {
            incarnation,
            window,
            by_request: HashMap::new(),
            recorded_at: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Records the response to a request of this incarnation.
    pub(super) fn insert(&mut self, now: Instant, request: u64, response: RecordedResponse) {
        self.bytes += response_bytes(&response);
        self.by_request.insert(request, response);
        self.recorded_at.push_back((now, request));
        self.expire(now);
    }

    /// The response to the request that held a claim, if it is recorded here.
    pub(super) fn get(&self, holder: ClaimHolder) -> Option<RecordedResponse> {
        if holder.incarnation != self.incarnation {
            return None;
        }
        self.by_request.get(&holder.request).cloned()
    }

    /// Drops responses that are older than the window, and the oldest ones while the total size is too large.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((recorded_at, request)) = self.recorded_at.front().copied() {
            if now < recorded_at + self.window && self.bytes <= MAX_BYTES {
                return;
            }
            self.recorded_at.pop_front();
            if let Some(response) = self.by_request.remove(&request) {
                self.bytes -= response_bytes(&response);
            }
        }
    }
}

fn response_bytes(response: &RecordedResponse) -> usize {
    let fields = response.headers.iter().map(|field| field.name.len() + field.value.len());
    response.body.len() + fields.sum::<usize>()
}
