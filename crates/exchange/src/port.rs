//! What carries out: sockets in the program, an emulator in the laboratory.

use violetyoke_decision::interface::*;
use violetyoke_decision::view::Standing;
use violetyoke_decision::Gateway;

/// What an exchange needs of the world. Nothing here decides; each call is carried out at once, and what comes of
/// it is told to the exchange later, never from inside the call.
pub trait Port {
    /// What is held for a client until its one answer.
    type Client;
    /// What a good answer of a node brings for the client.
    type Served;
    /// An attempt that is out.
    type Attempt;
    /// A call to the counter that is out.
    type Call;
    /// Who waits for the total of a claim.
    type Asker;

    /// Begins an attempt, which ends by itself with a word to [`crate::Exchange::attempt_ended`]. None: the node
    /// takes nothing new.
    fn attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        node: BackendId,
        client: &Self::Client,
        expires: Micros,
    ) -> Option<Self::Attempt>;
    /// How much of an attempt's request has gone out.
    fn sent(&self, attempt: &Self::Attempt) -> Sent;
    /// Closes an attempt's connection: nobody waits for it any more.
    fn withdraw(&mut self, attempt: Self::Attempt);
    /// A body that was not whole when its request was taken.
    fn upload(&self, client: &Self::Client) -> Option<Upload>;

    /// Makes a call to the counter; its total comes by [`crate::Exchange::counted`] under the call's number.
    fn count(&mut self, now: Micros, call: u64, name: u64, amount: f64, life: Micros) -> Called<Self::Call>;
    /// Whether a call may have been written: one that was not has added nothing.
    fn written(&self, call: &Self::Call) -> bool;
    /// The total of a claim; none: it is not to be had in time.
    fn claimed(&mut self, asker: Self::Asker, total: Option<f64>);

    /// Whether this client is told how its quota stands.
    fn tells(&self, client: &Self::Client) -> bool;
    /// Gives the one final answer.
    fn answer(&mut self, now: Micros, over: Over, client: Self::Client, answer: Final<Self::Served>);
    /// A client left before its answer.
    fn gone(&mut self, now: Micros, request: RequestId, attempts: u8);

    /// Closes all idle connections to a node.
    fn close_idle(&mut self, node: BackendId);
    /// From now on a connection that has been idle for longer is not used.
    fn keep_idle(&mut self, longest: Micros);
    fn tell(&mut self, now: Micros, to: Option<u16>, data: Vec<u8>);
    fn log(&mut self, text: &str);
    /// The regular look at what is held: the time since which idle connections may stand.
    fn sweep(&mut self, now: Micros, idle_since: Micros, gateway: &Gateway);

    /// An attempt has ended, as the module hears of it.
    fn attempt_over(&mut self, _now: Micros, _end: &AttemptEnd) {}
    /// A call of the module's has ended.
    fn call_over(&mut self, _now: Micros, _name: u64, _outcome: Outcome) {}
}

/// An attempt's name: its request, and its number among that request's attempts from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u8,
}

/// How much of a request has gone out to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Not a byte: it has never run.
    Nothing,
    /// Its last byte has not: it has never run either, through no fault of the node's.
    Partly,
    /// All of it may have, the last byte at that time (0: with the first).
    All { at: Micros },
}

/// A body that is passed on while it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upload {
    /// When its request was taken, and when its last byte came.
    pub began: Micros,
    pub ended: Option<Micros>,
    /// None of it has been given to a connection yet: only then can it be sent.
    pub untouched: bool,
}

/// How a call to the counter began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Called<C> {
    Out(C),
    /// It is counted in this process: here is the total.
    Total(f64),
    /// It could not be made, and has added nothing.
    Unmade,
}

/// What is told of a request that is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Over {
    pub request: RequestId,
    pub attempts: u8,
    /// The rule that gave it up, if one did.
    pub why: Option<Why>,
    /// Its customer's quota, for a client that is told of it.
    pub standing: Option<Standing>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Final<S> {
    Served(S),
    /// Trying again is harmless, after that long (0: nothing is said of it).
    Refused {
        retry_after: Micros,
    },
    Failed,
    /// One that only asked may proceed.
    Admitted,
}

impl<S> Final<S> {
    /// How it ended, in a word.
    pub fn word(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Refused { .. } => "refused",
            Final::Failed => "failed",
            Final::Admitted => "admitted",
        }
    }
}
