//! The supervisor with a scripted lease client: workers start, stop and hand over with their leases.

#![cfg(test)]

use futures_util::future::{pending, BoxFuture};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot};
use violetyoke_duties::holder::new_holder;
use violetyoke_duties::lease::LeaseHandle;
use violetyoke_duties::lease_client::{LeaseClient, LeaseClientError};
use violetyoke_duties::supervisor::{self, RoleWorker, RoleWorkers};
use violetyoke_ownership::{Claim, Epoch, Grant, LossReason, RenewRequest, RenewResponse, ShardId};

const ROLE: &str = "report";

fn claim(epoch: u64) -> Claim {
    Claim { shard: ShardId::new(ROLE, 0), epoch: Epoch(epoch) }
}

/// A response after which the next call is due at once.
fn response() -> RenewResponse {
    RenewResponse { next_call_ms: 1, token: 1, ..RenewResponse::default() }
}

fn grant(epoch: u64, must_hand_over: bool) -> RenewResponse {
    let grant = Grant { claim: claim(epoch), ttl_ms: 60_000, watermark: 7, must_hand_over };
    RenewResponse { grants: vec![grant], ..response() }
}

/// Returns its responses in turn, and empty ones after that; records the requests.
#[derive(Default)]
struct ScriptedClient {
    responses: Mutex<VecDeque<RenewResponse>>,
    requests: Mutex<Vec<RenewRequest>>,
}

impl ScriptedClient {
    fn new(responses: Vec<RenewResponse>) -> Arc<ScriptedClient> {
        Arc::new(ScriptedClient { responses: Mutex::new(responses.into()), requests: Mutex::default() })
    }
}

impl LeaseClient for ScriptedClient {
    fn renew(&self, request: RenewRequest) -> BoxFuture<'_, Result<RenewResponse, LeaseClientError>> {
        self.requests.lock().unwrap().push(request);
        let next = self.responses.lock().unwrap().pop_front();
        Box::pin(async move { Ok(next.unwrap_or_else(response)) })
    }

    fn wait_for_lease(&self, _: &str) -> BoxFuture<'_, Result<(), LeaseClientError>> {
        Box::pin(pending())
    }
}

#[derive(Debug, PartialEq, Eq)]
enum WorkerEvent {
    Started { epoch: Epoch, watermark: u64 },
    HandedOver,
    Dropped,
}

/// Reports that the worker's future was dropped before it returned.
struct DropReport(Option<mpsc::UnboundedSender<WorkerEvent>>);

impl Drop for DropReport {
    fn drop(&mut self) {
        if let Some(events) = self.0.take() {
            // The test may have ended.
            drop(events.send(WorkerEvent::Dropped));
        }
    }
}

/// Works until the lease is to be handed over.
struct ReportingWorker(mpsc::UnboundedSender<WorkerEvent>);

impl RoleWorker for ReportingWorker {
    fn run(&self, mut lease: LeaseHandle) -> BoxFuture<'static, ()> {
        let events = self.0.clone();
        Box::pin(async move {
            let started = WorkerEvent::Started { epoch: lease.claim.epoch, watermark: lease.watermark };
            events.send(started).unwrap();
            let mut dropped = DropReport(Some(events.clone()));
            lease.wait_until_ending().await;
            dropped.0 = None;
            events.send(WorkerEvent::HandedOver).unwrap();
        })
    }
}

/// A supervisor that runs until the test shuts it down.
struct Running {
    client: Arc<ScriptedClient>,
    events: mpsc::UnboundedReceiver<WorkerEvent>,
    shutdown: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<()>,
}

impl Running {
    fn start(responses: Vec<RenewResponse>) -> Running {
        let client = ScriptedClient::new(responses);
        let (sender, events) = mpsc::unbounded_channel();
        let worker: Arc<dyn RoleWorker> = Arc::new(ReportingWorker(sender));
        let workers: RoleWorkers = [(ROLE.to_string(), worker)].into();
        let (shutdown, is_shutdown) = oneshot::channel();
        let holder = new_holder("a#1".into(), vec![ROLE.into()]);
        let task = tokio::spawn(supervisor::run(client.clone(), holder, workers, async move {
            is_shutdown.await.unwrap();
        }));
        Running { client, events, shutdown, task }
    }

    /// Shuts the supervisor down, and returns its requests.
    async fn shut_down(self) -> Vec<RenewRequest> {
        self.shutdown.send(()).unwrap();
        self.task.await.unwrap();
        let requests = self.client.requests.lock().unwrap();
        requests.clone()
    }
}

#[tokio::test]
async fn worker_starts_with_its_lease_and_hands_over_at_shutdown() {
    let mut supervisor = Running::start(vec![response(), grant(5, false)]);

    let started = supervisor.events.recv().await;
    supervisor.shutdown.send(()).unwrap();
    let handed_over = supervisor.events.recv().await;
    supervisor.task.await.unwrap();

    assert_eq!(started, Some(WorkerEvent::Started { epoch: Epoch(5), watermark: 7 }));
    assert_eq!(handed_over, Some(WorkerEvent::HandedOver));
    let requests = supervisor.client.requests.lock().unwrap();
    let last = requests.last().unwrap();
    assert!(last.is_leaving);
    assert!(requests.iter().any(|request| request.release == [claim(5)]), "{requests:?}");
}

#[tokio::test]
async fn worker_is_dropped_when_its_lease_is_lost() {
    let lost = RenewResponse { lost: vec![(claim(5), LossReason::Superseded)], ..response() };
    let mut supervisor = Running::start(vec![response(), grant(5, false), lost]);

    let started = supervisor.events.recv().await;
    let dropped = supervisor.events.recv().await;

    assert_eq!(started, Some(WorkerEvent::Started { epoch: Epoch(5), watermark: 7 }));
    assert_eq!(dropped, Some(WorkerEvent::Dropped));
    let requests = supervisor.shut_down().await;
    assert!(requests.iter().all(|request| request.release.is_empty()), "a lost lease is not released");
}

#[tokio::test]
async fn lease_is_released_when_the_manager_asks_for_a_hand_over() {
    let mut supervisor = Running::start(vec![response(), grant(5, false), grant(5, true), response()]);

    let started = supervisor.events.recv().await;
    let handed_over = supervisor.events.recv().await;

    assert_eq!(started, Some(WorkerEvent::Started { epoch: Epoch(5), watermark: 7 }));
    assert_eq!(handed_over, Some(WorkerEvent::HandedOver));
    let requests = supervisor.shut_down().await;
    assert!(requests.iter().any(|request| request.release == [claim(5)]), "{requests:?}");
}

#[tokio::test]
async fn newer_grant_of_the_same_shard_replaces_the_worker() {
    let mut supervisor = Running::start(vec![response(), grant(5, false), grant(6, false)]);

    let first = supervisor.events.recv().await;
    let mut rest = [supervisor.events.recv().await, supervisor.events.recv().await];
    rest.sort_by_key(|event| matches!(event, Some(WorkerEvent::Started { .. })));

    assert_eq!(first, Some(WorkerEvent::Started { epoch: Epoch(5), watermark: 7 }));
    let [dropped, second] = rest;
    assert_eq!(dropped, Some(WorkerEvent::Dropped));
    assert_eq!(second, Some(WorkerEvent::Started { epoch: Epoch(6), watermark: 7 }));
    supervisor.shut_down().await;
}
