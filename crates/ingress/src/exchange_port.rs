//! What an exchange asks for, carried out over sockets.

use super::account::Account;
use super::backend::{self, AttemptResult, Backend};
use super::counter::Counter;
use super::discovery::Target;
use super::embedded::Link;
use super::peers::Peers;
use super::pool::Pool;
use super::streaming::Upload;
use super::tasks::{self, TaskHandle};
use super::{ClientAnswer, Clock, ForwardedRequest, Message, Messages, Reply};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use violetyoke_config::Fields;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::{
    AttemptId, BackendIds, CallId, CallStart, FinalResponse, Port, RequestSummary, SendProgress,
};

/// The way to the counter, opened.
pub(crate) enum CounterConnection {
    Remote(Counter),
    Embedded(Link),
}

/// What is held for a client until its answer.
pub(crate) struct PendingClient {
    pub reply: oneshot::Sender<Reply>,
    /// None: it only asks.
    pub forward: Option<Rc<ForwardedRequest>>,
}

impl PendingClient {
    /// A body that was not whole when the request was taken.
    fn upload(&self) -> Option<&Rc<Upload>> {
        self.forward.as_ref().and_then(|forward| forward.body.upload())
    }
}

/// An attempt that is out.
pub(crate) struct InFlightAttempt {
    /// Whether a byte of the request may have gone out.
    sent: Rc<Cell<bool>>,
    /// Its request's body, if that is a long one.
    upload: Option<Rc<Upload>>,
    task: TaskHandle,
}

pub(crate) struct SocketPort {
    pub clock: Clock,
    pub messages: Messages,
    pub pool: Rc<Pool>,
    pub counter: Option<CounterConnection>,
    pub peers: Option<Peers>,
    pub report_fields: Rc<[ReportField]>,
    pub backend_ids: BackendIds,
    pub backends: HashMap<BackendId, Rc<Backend>>,
    /// Nodes as the list last told of them, where operators may take them out.
    pub listed: HashMap<String, Target>,
    /// For how long a connection to a backend may stand idle and still be used.
    pub max_idle: Micros,
    /// What was decided and why, where it is asked for.
    pub account: Option<Box<Account>>,
}

impl SocketPort {
    pub fn open(&self, link: Link, timeout: Micros) -> CounterConnection {
        match link {
            Link::Remote { address, space } => CounterConnection::Remote(Counter::open(
                address,
                space,
                timeout,
                self.clock,
                self.messages.clone(),
            )),
            embedded => CounterConnection::Embedded(embedded),
        }
    }

    /// Forgets backends that are gone once nothing is out to them.
    fn forget(&mut self) {
        self.backends.retain(|_, backend| !backend.removed.get() || Rc::strong_count(backend) > 1);
        let (backends, backend_ids) = (&self.backends, &mut self.backend_ids);
        backend_ids.retain(|id| backends.contains_key(&id));
        self.listed.retain(|node, _| backend_ids.get(node).is_some());
    }
}

impl Port for SocketPort {
    type Client = PendingClient;
    type Response = ClientAnswer;
    type Attempt = InFlightAttempt;
    /// Whether it may have been written.
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
        let (sent, messages, clock) = (Rc::new(Cell::new(false)), self.messages.clone(), self.clock);
        let begun = self.messages.clone();
        let work = backend::attempt(
            backend,
            forward,
            expires_at - now,
            sent.clone(),
            self.report_fields.clone(),
            move || clock.now(),
            move |report, first, rest| {
                let _ = begun.send(Message::StreamingStarted { request, attempt, report, first, rest });
            },
        );
        let task = tasks::spawn(async move {
            let AttemptResult { outcome, report, body, connection_event, .. } = work.await;
            let _ = messages.send(Message::AttemptEnded {
                request,
                attempt,
                outcome,
                report,
                body,
                connection_event,
            });
        });
        Some(InFlightAttempt { sent, upload: client.upload().cloned(), task })
    }

    fn send_progress(&self, attempt: &InFlightAttempt) -> SendProgress {
        let ended = attempt.upload.as_ref().map_or(Some(0), |upload| upload.ended_at());
        match (attempt.sent.get(), ended) {
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
        count: u64,
        amount: f64,
        life: Micros,
    ) -> CallStart<Self::Call> {
        match &self.counter {
            Some(CounterConnection::Remote(counter)) => {
                counter.call(call, now, count, amount, life).map_or(CallStart::NotSent, CallStart::Pending)
            }
            Some(CounterConnection::Embedded(Link::Embedded { counts, space })) => {
                CallStart::Total(counts.add(now, space, count, amount, life))
            }
            _ => CallStart::NotSent,
        }
    }

    fn may_have_been_sent(&self, call: &Self::Call) -> bool {
        call.get()
    }

    fn report_claim(&mut self, waiter: Self::ClaimWaiter, total: Option<f64>) {
        // The waiter may have left: then nobody misses the total.
        let _ = waiter.send(total);
    }

    fn wants_quota(&self, client: &PendingClient) -> bool {
        client.forward.is_none() || self.pool.quota_headers.get() != Fields::default()
    }

    fn respond(
        &mut self,
        now: Micros,
        summary: RequestSummary,
        client: PendingClient,
        response: FinalResponse<ClientAnswer>,
    ) {
        if let Some(account) = &mut self.account {
            account.over(now, summary.request, summary.attempts, response.kind(), summary.why);
        }
        let answer = match response {
            FinalResponse::Served(answer) => answer,
            FinalResponse::Refused { retry_after } => ClientAnswer::Refused { retry_after },
            FinalResponse::Failed => ClientAnswer::Failed,
            FinalResponse::Admitted => ClientAnswer::Admitted,
        };
        // The client may have left meanwhile: then nobody misses the answer.
        let _ = client.reply.send(Reply { answer, quota: summary.quota });
    }

    fn request_abandoned(&mut self, now: Micros, request: RequestId, attempts: u8) {
        if let Some(account) = &mut self.account {
            account.over(now, request, attempts, "gone", None);
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
            peers.tell(to, &data);
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
        self.forget();
        if let Some(account) = &mut self.account {
            let name = |id| self.backend_ids.name(id).map(str::to_string).unwrap_or_default();
            account.state(now, gateway.fleet_view(), name);
        }
    }

    fn on_attempt_end(&mut self, now: Micros, end: &AttemptEnd) {
        if let Some(account) = &self.account {
            account.attempt(now, self.backend_ids.name(end.backend).unwrap_or(""), end);
        }
    }

    fn on_call_end(&mut self, _: Micros, _: u64, outcome: Outcome) {
        if let Some(account) = &mut self.account {
            account.call(outcome);
        }
    }
}
