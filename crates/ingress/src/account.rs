//! Writes the account of a driver's decisions to the log, where that is asked for.

use violetyoke_account::{Belief, Node, Record};
use violetyoke_decision::interface::{AttemptEnd, Micros, Outcome, Settings, Why};
use violetyoke_decision::view::{BackendView, FleetView};

/// Asks for the account when it is set, to anything.
const VARIABLE: &str = "VIOLETYOKE_ACCOUNT";

/// What is known of a request once it is over.
pub struct Over {
    pub class: u16,
    pub plan: u16,
    pub units: f64,
    pub arrived: Micros,
    pub attempts: u8,
}

pub struct Account {
    process: u32,
    /// Name, worth and aim of each class, and name and worth of each plan, by their numbers.
    classes: Vec<(String, f64, Micros)>,
    plans: Vec<(String, f64)>,
    calls: [u32; 3],
}

impl Account {
    /// None: nobody asks for one.
    pub fn open(settings: &Settings, classes: &[String], plans: &[String]) -> Option<Box<Account>> {
        std::env::var_os(VARIABLE)?;
        let mut account =
            Account { process: std::process::id(), classes: Vec::new(), plans: Vec::new(), calls: [0; 3] };
        account.change(settings, classes, plans);
        Some(Box::new(account))
    }

    pub fn change(&mut self, settings: &Settings, classes: &[String], plans: &[String]) {
        let classes = settings.classes.iter().zip(classes);
        self.classes = classes.map(|(class, name)| (name.clone(), class.value, class.aim)).collect();
        let plans = settings.plans.iter().zip(plans);
        self.plans = plans.map(|(plan, name)| (name.clone(), plan.worth)).collect();
    }

    pub fn over(&self, at: Micros, over: &Over, end: &str, why: Option<Why>) {
        let (class, value, aim) = self.classes.get(usize::from(over.class)).cloned().unwrap_or_default();
        let (plan, price) = self.plans.get(usize::from(over.plan)).cloned().unwrap_or_default();
        write(&Record::Final {
            at,
            process: self.process,
            class,
            plan,
            worth: value * price * over.units,
            end: end.into(),
            why: why.map(|why| format!("{why:?}")).unwrap_or_default(),
            age: at.saturating_sub(over.arrived),
            aim,
            attempts: over.attempts,
        });
    }

    pub fn attempt(&self, at: Micros, class: u16, node: &str, end: &AttemptEnd) {
        let class = self.classes.get(usize::from(class)).map(|(name, ..)| name.clone()).unwrap_or_default();
        let (node, outcome, waited) = (node.into(), format!("{:?}", end.outcome), end.waited);
        write(&Record::Attempt { at, process: self.process, node, class, outcome, waited });
    }

    pub fn call(&mut self, outcome: Outcome) {
        self.calls[0] += 1;
        self.calls[1] += u32::from(outcome == Outcome::Timeout);
        self.calls[2] += u32::from(outcome != Outcome::Timeout && outcome != Outcome::Ok);
    }

    pub fn state(&mut self, at: Micros, view: FleetView, name: impl Fn(u32) -> String) {
        let node = |backend: &BackendView| Node {
            node: name(backend.id),
            belief: match backend {
                BackendView { away: true, .. } => Belief::Away,
                BackendView { left_out: true, .. } => Belief::LeftOut,
                BackendView { cold: true, .. } => Belief::Cold,
                _ => Belief::Ready,
            },
            slow: backend.slow,
            fails: backend.fails,
            out: backend.out,
        };
        let FleetView { room, out, pace, spacing, bad, backends } = view;
        let (nodes, calls) = (backends.iter().map(node).collect(), std::mem::take(&mut self.calls));
        write(&Record::State { at, process: self.process, room, out, pace, spacing, bad, calls, nodes });
    }
}

fn write(record: &Record) {
    eprintln!("{}", record.line());
}
