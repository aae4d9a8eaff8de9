//! Supervises a process's leases and workers: requests leases, starts a worker for each that is granted, stops it when
//! the lease is lost, and hands leases over on request or when the process shuts down.

use crate::clock::boottime;
use crate::lease::{LeaseHandle, SharedHolder};
use crate::lease_client::{LeaseClient, LeaseClientError};
use futures_util::future::BoxFuture;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinHandle, JoinSet};
use tokio::time::{interval, sleep, sleep_until, timeout, Instant, MissedTickBehavior};
use violetyoke_ownership::{CallId, Claim, LeaseEvent, LeaseHolder, RenewResponse, ShardId};

/// How often leases are checked for expiry; also the minimum pause between two calls.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between two calls until a response sets it, and the first pause after a failed watch.
const INITIAL_PAUSE: Duration = Duration::from_millis(300);
/// Maximum pause after watches that have failed repeatedly.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Maximum pause between two calls, whatever a response asks for.
const MAX_CALL_PAUSE: Duration = Duration::from_secs(300);
/// Time limit for handing over the leases when the process shuts down. The last call after that has the same limit.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Does the work of one kind of role.
pub trait RoleWorker: Send + Sync {
    /// Works under the lease. Returns when the lease is to be handed over and no operation is in progress. If the
    /// lease is lost, the future is dropped instead.
    fn run(&self, lease: LeaseHandle) -> BoxFuture<'static, ()>;
}

/// Workers by the names of their roles.
pub type RoleWorkers = BTreeMap<String, Arc<dyn RoleWorker>>;

