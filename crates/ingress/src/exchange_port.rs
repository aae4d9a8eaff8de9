//! The exchange's port to the outside, implemented with sockets.

use super::backend::{self, AttemptResult, Backend};
use super::counter_client::CounterClient;
use super::decision_log::DecisionLog;
use super::discovery::Target;
use super::embedded_counter::CounterLocation;
use super::peers::PeerSocket;
use super::pool::Pool;
use super::streaming::Upload;
use super::tasks::{self, TaskHandle};
use super::{ClientAnswer, Clock, ForwardedRequest, Message, Messages, Reply};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use violetyoke_config::QuotaHeaders;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::{
    AttemptId, BackendIds, CallId, CallStart, FinalResponse, Port, RequestSummary, SendProgress,
};

/// An open connection to the shared counter, or the counter in this process.
pub(crate) enum CounterConnection {
    Remote(CounterClient),
    Embedded(CounterLocation),
}

/// What is kept for a client until its final response.
pub(crate) struct PendingClient {
    pub reply: oneshot::Sender<Reply>,
    /// The request to forward; `None` for a rate limit query, which only asks for admission.
    pub forward: Option<Rc<ForwardedRequest>>,
}

impl PendingClient {
    /// The upload of a body that was incomplete when the request was accepted.
    fn upload(&self) -> Option<&Rc<Upload>> {
        self.forward.as_ref().and_then(|forward| forward.body.upload())
    }
}

/// An attempt in flight.
pub(crate) struct InFlightAttempt {
    /// Whether a byte of the request may have gone out.
    may_have_sent: Rc<Cell<bool>>,
    /// The upload, if the request's body is streamed.
    upload: Option<Rc<Upload>>,
    task: TaskHandle,
}

/// The sockets and connections of one pool.
pub(crate) struct SocketPort {
    pub clock: Clock,
    pub messages: Messages,
    pub pool: Rc<Pool>,
    pub counter: Option<CounterConnection>,
    pub peers: Option<PeerSocket>,
    pub report_fields: Rc<[ReportField]>,
    pub backend_ids: BackendIds,
    pub backends: HashMap<BackendId, Rc<Backend>>,
    /// Targets as last listed by discovery, by id; kept to report a target again when an operator ejects or
    /// restores it.
    pub listed_targets: HashMap<String, Target>,
    /// How long a connection to a backend may be idle and still be reused.
    pub max_idle: Micros,
    /// The decision log, if enabled.
    pub decision_log: Option<Box<DecisionLog>>,
}

impl SocketPort {
    pub fn open_counter(&self, location: CounterLocation, timeout: Micros) -> CounterConnection {
        match location {
            CounterLocation::Remote { address, namespace } => CounterConnection::Remote(CounterClient::open(
                address,
                namespace,
                timeout,
                self.clock,
                self.messages.clone(),
            )),
            embedded => CounterConnection::Embedded(embedded),
        }
    }

    /// Drops removed backends that have no attempt in flight.
    fn drop_removed(&mut self) {
        self.backends.retain(|_, backend| !backend.removed.get() || Rc::strong_count(backend) > 1);
        let (backends, backend_ids) = (&self.backends, &mut self.backend_ids);
        backend_ids.retain(|id| backends.contains_key(&id));
        self.listed_targets.retain(|node, _| backend_ids.get(node).is_some());
    }
}

impl Port for SocketPort {
    type Client = PendingClient;
    type Response = ClientAnswer;
    type Attempt = InFlightAttempt;
    /// Whether the call may have been written.
    type Call = Rc<Cell<bool>>;
    type ClaimWaiter = oneshot::Sender<Option<f64>>;

