//! Writes the account of a driver's decisions to the log, where that is asked for.

use crate::ClientRequest;
use std::collections::HashMap;
use violetyoke_account::{NodeHealth, NodeState, Record};
use violetyoke_decision::interface::{AttemptEnd, Micros, Outcome, RejectionReason, RequestId, Settings};
use violetyoke_decision::view::{BackendView, FleetView};

/// Asks for the account when it is set, to anything.
const VARIABLE: &str = "VIOLETYOKE_ACCOUNT";

/// What is known of a request until it is over.
struct Begun {
    class: u16,
    plan: u16,
    units: f64,
    arrived_at: Micros,
}

pub struct Account {
    process: u32,
    /// Name, worth and aim of each class, and name and worth of each plan, by their numbers.
    classes: Vec<(String, f64, Micros)>,
    plans: Vec<(String, f64)>,
    calls: [u32; 3],
    begun: HashMap<RequestId, Begun>,
}

impl Account {
    /// None: nobody asks for one.
    pub fn open(settings: &Settings, classes: &[String], plans: &[String]) -> Option<Box<Account>> {
        std::env::var_os(VARIABLE)?;
        let mut account = Account {
            process: std::process::id(),
            classes: Vec::new(),
            plans: Vec::new(),
            calls: [0; 3],
            begun: HashMap::new(),
        };
        account.change(settings, classes, plans);
        Some(Box::new(account))
    }

    pub fn change(&mut self, settings: &Settings, classes: &[String], plans: &[String]) {
        let classes = settings.classes.iter().zip(classes);
        self.classes =
            classes.map(|(class, name)| (name.clone(), class.value, class.latency_target)).collect();
        let plans = settings.plans.iter().zip(plans);
        self.plans = plans.map(|(plan, name)| (name.clone(), plan.value)).collect();
    }

    pub fn begun(&mut self, request: &ClientRequest) {
        let ClientRequest { id, class, plan, units, arrived_at, .. } = *request;
        self.begun.insert(id, Begun { class, plan, units, arrived_at });
    }

    pub fn over(
        &mut self,
        at: Micros,
        request: RequestId,
        attempts: u8,
        end: &str,
        why: Option<RejectionReason>,
    ) {
        let Some(begun) = self.begun.remove(&request) else { return };
        let (class, value, aim) = self.classes.get(usize::from(begun.class)).cloned().unwrap_or_default();
        let (plan, price) = self.plans.get(usize::from(begun.plan)).cloned().unwrap_or_default();
        write(&Record::Final {
            timestamp: at,
            process: self.process,
            class,
            plan,
            value: value * price * begun.units,
            outcome: end.into(),
            reason: why.map(|why| format!("{why:?}")).unwrap_or_default(),
            latency: at.saturating_sub(begun.arrived_at),
            latency_target: aim,
            attempts,
        });
    }

    pub fn attempt(&self, at: Micros, node: &str, end: &AttemptEnd) {
        let (node, outcome, waited) = (node.into(), format!("{:?}", end.outcome), end.elapsed);
        write(&Record::Attempt { timestamp: at, process: self.process, node, outcome, duration: waited });
    }

    pub fn call(&mut self, outcome: Outcome) {
        self.calls[0] += 1;
        self.calls[1] += u32::from(outcome == Outcome::Timeout);
        self.calls[2] += u32::from(outcome != Outcome::Timeout && outcome != Outcome::Ok);
    }

    pub fn state(&mut self, at: Micros, view: FleetView, name: impl Fn(u32) -> String) {
        let node = |backend: &BackendView| NodeState {
            name: name(backend.id),
            health: match backend {
                BackendView { unavailable: true, .. } => NodeHealth::Away,
                BackendView { ejected: true, .. } => NodeHealth::LeftOut,
                BackendView { warming_up: true, .. } => NodeHealth::Cold,
                _ => NodeHealth::Ready,
            },
            relative_latency: backend.relative_latency,
            failure_rate: backend.failure_rate,
            in_flight: backend.in_flight,
        };
        let FleetView {
            concurrency_limit: room,
            in_flight: out,
            relative_latency: pace,
            counter_query_interval: spacing,
            counter_failures: bad,
            backends,
        } = view;
        let (nodes, calls) = (backends.iter().map(node).collect(), std::mem::take(&mut self.calls));
        write(&Record::State {
            timestamp: at,
            process: self.process,
            concurrency_limit: room,
            in_flight: out,
            relative_latency: pace,
            counter_interval: spacing,
            counter_errors: bad,
            counter_calls: calls,
            nodes,
        });
    }
}

fn write(record: &Record) {
    match record.to_log_line() {
        Ok(line) => eprintln!("{line}"),
        Err(error) => eprintln!("decision log: {error}"),
    }
}
