//! An exchange over a port that only notes what it is asked for.

use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::port::{AttemptId, Called, Final, Over, Port, Sent, Upload};
use violetyoke_exchange::{Exchange, Taken};

const START: Micros = 1_000_000_000;

/// What it says of all attempts and bodies, and what it was asked for.
struct Noted {
    sent: Sent,
    upload: Option<Upload>,
    accepts: bool,
    attempts: Vec<(AttemptId, BackendId)>,
    withdrawn: usize,
    calls: Vec<(u64, f64)>,
    answers: Vec<(Over, Final<&'static str>)>,
    ends: Vec<AttemptEnd>,
    log: Vec<String>,
}

impl Port for Noted {
    type Client = ();
    type Served = &'static str;
    type Attempt = ();
    type Call = ();
    type Asker = ();

    fn attempt(&mut self, _: Micros, id: AttemptId, node: BackendId, (): &(), _: Micros) -> Option<()> {
        self.attempts.push((id, node));
        self.accepts.then_some(())
    }
    fn sent(&self, (): &()) -> Sent {
        self.sent
    }
    fn withdraw(&mut self, (): ()) {
        self.withdrawn += 1;
    }
    fn upload(&self, (): &()) -> Option<Upload> {
        self.upload
    }
    fn count(&mut self, _: Micros, call: u64, _: u64, amount: f64, _: Micros) -> Called<()> {
        self.calls.push((call, amount));
        Called::Out(())
    }
    fn written(&self, (): &()) -> bool {
        true
    }
    fn claimed(&mut self, (): (), _: Option<f64>) {}
    fn tells(&self, (): &()) -> bool {
        false
    }
    fn answer(&mut self, _: Micros, over: Over, (): (), answer: Final<&'static str>) {
        self.answers.push((over, answer));
    }
    fn gone(&mut self, _: Micros, _: RequestId, _: u8) {}
    fn close_idle(&mut self, _: BackendId) {}
    fn keep_idle(&mut self, _: Micros) {}
    fn tell(&mut self, _: Micros, _: Option<u16>, _: Vec<u8>) {}
    fn log(&mut self, text: &str) {
        self.log.push(text.to_string());
    }
    fn sweep(&mut self, _: Micros, _: Micros, _: &Gateway) {}
    fn attempt_over(&mut self, _: Micros, end: &AttemptEnd) {
        self.ends.push(end.clone());
    }
}

/// One class of that effect, one plan with or without a quota, two warm nodes.
fn exchange(effect: Effect, rate: f64) -> Exchange<Noted> {
    let class = Class {
        aim: 500_000,
        aim_stretch: 0.0,
        deadline: 1_000_000,
        effect,
        group: Group::All,
        repeat_window: 0,
        late_value: 0.5,
        value: 1.0,
        streamed: false,
        asks_only: false,
    };
    let limits = Limits { attempts: 3, connect_timeout: 100_000, idle_close: 9_000_000, ..Limits::default() };
    let settings = Settings {
        gateways: 1,
        tick: 1_000,
        classes: vec![class],
        plans: vec![Plan { rate, burst: 10.0, worth: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout: 50_000, fee: 0.0 }),
        largest_request: 5.0,
        limits,
        ..Settings::default()
    };
    let noted = Noted {
        sent: Sent::All { at: 0 },
        upload: None,
        accepts: true,
        attempts: Vec::new(),
        withdrawn: 0,
        calls: Vec::new(),
        answers: Vec::new(),
        ends: Vec::new(),
        log: Vec::new(),
    };
    let mut exchange = Exchange::new(START, settings, 7, noted);
    let node = |id| BackendEntry { id, condition: Condition::Ready, share: 1.0, ..BackendEntry::default() };
    exchange.tell(Event::Backends { kind: ListKind::Full, version: 1, entries: vec![node(0), node(1)] });
    exchange.settle(START);
    exchange
}

fn take(exchange: &mut Exchange<Noted>, asks_only: bool) {
    let request =
        Request { id: 1, customer: 9, units: 1.0, spread: 1.0, budget: 1_000_000, ..Request::default() };
    exchange.take(Taken { request, arrived: START, asks_only, claim: None }, (), START);
    exchange.settle(START);
}

/// Lets time pass, timer by timer.
fn pass(exchange: &mut Exchange<Noted>, until: Micros) {
    while let Some(at) = exchange.next_due().filter(|at| *at <= until) {
        exchange.due(at);
    }
}

#[test]
fn a_request_has_its_answer_before_its_deadline_whatever_its_attempt_does() {
    let mut exchange = exchange(Effect::Unsafe, 0.0);
    take(&mut exchange, false);
    assert_eq!(exchange.port.attempts.len(), 1);
    pass(&mut exchange, START + 1_000_000);
    let [(over, answer)] = exchange.port.answers.as_slice() else { panic!("{:?}", exchange.port.answers) };
    // It may have run: nothing is promised, and nothing is sent again.
    assert_eq!((over.attempts, answer), (1, &Final::Failed));
    assert_eq!((exchange.port.attempts.len(), exchange.port.withdrawn), (1, 1));
    assert!(exchange.is_idle());
}

#[test]
fn an_attempt_that_never_got_a_connection_has_not_run_and_goes_to_another_node() {
    let mut exchange = exchange(Effect::Unsafe, 0.0);
    exchange.port.sent = Sent::Nothing;
    take(&mut exchange, false);
    pass(&mut exchange, START + 100_000);
    assert_eq!(exchange.port.ends[0].outcome, Outcome::ConnectFailed);
    assert!(exchange.port.attempts.len() >= 2, "{:?}", exchange.port.attempts);
    // An answer to the first, come late, is not the second's.
    let first = AttemptId { request: 1, number: 0 };
    exchange.attempt_ended(START + 100_001, first, Outcome::Ok, Report::new(), "late");
    exchange.settle(START + 100_001);
    assert!(exchange.port.answers.is_empty());
    let second = AttemptId { request: 1, number: 1 };
    exchange.attempt_ended(START + 120_000, second, Outcome::Ok, Report::new(), "good");
    exchange.settle(START + 120_000);
    assert_eq!(exchange.port.answers[0].1, Final::Served("good"));
}

#[test]
fn a_body_that_has_not_gone_out_whole_has_not_run_and_is_no_fault_of_the_node() {
    let mut exchange = exchange(Effect::Unsafe, 0.0);
    exchange.port.sent = Sent::Partly;
    take(&mut exchange, false);
    exchange.abandoned(START + 10_000, 1);
    exchange.settle(START + 10_000);
    assert_eq!(exchange.port.ends[0].outcome, Outcome::Withheld);
    assert!(exchange.port.answers.is_empty() && exchange.is_idle());
}

#[test]
fn a_deadline_moves_while_a_body_is_still_coming() {
    let mut exchange = exchange(Effect::Unsafe, 0.0);
    exchange.port.upload = Some(Upload { began: START, ended: None, untouched: true });
    take(&mut exchange, false);
    pass(&mut exchange, START + 1_500_000);
    assert!(exchange.port.answers.is_empty());
    exchange.port.upload = Some(Upload { began: START, ended: Some(START + 1_500_000), untouched: false });
    pass(&mut exchange, START + 2_499_000);
    assert_eq!(exchange.port.answers.len(), 1);
}

#[test]
fn a_node_that_takes_nothing_new_and_a_request_that_only_asks_are_sent_nowhere() {
    let mut withheld = exchange(Effect::Safe, 0.0);
    withheld.port.accepts = false;
    take(&mut withheld, false);
    pass(&mut withheld, START + 1_000_000);
    assert!(withheld.port.attempts.len() <= 3, "{:?}", withheld.port.attempts);
    assert!(matches!(withheld.port.answers[0].1, Final::Refused { .. }));
    let mut asks = exchange(Effect::Safe, 0.0);
    take(&mut asks, true);
    assert!(asks.port.attempts.is_empty());
}

#[test]
fn a_total_that_comes_after_its_time_out_says_nothing_more() {
    let mut exchange = exchange(Effect::Safe, 1.0);
    take(&mut exchange, false);
    let (call, amount) = exchange.port.calls[0];
    assert_eq!((amount, exchange.port.attempts.len()), (1.0, 0));
    pass(&mut exchange, START + 60_000);
    // Decided alone at the time-out: nothing is known against it.
    assert_eq!(exchange.port.attempts.len(), 1);
    let answers = exchange.port.answers.len();
    exchange.counted(START + 61_000, call, Outcome::Ok, 500.0);
    exchange.settle(START + 61_000);
    assert_eq!((exchange.port.answers.len(), exchange.open().0), (answers, 1));
}
