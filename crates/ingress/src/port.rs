//! What an exchange asks for, carried out over sockets.

use super::account::Account;
use super::backend::{self, Backend, Ended};
use super::counter::Counter;
use super::discovery::Target;
use super::embedded::Link;
use super::long::Upload;
use super::peers::Peers;
use super::pool::Pool;
use super::tasks::{self, Handle};
use super::{Answer, Clock, Forward, Message, Messages, Reply};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use violetyoke_config::Fields;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::nodes::Numbers;
use violetyoke_exchange::port::{self, AttemptId, Called, Final, Over, Port, Sent};

/// The way to the counter, opened.
pub(crate) enum Counting {
    Remote(Counter),
    Embedded(Link),
}

/// What is held for a client until its answer.
pub(crate) struct Client {
    pub reply: oneshot::Sender<Reply>,
    /// None: it only asks.
    pub forward: Option<Rc<Forward>>,
}

impl Client {
    /// A body that was not whole when the request was taken.
    fn upload(&self) -> Option<&Rc<Upload>> {
        self.forward.as_ref().and_then(|forward| forward.body.upload())
    }
}

/// An attempt that is out.
pub(crate) struct Flying {
    /// Whether a byte of the request may have gone out.
    sent: Rc<Cell<bool>>,
    /// Its request's body, if that is a long one.
    upload: Option<Rc<Upload>>,
    task: Handle,
}

pub(crate) struct Sockets {
    pub clock: Clock,
    pub messages: Messages,
    pub pool: Rc<Pool>,
    pub counter: Option<Counting>,
    pub peers: Option<Peers>,
    pub report_fields: Rc<[ReportField]>,
    pub numbers: Numbers,
    pub backends: HashMap<BackendId, Rc<Backend>>,
    /// Nodes as the list last told of them, where operators may take them out.
    pub listed: HashMap<String, Target>,
    /// For how long a connection to a backend may stand idle and still be used.
    pub keep_idle: Micros,
    /// What was decided and why, where it is asked for.
    pub account: Option<Box<Account>>,
}

impl Sockets {
    pub fn open(&self, link: Link, timeout: Micros) -> Counting {
        match link {
            Link::Remote { address, space } => {
                Counting::Remote(Counter::open(address, space, timeout, self.clock, self.messages.clone()))
            }
            embedded => Counting::Embedded(embedded),
        }
    }

    /// Forgets backends that are gone once nothing is out to them.
    fn forget(&mut self) {
        self.backends.retain(|_, backend| !backend.gone.get() || Rc::strong_count(backend) > 1);
        let (backends, numbers) = (&self.backends, &mut self.numbers);
        numbers.retain(|number| backends.contains_key(&number));
        self.listed.retain(|node, _| numbers.get(node).is_some());
    }
}

impl Port for Sockets {
    type Client = Client;
    type Served = Answer;
    type Attempt = Flying;
    /// Whether it may have been written.
    type Call = Rc<Cell<bool>>;
    type Asker = oneshot::Sender<Option<f64>>;

    fn attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        node: BackendId,
        client: &Client,
        expires: Micros,
    ) -> Option<Flying> {
        let AttemptId { request, number: attempt } = id;
        let backend = self.backends.get(&node).filter(|backend| backend.accepting.get()).cloned()?;
        let forward = client.forward.clone()?;
        backend.close_older(now.saturating_sub(self.keep_idle));
        let (sent, messages, clock) = (Rc::new(Cell::new(false)), self.messages.clone(), self.clock);
        let begun = self.messages.clone();
        let work = backend::attempt(
            backend,
            forward,
            expires - now,
            sent.clone(),
            self.report_fields.clone(),
            move || clock.now(),
            move |report, first, rest| {
                let _ = begun.send(Message::Begun { request, attempt, report, first, rest });
            },
        );
        let task = tasks::spawn(async move {
            let Ended { outcome, report, body, carried, .. } = work.await;
            let _ = messages.send(Message::AttemptEnded { request, attempt, outcome, report, body, carried });
        });
        Some(Flying { sent, upload: client.upload().cloned(), task })
    }

    fn sent(&self, attempt: &Flying) -> Sent {
        let ended = attempt.upload.as_ref().map_or(Some(0), |upload| upload.ended());
        match (attempt.sent.get(), ended) {
            (false, _) => Sent::Nothing,
            (true, None) => Sent::Partly,
            (true, Some(at)) => Sent::All { at },
        }
    }

    fn withdraw(&mut self, attempt: Flying) {
        attempt.task.abort();
    }

    fn upload(&self, client: &Client) -> Option<port::Upload> {
        client.upload().map(|upload| port::Upload {
            began: upload.began,
            ended: upload.ended(),
            untouched: upload.untouched(),
        })
    }

    fn count(&mut self, now: Micros, call: u64, name: u64, amount: f64, life: Micros) -> Called<Self::Call> {
        match &self.counter {
            Some(Counting::Remote(counter)) => {
                counter.call(call, now, name, amount, life).map_or(Called::Unmade, Called::Out)
            }
            Some(Counting::Embedded(Link::Embedded { counts, space })) => {
                Called::Total(counts.add(now, space, name, amount, life))
            }
            _ => Called::Unmade,
        }
    }

    fn written(&self, call: &Self::Call) -> bool {
        call.get()
    }

    fn claimed(&mut self, asker: Self::Asker, total: Option<f64>) {
        let _ = asker.send(total);
    }

    fn tells(&self, client: &Client) -> bool {
        client.forward.is_none() || self.pool.fields.get() != Fields::default()
    }

    fn answer(&mut self, now: Micros, over: Over, client: Client, answer: Final<Answer>) {
        if let Some(account) = &mut self.account {
            account.over(now, over.request, over.attempts, answer.word(), over.why);
        }
        let answer = match answer {
            Final::Served(answer) => answer,
            Final::Refused { retry_after } => Answer::Refused { retry_after },
            Final::Failed => Answer::Failed,
            Final::Admitted => Answer::Admitted,
        };
        let _ = client.reply.send(Reply { answer, standing: over.standing });
    }

    fn gone(&mut self, now: Micros, request: RequestId, attempts: u8) {
        if let Some(account) = &mut self.account {
            account.over(now, request, attempts, "gone", None);
        }
    }

    fn close_idle(&mut self, node: BackendId) {
        if let Some(backend) = self.backends.get(&node) {
            backend.close_idle();
        }
    }

    fn keep_idle(&mut self, longest: Micros) {
        self.keep_idle = longest;
    }

    fn tell(&mut self, _: Micros, to: Option<u16>, data: Vec<u8>) {
        if let Some(peers) = &self.peers {
            peers.tell(to, &data);
        }
    }

    fn log(&mut self, text: &str) {
        eprintln!("{text} (pool {:?})", self.pool.name);
    }

    fn sweep(&mut self, now: Micros, idle_since: Micros, gateway: &Gateway) {
        self.backends.values().for_each(|backend| backend.close_older(idle_since));
        self.forget();
        if let Some(account) = &mut self.account {
            let name = |id| self.numbers.name(id).map(str::to_string).unwrap_or_default();
            account.state(now, gateway.fleet(), name);
        }
    }

    fn attempt_over(&mut self, now: Micros, end: &AttemptEnd) {
        if let Some(account) = &self.account {
            account.attempt(now, self.numbers.name(end.backend).unwrap_or(""), end);
        }
    }

    fn call_over(&mut self, _: Micros, _: u64, outcome: Outcome) {
        if let Some(account) = &mut self.account {
            account.call(outcome);
        }
    }
}
