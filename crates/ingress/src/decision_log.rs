//! Writes the decisions of a driver to the decision log, if it is enabled (see `violetyoke_account`).

use crate::ClientRequest;
use std::collections::HashMap;
use violetyoke_account::{NodeHealth, NodeState, Record};
use violetyoke_decision::interface::{AttemptEnd, Micros, Outcome, RejectionReason, RequestId, Settings};
use violetyoke_decision::view::{BackendView, FleetView};

/// The environment variable that enables the decision log, with any value.
const ENABLE_VARIABLE: &str = "VIOLETYOKE_ACCOUNT";

/// The fields of an open request that its final record needs.
struct OpenRequest {
    class: u16,
    plan: u16,
    units: f64,
    arrived_at: Micros,
}

pub struct DecisionLog {
    process: u32,
    /// Name, value and latency target of each class, by index.
    classes: Vec<(String, f64, Micros)>,
    /// Name and value of each plan, by index.
    plans: Vec<(String, f64)>,
    /// Counter calls that ended since the last state record: all, timed out, and rejected or failed.
    counter_calls: [u32; 3],
    open_requests: HashMap<RequestId, OpenRequest>,
}

impl DecisionLog {
    /// Opens the log. `None`: it is not enabled.
    pub fn open(settings: &Settings, classes: &[String], plans: &[String]) -> Option<Box<DecisionLog>> {
        std::env::var_os(ENABLE_VARIABLE)?;
        let mut log = DecisionLog {
            process: std::process::id(),
            classes: Vec::new(),
            plans: Vec::new(),
            counter_calls: [0; 3],
            open_requests: HashMap::new(),
        };
        log.update_settings(settings, classes, plans);
        Some(Box::new(log))
    }

    pub fn update_settings(&mut self, settings: &Settings, classes: &[String], plans: &[String]) {
        let classes = settings.classes.iter().zip(classes);
        self.classes =
            classes.map(|(class, name)| (name.clone(), class.value, class.latency_target)).collect();
        let plans = settings.plans.iter().zip(plans);
        self.plans = plans.map(|(plan, name)| (name.clone(), plan.value)).collect();
    }

    pub fn on_request_started(&mut self, request: &ClientRequest) {
        let ClientRequest { id, class, plan, units, arrived_at, .. } = *request;
        self.open_requests.insert(id, OpenRequest { class, plan, units, arrived_at });
    }

    pub fn on_request_ended(
        &mut self,
        now: Micros,
        request: RequestId,
        attempts: u8,
        outcome: &str,
        reason: Option<RejectionReason>,
    ) {
        let Some(open) = self.open_requests.remove(&request) else { return };
        let (class, value, latency_target) =
            self.classes.get(usize::from(open.class)).cloned().unwrap_or_default();
        let (plan, plan_value) = self.plans.get(usize::from(open.plan)).cloned().unwrap_or_default();
        write(&Record::Final {
            timestamp: now,
            process: self.process,
            class,
            plan,
            value: value * plan_value * open.units,
            outcome: outcome.into(),
            reason: reason.map(|reason| format!("{reason:?}")).unwrap_or_default(),
            latency: now.saturating_sub(open.arrived_at),
            latency_target,
            attempts,
        });
    }

    pub fn on_attempt_ended(&self, now: Micros, node: &str, end: &AttemptEnd) {
        let (node, outcome, duration) = (node.into(), format!("{:?}", end.outcome), end.elapsed);
        write(&Record::Attempt { timestamp: now, process: self.process, node, outcome, duration });
    }

    pub fn on_counter_call_ended(&mut self, outcome: Outcome) {
        self.counter_calls[0] += 1;
        self.counter_calls[1] += u32::from(outcome == Outcome::Timeout);
        self.counter_calls[2] += u32::from(outcome != Outcome::Timeout && outcome != Outcome::Ok);
    }

    pub fn log_state(&mut self, now: Micros, view: FleetView, name: impl Fn(u32) -> String) {
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
            concurrency_limit,
            in_flight,
            relative_latency,
            counter_query_interval,
            counter_failures,
            backends,
        } = view;
        let (nodes, counter_calls) =
            (backends.iter().map(node).collect(), std::mem::take(&mut self.counter_calls));
        write(&Record::State {
            timestamp: now,
            process: self.process,
            concurrency_limit,
            in_flight,
            relative_latency,
            counter_interval: counter_query_interval,
            counter_errors: counter_failures,
            counter_calls,
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
