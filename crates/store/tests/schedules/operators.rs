//! Operators: each sends one command at a time, to one machine after another until it has a clear answer, and then
//! pauses.

use super::runner::Runner;
use crate::simulation::events::Scheduled;
use crate::simulation::Millis;
use std::cmp::Reverse;
use violetyoke_store::consensus::{ClientId, Replica};
use violetyoke_transport::messages::{Command, Epoch, Outcome};

/// Interval at which an operator polls for its answer.
const POLL_INTERVAL: Millis = 20;
/// Without an answer for this long, the command is sent to another machine.
const REPLY_TIMEOUT: Millis = 900;
/// A command without an answer after this long without faults violates the availability rule.
const AVAILABILITY_BOUND: Millis = 4_000;
/// An operator gives a command up after this time.
const GIVE_UP_AFTER: Millis = 25_000;
/// A contested command may never get a clear answer; the operator gives it up after this time.
const GIVE_UP_CONTESTED_AFTER: Millis = 5_000;
const MIN_PAUSE: Millis = 10;
const MAX_PAUSE: Millis = 400;

/// The kind of commands that an operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    Configure,
    Evacuate,
    Read,
}

impl Workload {
    /// The workloads of all operators. The first two configure, and contest a version when a step requires it.
    pub const ALL: [Workload; 5] =
        [Workload::Configure, Workload::Configure, Workload::Evacuate, Workload::Read, Workload::Read];
}

/// A command whose answer an operator waits for.
struct CurrentCommand {
    command: Command,
    started_at: Millis,
    /// How long the command has waited while the stores had to be available, since the last time they did not have to
    /// be.
    available_for: Millis,
    polled_at: Millis,
    sent_request: SentRequest,
    send_count: usize,
    /// Whether another operator sends another text under the same version.
    is_contested: bool,
}

/// One transmission of a command to a machine.
#[derive(Clone, Copy)]
struct SentRequest {
    client: ClientId,
    machine: usize,
    sent_at: Millis,
}

pub struct Operator {
    workload: Workload,
    current: Option<CurrentCommand>,
    /// A contested command that the operator has to send next, instead of one of its workload.
    pub next: Option<Command>,
}

impl Operator {
    pub fn new(workload: Workload) -> Operator {
        Operator { workload, current: None, next: None }
    }
}

impl Runner {
    pub fn take_turn(&mut self, operator: usize) {
        let pause = match self.operators.operators[operator].current.take() {
            None => self.start_command(operator),
            Some(current) => self.poll(operator, current),
        };
        let next_turn_at = self.cluster.now + pause;
        self.cluster.schedule(next_turn_at, Scheduled::OperatorTurn { operator });
    }

    /// Sends the next command. Returns the time until the operator's next turn.
    fn start_command(&mut self, operator: usize) -> Millis {
        if self.operators.is_stopped {
            return GIVE_UP_AFTER;
        }
        let next = self.operators.operators[operator].next.take();
        let is_contested = next.is_some();
        let workload = self.operators.operators[operator].workload;
        let command = next.unwrap_or_else(|| self.draw_command(workload));
        let sent_request = self.send(&command, 0, None);
        let now = self.cluster.now;
        let current = CurrentCommand {
            command,
            started_at: now,
            available_for: 0,
            polled_at: now,
            sent_request,
            send_count: 1,
            is_contested,
        };
        self.operators.operators[operator].current = Some(current);
        POLL_INTERVAL
    }

    fn draw_command(&mut self, workload: Workload) -> Command {
        match workload {
            Workload::Configure => {
                self.operators.last_version += 1 + self.cluster.random.below(3);
                self.replacement(self.operators.last_version, "")
            }
            Workload::Evacuate => {
                let zone = ["a", "b"][self.cluster.random.below(2) as usize].to_owned();
                Command::Evacuate { zone, empty: self.cluster.random.one_in(2) }
            }
            Workload::Read => Command::Read,
        }
    }

    pub fn replacement(&self, version: u64, operator: &str) -> Command {
        let text = format!("configuration {version} {operator}{}", " ".repeat(self.operators.padding));
        Command::Replace { version, text }
    }

    /// Polls for the answer. Returns the time until the operator's next turn.
    fn poll(&mut self, operator: usize, mut current: CurrentCommand) -> Millis {
        let now = self.cluster.now;
        let elapsed = now - current.polled_at;
        current.polled_at = now;
        current.available_for = if self.must_be_available() { current.available_for + elapsed } else { 0 };
        let outcome = self.cluster.replies.remove(&current.sent_request.client).map(|reply| reply.outcome);
        if self.is_finished(&current, outcome.as_ref()) {
            return self.pause();
        }
        if outcome.is_some() || now > current.sent_request.sent_at + REPLY_TIMEOUT {
            let last_machine = Some(current.sent_request.machine);
            current.sent_request = self.send(&current.command, current.send_count, last_machine);
            current.send_count += 1;
        }
        self.operators.operators[operator].current = Some(current);
        POLL_INTERVAL
    }

    /// Whether the operator has finished a command: it has a clear answer, violates a rule, or is given up.
    fn is_finished(&mut self, current: &CurrentCommand, outcome: Option<&Outcome>) -> bool {
        let waited = self.cluster.now - current.started_at;
        match outcome {
            Some(Outcome::VersionTaken) => {
                if !current.is_contested {
                    self.report("rejected", &describe(&current.command));
                }
                true
            }
            Some(Outcome::Acknowledged | Outcome::Read(_)) => {
                self.statistics.on_answered(waited);
                true
            }
            _ if current.is_contested && waited > GIVE_UP_CONTESTED_AFTER => true,
            _ if current.available_for > AVAILABILITY_BOUND && !current.is_contested => {
                let (command, span) = (describe(&current.command), current.available_for);
                self.report("availability", &format!("{command}: {span} ms without a fault"));
                true
            }
            _ if waited > GIVE_UP_AFTER => {
                self.statistics.given_up += 1;
                true
            }
            _ => false,
        }
    }

    fn pause(&mut self) -> Millis {
        if self.operators.burst > 0 {
            self.operators.burst -= 1;
            return 1;
        }
        self.operators.padding = 0;
        self.cluster.random.within(MIN_PAUSE..MAX_PAUSE)
    }

    /// Sends a command: alternately to a store that reports to registries that it leads, as registries do, and to a
    /// random store other than the last one.
    fn send(&mut self, command: &Command, send_count: usize, last_machine: Option<usize>) -> SentRequest {
        let machines = &self.cluster.machines;
        let is_leader = |n: &usize| machines[*n].replica.as_ref().is_some_and(Replica::is_leader_in_contact);
        let mut leaders: Vec<usize> = (0..machines.len()).filter(is_leader).collect();
        leaders
            .sort_by_key(|n| Reverse(machines[*n].replica.as_ref().map_or(Epoch::default(), Replica::epoch)));
        let count = machines.len();
        let drawn = self.cluster.random.below(count as u64) as usize;
        let other = if Some(drawn) == last_machine { (drawn + 1) % count } else { drawn };
        let machine = match leaders.get((send_count / 2) % leaders.len().max(1)) {
            Some(leader) if send_count.is_multiple_of(2) => *leader,
            _ => other,
        };
        let client = self.cluster.submit(machine, command.clone());
        SentRequest { client, machine, sent_at: self.cluster.now }
    }
}

/// A command without its padding.
fn describe(command: &Command) -> String {
    match command {
        Command::Replace { version, text } => format!("replace {version} {:?}", text.trim_end()),
        other => format!("{other:?}"),
    }
}
