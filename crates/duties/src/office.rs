//! A process's leases and workers: it asks for leases, starts a worker for each that comes, ends it when the lease
//! is lost, and hands leases over when it is told to, or when the process ends.

use crate::clock::boottime;
use crate::desk::Desk;
use crate::lease::{Lease, Shared};
use futures_util::future::BoxFuture;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};
use violetyoke_ownership::holder::{Change, Holder};
use violetyoke_ownership::{Answer, Claim, Name};

/// One kind of work. It returns when its lease is to be handed over and nothing is half done.
pub trait Work: Send + Sync {
    fn run(&self, lease: Lease) -> BoxFuture<'static, ()>;
}

/// How often time that is over is looked for.
const LOOK: Duration = Duration::from_millis(50);
/// The pause after a call that failed, and before the first answer tells the pace.
const FIRST_PACE: Duration = Duration::from_millis(300);
const LONGEST_PACE: Duration = Duration::from_secs(3);
/// For how long what is held is handed over when the process ends.
const LEAVING: Duration = Duration::from_secs(3);

struct Worker {
    claim: Claim,
    ending: watch::Sender<bool>,
    task: JoinHandle<()>,
}

struct Office {
    desk: Arc<dyn Desk>,
    works: BTreeMap<String, Arc<dyn Work>>,
    shared: Shared,
    workers: BTreeMap<Name, Worker>,
    /// Workers that have returned.
    returned: mpsc::UnboundedSender<Claim>,
}

/// A holder's name: the process's own, and which life of it this is.
pub fn life(name: &str) -> Result<String, String> {
    let mut bytes = [0; 6];
    getrandom::fill(&mut bytes).map_err(|error| format!("no random numbers: {error}"))?;
    Ok(bytes.iter().fold(format!("{name}#"), |text, byte| text + &format!("{byte:02x}")))
}

/// A process's holder, as it is at first.
pub fn holder(name: String, duties: Vec<String>) -> Holder {
    let holder = Holder::new(name, duties);
    #[cfg(feature = "weakened")]
    let holder = holder.weakened(violetyoke_ownership::holder::Weakness {
        from_answer: std::env::var("VIOLETYOKE_WEAKNESS").is_ok_and(|ways| ways == "from-answer"),
        by_timer: std::env::var("VIOLETYOKE_WEAKNESS").is_ok_and(|ways| ways == "by-timer"),
    });
    holder
}

/// Runs until `end`, and then hands over what is held.
pub async fn run(
    desk: Arc<dyn Desk>,
    holder: Holder,
    works: BTreeMap<String, Arc<dyn Work>>,
    end: impl Future<Output = ()>,
) {
    let (returned, mut returns) = mpsc::unbounded_channel();
    let (answers, mut answered) = mpsc::unbounded_channel::<(u64, Result<Answer, String>)>();
    let shared = Shared::new(holder);
    let name = shared.lock().name().to_string();
    let mut seed = [0; 8];
    let _ = getrandom::fill(&mut seed);
    let mut drawn = Pcg64Mcg::seed_from_u64(u64::from_le_bytes(seed));
    let mut office = Office { desk, works, shared: shared.clone(), workers: BTreeMap::new(), returned };
    let stirs = tokio::spawn(watch_desk(office.desk.clone(), name, shared.clone(), drawn.random()));
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut pace, mut failed) = (FIRST_PACE, String::new());
    let mut next = Instant::now();
    let mut leaving: Option<Instant> = None;
    let mut end = std::pin::pin!(end);
    loop {
        let over =
            leaving.is_some_and(|until| Instant::now() >= until || shared.lock().owned().next().is_none());
        if over {
            break;
        }
        tokio::select! {
            biased;
            () = &mut end, if leaving.is_none() => {
                leaving = Some(Instant::now() + LEAVING);
                let changes = shared.lock().leave();
                office.take(changes);
                next = Instant::now();
            }
            _ = look.tick() => {
                let changes = shared.lock().lapse(boottime());
                office.take(changes);
            }
            Some(claim) = returns.recv() => {
                office.workers.retain(|_, worker| worker.claim != claim);
                shared.lock().ended(&claim);
                next = Instant::now();
            }
            Some((number, answer)) = answered.recv() => match answer {
                Ok(answer) => {
                    failed.clear();
                    pace = Duration::from_millis(answer.again_ms).clamp(LOOK, LONGEST_PACE * 100);
                    next = next.min(Instant::now() + pace);
                    let changes = shared.lock().answer(number, answer, boottime());
                    office.take(changes);
                }
                Err(error) => {
                    shared.lock().unanswered(number);
                    if error != failed {
                        tracing::warn!(%error, "leases cannot be asked for");
                        failed = error;
                    }
                }
            },
            () = shared.urgent.notified() => next = Instant::now(),
            () = tokio::time::sleep_until(next) => {
                // Spread out, so that a fleet that began together does not call together.
                next = Instant::now() + pace.mul_f64(drawn.random_range(0.75..1.0));
                let (number, ask) = shared.lock().ask(boottime());
                let (desk, answers) = (office.desk.clone(), answers.clone());
                tokio::spawn(async move {
                    let _ = answers.send((number, desk.ask(ask).await));
                });
            }
        }
    }
    stirs.abort();
    let (_, ask) = shared.lock().ask(boottime());
    let _ = timeout(LEAVING, office.desk.ask(ask)).await;
    for worker in office.workers.into_values() {
        worker.task.abort();
    }
}

/// Has a call made whenever something may be to be had.
async fn watch_desk(desk: Arc<dyn Desk>, name: String, shared: Shared, seed: u64) {
    let mut drawn = Pcg64Mcg::seed_from_u64(seed);
    let mut pause = FIRST_PACE;
    loop {
        match desk.stirred(&name).await {
            Ok(()) => {
                shared.urgent.notify_one();
                pause = FIRST_PACE;
                // The call that follows takes what there is; another look before that would say the same.
                sleep(LOOK).await;
            }
            Err(_) => {
                sleep(pause.mul_f64(drawn.random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LONGEST_PACE);
            }
        }
    }
}

impl Office {
    fn take(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Gained { claim, mark } => self.begin(claim, mark),
                Change::HandOver(claim) => {
                    if let Some(worker) = self.workers.get(&claim.name).filter(|worker| worker.claim == claim)
                    {
                        tracing::info!(lease = %claim.name, epoch = claim.epoch, "handing over");
                        worker.ending.send_replace(true);
                    }
                }
                Change::Lost { claim, why } => {
                    tracing::warn!(lease = %claim.name, epoch = claim.epoch, ?why, "lost");
                    if let Some(worker) = self.workers.remove(&claim.name) {
                        worker.task.abort();
                    }
                }
            }
        }
    }

    fn begin(&mut self, claim: Claim, mark: u64) {
        let Some(work) = self.works.get(&claim.name.duty) else { return };
        tracing::info!(lease = %claim.name, epoch = claim.epoch, mark, "gained");
        let (ending, ends) = watch::channel(false);
        let lease = Lease { claim: claim.clone(), mark, shared: self.shared.clone(), ending: ends };
        let (run, returned, of) = (work.run(lease), self.returned.clone(), claim.clone());
        let task = tokio::spawn(async move {
            run.await;
            let _ = returned.send(of);
        });
        if let Some(old) = self.workers.insert(claim.name.clone(), Worker { claim, ending, task }) {
            old.task.abort();
        }
    }
}