    fn start_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        backend: BackendId,
        client: &PendingClient,
        expires_at: Micros,
    ) -> Option<InFlightAttempt> {
        let AttemptId { request, number: attempt } = id;
        let backend = self.backends.get(&backend).filter(|backend| backend.accepting.get()).cloned()?;
        let forward = client.forward.clone()?;
        backend.close_idle_since(now.saturating_sub(self.max_idle));
        let (may_have_sent, messages, clock) = (Rc::new(Cell::new(false)), self.messages.clone(), self.clock);
        let streaming_messages = self.messages.clone();
        let attempt_future = backend::attempt(
            backend,
            forward,
            expires_at - now,
            may_have_sent.clone(),
            self.report_fields.clone(),
            move || clock.now(),
            move |report, first, rest| {
                let _ = streaming_messages.send(Message::StreamingStarted {
                    request,
                    attempt,
                    report,
                    first,
                    rest,
                });
            },
        );
        let task = tasks::spawn(async move {
            let AttemptResult { outcome, report, body, connection_event, .. } = attempt_future.await;
            let _ = messages.send(Message::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
                body,
                connection_event,
            });
        });
        Some(InFlightAttempt { may_have_sent, upload: client.upload().cloned(), task })
    }

    fn send_progress(&self, attempt: &InFlightAttempt) -> SendProgress {
        let upload_ended_at = attempt.upload.as_ref().map_or(Some(0), |upload| upload.ended_at());
        match (attempt.may_have_sent.get(), upload_ended_at) {
            (false, _) => SendProgress::Nothing,
            (true, None) => SendProgress::Partial,
            (true, Some(last_byte_at)) => SendProgress::Complete { last_byte_at },
        }
    }

    fn cancel_attempt(&mut self, attempt: InFlightAttempt) {
        attempt.task.abort();
    }

    fn upload(&self, client: &PendingClient) -> Option<violetyoke_exchange::Upload> {
        client.upload().map(|upload| violetyoke_exchange::Upload {
            started_at: upload.started_at,
            ended_at: upload.ended_at(),
            is_unsent: upload.is_unsent(),
        })
    }

    fn start_call(
        &mut self,
        now: Micros,
        call: CallId,
        counter_id: u64,
        amount: f64,
        ttl: Micros,
    ) -> CallStart<Self::Call> {
        match &self.counter {
            Some(CounterConnection::Remote(counter)) => counter
                .call(call, now, counter_id, amount, ttl)
                .map_or(CallStart::NotSent, CallStart::Pending),
            Some(CounterConnection::Embedded(CounterLocation::Embedded { counters, namespace })) => {
                CallStart::Total(counters.add(now, namespace, counter_id, amount, ttl))
            }
            _ => CallStart::NotSent,
        }
    }

    fn may_have_been_sent(&self, call: &Self::Call) -> bool {
        call.get()
    }

    fn report_claim(&mut self, waiter: Self::ClaimWaiter, total: Option<f64>) {
        // If the waiting request has ended, the total is not needed.
        let _ = waiter.send(total);
    }

    fn wants_quota(&self, client: &PendingClient) -> bool {
        client.forward.is_none() || self.pool.quota_headers.get() != QuotaHeaders::default()
    }

    fn respond(
        &mut self,
        now: Micros,
        summary: RequestSummary,
        client: PendingClient,
        response: FinalResponse<ClientAnswer>,
    ) {
        if let Some(decision_log) = &mut self.decision_log {
            decision_log.on_request_ended(
                now,
                summary.request,
                summary.attempts,
                response.kind(),
                summary.reason,
            );
        }
        let answer = match response {
            FinalResponse::Served(answer) => answer,
            FinalResponse::Refused { retry_after } => ClientAnswer::Refused { retry_after },
            FinalResponse::Failed => ClientAnswer::Failed,
            FinalResponse::Admitted => ClientAnswer::Admitted,
        };
        // If the client has disconnected, the response is not needed.
        let _ = client.reply.send(Reply { answer, quota: summary.quota });
    }

    fn request_abandoned(&mut self, now: Micros, request: RequestId, attempts: u8) {
        if let Some(decision_log) = &mut self.decision_log {
            decision_log.on_request_ended(now, request, attempts, "gone", None);
        }
    }

    fn close_idle(&mut self, backend: BackendId) {
        if let Some(backend) = self.backends.get(&backend) {
            backend.close_idle();
        }
    }

    fn set_max_idle(&mut self, max_idle: Micros) {
        self.max_idle = max_idle;
    }

    fn send_to_peers(&mut self, _: Micros, to: Option<u16>, data: Vec<u8>) {
        if let Some(peers) = &self.peers {
            peers.send(to, &data);
        }
    }

    fn log(&mut self, text: &str) {
        eprintln!("{text} (pool {:?})", self.pool.name);
    }

    fn report_defect(&mut self, text: &str) {
        self.log(&format!("defect: {text}"));
    }

    fn sweep(&mut self, now: Micros, idle_since: Micros, gateway: &Gateway) {
        self.backends.values().for_each(|backend| backend.close_idle_since(idle_since));
        self.drop_removed();
        if let Some(decision_log) = &mut self.decision_log {
            let name = |id| self.backend_ids.name(id).map(str::to_string).unwrap_or_default();
            decision_log.log_state(now, gateway.fleet_view(), name);
        }
    }

    fn on_attempt_end(&mut self, now: Micros, end: &AttemptEnd) {
        if let Some(decision_log) = &self.decision_log {
            decision_log.on_attempt_ended(now, self.backend_ids.name(end.backend).unwrap_or(""), end);
        }
    }

    fn on_call_end(&mut self, _: Micros, _: u64, outcome: Outcome) {
        if let Some(decision_log) = &mut self.decision_log {
            decision_log.on_counter_call_ended(outcome);
        }
    }
}
