//! Settings, requests and events that the tests of this crate share.
#![allow(dead_code)] // Each test file uses some of the functions.

use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

pub const TICK: Micros = 4_000;
pub const SECOND: Micros = 1_000_000;
/// A time at which quota windows of one, two and four seconds start.
pub const START: Micros = 1_000 * SECOND;

pub fn class(idempotency: Idempotency, dedup_scope: DedupScope) -> Class {
    Class {
        latency_target: 500_000,
        latency_target_stretch: 0.0,
        deadline: 2 * SECOND,
        idempotency,
        dedup_scope,
        dedup_window: 4 * SECOND,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        admission_only: false,
    }
}

/// Three classes: idempotent, deduplicated within a zone, and at most once. Three plans: with a quota, with a
/// quota and a hard limit, and without a quota.
pub fn settings() -> Settings {
    let quota = Plan { rate: 5.0, burst: 10.0, value: 1.0, ..Plan::default() };
    let hard_limit =
        Plan { hard_limit_rate: 10.0, hard_limit_burst: 20.0, hard_limit_slack: 2.0, ..quota.clone() };
    Settings {
        gateways: 2,
        tick: TICK,
        classes: vec![
            class(Idempotency::Idempotent, DedupScope::All),
            class(Idempotency::Deduplicated, DedupScope::Zone),
            class(Idempotency::AtMostOnce, DedupScope::All),
        ],
        plans: vec![quota, hard_limit, Plan { value: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout: 50_000, fee: 0.01 }),
        max_request_units: 2.0,
        limits: Limits {
            max_attempts: 4,
            retry_hints: true,
            max_retry_after: SECOND,
            connect_timeout: 250_000,
            ..Limits::default()
        },
        safety: Safety {
            deadline_slack: 16_000,
            drain_grace: 250_000,
            slow_start_share: 0.2,
            slow_start_time: 10 * SECOND,
            overload_multiple: 3.0,
            overload_time: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        ..Settings::default()
    }
}

pub fn entry(id: BackendId, condition: Condition, started_at: Micros) -> BackendEntry {
    BackendEntry { id, zone: (id % 2) as u16, condition, weight: 1.0, started_at, ..BackendEntry::default() }
}

pub fn full_list(ids: &[BackendId]) -> Event {
    let entries = ids.iter().map(|id| entry(*id, Condition::Ready, 0)).collect();
    Event::Backends { kind: ListKind::Full, version: 1, entries }
}

pub fn request(id: RequestId, customer: CustomerId) -> Request {
    Request {
        id,
        class: 0,
        plan: 0,
        customer,
        units: 1.0,
        gateway_count: 2.0,
        first_gateway: 0.0,
        timeout: 2 * SECOND,
        is_retry: false,
        is_write: false,
    }
}

pub fn attempt_ended(request: RequestId, attempt: u8, backend: BackendId, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt,
        backend,
        outcome,
        elapsed: 20_000,
        closed: outcome == Outcome::Ok,
        actual_units: 0.0,
        usage: 0,
        report: Vec::new(),
    })
}

pub fn gateway(settings: Settings, backends: &[BackendId]) -> Gateway {
    let mut gateway = Gateway::new(settings, 7);
    step(&mut gateway, START, full_list(backends));
    gateway
}

pub fn step(gateway: &mut Gateway, now: Micros, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions
}
