//! Upkeep of the store, by the one control plane that owns it: tenants whose draining is over go, answers kept for
//! `Idempotency-Key` are forgotten, sums that were reported too, and backups are made. Each write is refused by the
//! store where its epoch is not the newest.

use super::backup::Backups;
use super::{declared, kept, uses};
use crate::api::App;
use crate::store::{Author, Read, Result, Sqlite, Writes};
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_duties::desk::Desk as Asked;
use violetyoke_duties::lease::Lease;
use violetyoke_duties::office::Work;
use violetyoke_ownership::duty::Who;
use violetyoke_ownership::{Answer, Ask, Claim, Epoch};

/// How often it is looked after.
const EVERY: Duration = Duration::from_millis(100);
/// For how long a creation's first answer is kept.
const KEPT_MS: u64 = 24 * 3_600 * 1_000;
/// Rounds between two looks for what is to be forgotten.
const SELDOM: u32 = 600;

/// The desk of the same process.
pub struct Here(pub Arc<App>);

impl Asked for Here {
    fn ask(&self, ask: Ask) -> BoxFuture<'_, std::result::Result<Answer, String>> {
        let app = self.0.clone();
        Box::pin(async move {
            let asked =
                tokio::task::spawn_blocking(move || app.desk.ask(&*app.store, &ask, Who::Control, app.now()));
            let asked = asked.await.map_err(|error| error.to_string())?;
            asked.map_err(|error| error.to_string())
        })
    }

    fn stirred(&self, holder: &str) -> BoxFuture<'_, std::result::Result<(), String>> {
        let (app, holder) = (self.0.clone(), holder.to_string());
        Box::pin(async move {
            let mut stirs = app.desk.stirs();
            while !app.desk.has_for(&holder) {
                stirs.changed().await.map_err(|error| error.to_string())?;
            }
            Ok(())
        })
    }
}

pub struct Upkeep {
    pub app: Arc<App>,
    /// The same store, for what only its file can do.
    pub backups: Option<(Backups, Arc<Sqlite>)>,
}

impl Work for Upkeep {
    fn run(&self, lease: Lease) -> BoxFuture<'static, ()> {
        let (app, backups) = (self.app.clone(), self.backups.clone());
        Box::pin(async move {
            let mut round: u32 = 0;
            while !lease.is_ending() {
                if lease.check("sweep").await.is_err() {
                    return;
                }
                let (there, claim, holder) = (app.clone(), lease.claim.clone(), lease.holder());
                let (seldom, backups) = (round.is_multiple_of(SELDOM), backups.clone());
                let swept = tokio::task::spawn_blocking(move || {
                    let owner = Owner { app: &there, claim: &claim, holder: &holder };
                    let swept = owner.sweep(seldom)?;
                    if let (Ok(acts), Some((backups, store))) = (swept, &backups) {
                        return owner.back_up(backups, store).map(|made| Ok(acts + made));
                    }
                    Ok(swept)
                });
                match swept.await {
                    Ok(Ok(Ok(acts))) => lease.moved(acts),
                    Ok(Ok(Err(newest))) => return lease.fenced(newest),
                    // It goes on with what can be done: a lease is not lost over it, but it is told.
                    Ok(Err(error)) => tracing::error!(%error, "upkeep"),
                    Err(error) => tracing::error!(%error, "upkeep"),
                }
                round = round.wrapping_add(1);
                sleep(EVERY).await;
            }
        })
    }
}

/// An owner of the upkeep in the middle of it. The inner error is the newest epoch, which is not its own.
struct Owner<'a> {
    app: &'a App,
    claim: &'a Claim,
    holder: &'a str,
}

type Fenced<T> = std::result::Result<T, Epoch>;

impl Owner<'_> {
    /// One transaction under the claim; whether anything was written.
    fn write(&self, decide: impl Fn(&dyn Read) -> Result<Writes>) -> Result<Fenced<bool>> {
        let author = Author { who: "control".into(), at: self.app.now() };
        let mut refused = None;
        let written = self.app.store.transact(&author, &mut |read| {
            refused = kept::fenced(read, self.holder, self.claim)?.err();
            if refused.is_some() {
                return Ok(None);
            }
            Ok(Some(decide(read)?).filter(|writes| *writes != Writes::default()))
        })?;
        if let Some(revision) = written {
            self.app.tell(revision);
        }
        Ok(refused.map_or(Ok(written.is_some()), Err))
    }

    /// The number of writes that there were.
    fn sweep(&self, seldom: bool) -> Result<Fenced<u64>> {
        let now = self.app.now();
        let (mut marks, mut kept) = (Vec::new(), Vec::new());
        self.app.store.view(&mut |read| {
            marks = read.list("-draining/", "", 100)?;
            if seldom {
                kept = read.list("-idempotency/", "", 10_000)?;
            }
            Ok(())
        })?;
        let mut acts = 0;
        for mark in marks {
            let gone_at = mark.path.split('/').nth(1).and_then(|text| text.parse::<u64>().ok());
            // They stand in the order in which they go.
            if gone_at.is_some_and(|gone_at| gone_at > now) {
                break;
            }
            let purge = |read: &dyn Read| {
                let writes = crate::api::purge(read, &mark.path, now);
                writes.map(Option::unwrap_or_default).map_err(|problem| {
                    crate::store::Error::Failed(format!("{}: {}", mark.path, problem.title))
                })
            };
            match self.write(purge)? {
                Ok(written) => acts += u64::from(written),
                Err(newest) => return Ok(Err(newest)),
            }
        }
        if !seldom {
            return Ok(Ok(acts));
        }
        let old = |at: Option<u64>| at.is_none_or(|at| at + KEPT_MS < now);
        let old: Vec<_> = kept.into_iter().filter(|kept| old(kept.body["at"].as_u64())).collect();
        let forgotten = self.write(|read| {
            let duties = declared::read(read)?;
            let stale = uses::stale(read, &duties, now)?;
            Ok(old.iter().fold(stale, |writes, kept| writes.delete(kept.path.clone())))
        })?;
        Ok(forgotten.map(|written| acts + u64::from(written)))
    }

    fn back_up(&self, backups: &Backups, store: &Sqlite) -> Result<u64> {
        let now = self.app.now();
        if !backups.due(now)? {
            return Ok(0);
        }
        let path = backups.make(store, now, self.claim.epoch)?;
        tracing::info!(path = %path.display(), epoch = self.claim.epoch, "backed up");
        Ok(1)
    }
}