struct RunningWorker {
    claim: Claim,
    ending: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// A call to the lease manager that has ended.
struct CompletedCall {
    id: CallId,
    result: Result<RenewResponse, LeaseClientError>,
}

/// The state of [`run`], which owns all tasks. Calls in flight are cancelled when it is dropped; workers are stopped
/// by `finish_shutdown`.
struct Supervisor {
    client: Arc<dyn LeaseClient>,
    workers: RoleWorkers,
    holder: SharedHolder,
    running: BTreeMap<ShardId, RunningWorker>,
    /// Workers that have returned. At most one message for each running worker is queued.
    finished: mpsc::UnboundedSender<Claim>,
    /// Calls in flight. There are few, because of the pause between two calls.
    calls: JoinSet<CompletedCall>,
    random: Pcg64Mcg,
    /// The pause between two calls, before jitter.
    call_pause: Duration,
    next_call: Instant,
    last_error: String,
    shutdown_deadline: Option<Instant>,
}

/// Runs until `shutdown` completes, and then hands the leases over.
pub async fn run(
    client: Arc<dyn LeaseClient>,
    holder: LeaseHolder,
    workers: RoleWorkers,
    shutdown: impl Future<Output = ()>,
) {
    let (finished, mut finished_workers) = mpsc::unbounded_channel();
    let mut seed = [0; 8];
    if let Err(error) = getrandom::fill(&mut seed) {
        tracing::warn!(%error, "no random numbers: processes may call at the same time");
    }
    let mut random = Pcg64Mcg::seed_from_u64(u64::from_le_bytes(seed));
    let holder = SharedHolder::new(holder);
    let watch = tokio::spawn(watch_for_leases(client.clone(), holder.clone(), random.random()));
    let request_due = holder.request_due.clone();
    let mut supervisor = Supervisor {
        client,
        workers,
        holder,
        running: BTreeMap::new(),
        finished,
        calls: JoinSet::new(),
        random,
        call_pause: INITIAL_PAUSE,
        next_call: Instant::now(),
        last_error: String::new(),
        shutdown_deadline: None,
    };
    let mut expiry_checks = interval(EXPIRY_CHECK_INTERVAL);
    expiry_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut shutdown = std::pin::pin!(shutdown);
    while !supervisor.has_shut_down() {
        tokio::select! {
            biased;
            () = &mut shutdown, if supervisor.shutdown_deadline.is_none() => supervisor.start_shutdown(),
            _ = expiry_checks.tick() => supervisor.expire_leases(),
            Some(claim) = finished_workers.recv() => supervisor.on_worker_finished(&claim),
            Some(call) = supervisor.calls.join_next() => supervisor.on_call_completed(call),
            () = request_due.notified() => supervisor.next_call = Instant::now(),
            () = sleep_until(supervisor.next_call) => supervisor.call(),
        }
    }
    watch.abort();
    supervisor.finish_shutdown().await;
}

/// Triggers a call whenever a lease may be available.
async fn watch_for_leases(client: Arc<dyn LeaseClient>, holder: SharedHolder, seed: u64) {
    let name = holder.lock().name().to_string();
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut pause = INITIAL_PAUSE;
    loop {
        match client.wait_for_lease(&name).await {
            Ok(()) => {
                holder.request_due.notify_one();
                pause = INITIAL_PAUSE;
                // The call that follows requests the available leases. A watch before that call would return at once
                // again.
                sleep(EXPIRY_CHECK_INTERVAL).await;
            }
            // Not logged here: calls fail for the same reason, and their errors are logged.
            Err(_) => {
                sleep(pause.mul_f64(random.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

impl Supervisor {
    fn has_shut_down(&self) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| {
            Instant::now() >= deadline || self.holder.lock().claims().next().is_none()
        })
    }

    fn start_shutdown(&mut self) {
        self.shutdown_deadline = Some(Instant::now() + SHUTDOWN_TIMEOUT);
        let events = self.holder.lock().start_shutdown();
        self.handle_events(events);
        self.next_call = Instant::now();
    }

    /// Releases the leases whose work has finished with a last call, and stops the other workers.
    async fn finish_shutdown(self) {
        let (_, request) = self.holder.lock().next_request(boottime());
        // If the call fails, the leases expire at the lease manager.
        drop(timeout(SHUTDOWN_TIMEOUT, self.client.renew(request)).await);
        for worker in self.running.into_values() {
            worker.task.abort();
        }
    }

    fn expire_leases(&mut self) {
        let events = self.holder.lock().expire_leases(boottime());
        self.handle_events(events);
    }

    fn on_worker_finished(&mut self, claim: &Claim) {
        self.running.retain(|_, worker| worker.claim != *claim);
        self.holder.lock().finish(claim);
        self.next_call = Instant::now();
    }

    fn call(&mut self) {
        // The jitter keeps processes that started together from calling together.
        self.next_call = Instant::now() + self.call_pause.mul_f64(self.random.random_range(0.75..1.0));
        let (id, request) = self.holder.lock().next_request(boottime());
        let client = self.client.clone();
        self.calls.spawn(async move { CompletedCall { id, result: client.renew(request).await } });
    }

    fn on_call_completed(&mut self, call: Result<CompletedCall, JoinError>) {
        match call {
            Ok(CompletedCall { id, result: Ok(response) }) => {
                self.last_error.clear();
                let pause = Duration::from_millis(response.next_call_ms);
                self.call_pause = pause.clamp(EXPIRY_CHECK_INTERVAL, MAX_CALL_PAUSE);
                self.next_call = self.next_call.min(Instant::now() + self.call_pause);
                let events = self.holder.lock().on_response(id, response, boottime());
                self.handle_events(events);
            }
            Ok(CompletedCall { id, result: Err(error) }) => {
                self.holder.lock().on_call_failed(id);
                self.log_once(error.to_string());
            }
            // The client has panicked. The holder abandons the call later.
            Err(error) => self.log_once(error.to_string()),
        }
    }

    /// Logs an error, unless it is the same as that of the call before.
    fn log_once(&mut self, error: String) {
        if error != self.last_error {
            tracing::warn!(%error, "leases cannot be requested");
            self.last_error = error;
        }
    }

    fn handle_events(&mut self, events: Vec<LeaseEvent>) {
        for event in events {
            match event {
                LeaseEvent::Gained { claim, watermark } => self.start_worker(claim, watermark),
                LeaseEvent::HandOverRequested(claim) => {
                    let worker = self.running.get(&claim.shard).filter(|worker| worker.claim == claim);
                    if let Some(worker) = worker {
                        tracing::info!(lease = %claim.shard, epoch = %claim.epoch, "handing over");
                        worker.ending.send_replace(true);
                    }
                }
                LeaseEvent::Lost { claim, cause } => {
                    tracing::warn!(lease = %claim.shard, epoch = %claim.epoch, ?cause, "lost");
                    if let Some(worker) = self.running.remove(&claim.shard) {
                        worker.task.abort();
                    }
                }
            }
        }
    }

    fn start_worker(&mut self, claim: Claim, watermark: u64) {
        let Some(worker) = self.workers.get(&claim.shard.role) else { return };
        tracing::info!(lease = %claim.shard, epoch = %claim.epoch, watermark, "gained");
        let (ending, is_ending) = watch::channel(false);
        let lease =
            LeaseHandle { claim: claim.clone(), watermark, holder: self.holder.clone(), ending: is_ending };
        let (work, finished, finished_claim) = (worker.run(lease), self.finished.clone(), claim.clone());
        let task = tokio::spawn(async move {
            work.await;
            // If the supervisor has ended, the lease can't be released and expires.
            drop(finished.send(finished_claim));
        });
        let shard = claim.shard.clone();
        if let Some(previous) = self.running.insert(shard, RunningWorker { claim, ending, task }) {
            previous.task.abort();
        }
    }
}
