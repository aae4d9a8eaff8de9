//! The work of the upkeep role: deletes tenants that have drained, forgets old idempotency keys and reported usage, and
//! makes backups. The store rejects each write whose epoch is not the newest.

use super::backup::BackupPolicy;
use crate::api::App;
use crate::roles::lease_store::{check_claim, ClaimCheck};
use crate::roles::{declarations, usage};
use crate::store::{Author, Document, Error, ReadView, Result, Sqlite, Writes};
use futures_util::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_duties::lease::LeaseHandle;
use violetyoke_duties::supervisor::RoleWorker;
use violetyoke_ownership::{Claim, Epoch};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds until old documents are looked for again.
const ROUNDS_PER_CLEANUP: u32 = 600;
/// For how long the response to a request with an `Idempotency-Key` is kept.
const IDEMPOTENCY_TTL_MS: u64 = 24 * 3_600 * 1_000;

/// Runs the upkeep role of a control plane.
pub struct UpkeepWorker {
    /// The control plane.
    pub app: Arc<App>,
    /// Backups, and the store's file that they are made of; none: no backups are made.
    pub backups: Option<(BackupPolicy, Arc<Sqlite>)>,
}

impl RoleWorker for UpkeepWorker {
    fn run(&self, lease: LeaseHandle) -> BoxFuture<'static, ()> {
        let (app, backups) = (self.app.clone(), self.backups.clone());
        Box::pin(async move {
            let mut round: u32 = 0;
            while !lease.is_ending() {
                if lease.check("sweep").await.is_err() {
                    return;
                }
                let upkeep =
                    Upkeep { app: app.clone(), claim: lease.claim.clone(), holder: lease.holder_name() };
                let (is_cleanup_due, backups) = (round.is_multiple_of(ROUNDS_PER_CLEANUP), backups.clone());
                // The store blocks.
                let done =
                    tokio::task::spawn_blocking(move || upkeep.run_round(is_cleanup_due, backups.as_ref()));
                match done.await {
                    Ok(Ok(operations)) => lease.record_progress(operations),
                    Ok(Err(UpkeepError::Fenced { newest })) => return lease.on_fenced(newest),
                    // The lease is not renewed without progress, so that another control plane tries.
                    Ok(Err(UpkeepError::Store(error))) => tracing::error!(%error, "upkeep"),
                    Err(error) => tracing::error!(%error, "upkeep"),
                }
                round = round.wrapping_add(1);
                sleep(ROUND_INTERVAL).await;
            }
        })
    }
}

/// Why a round was not completed.
#[derive(Debug, thiserror::Error)]
enum UpkeepError {
    #[error("an owner with epoch {newest} has been here")]
    Fenced { newest: Epoch },
    #[error(transparent)]
    Store(#[from] Error),
}

/// One round under one claim.
struct Upkeep {
    app: Arc<App>,
    claim: Claim,
    holder: String,
}

impl Upkeep {
    /// Returns the number of operations.
    fn run_round(
        &self,
        is_cleanup_due: bool,
        backups: Option<&(BackupPolicy, Arc<Sqlite>)>,
    ) -> std::result::Result<u64, UpkeepError> {
        let mut operations = self.delete_drained_tenants()?;
        if is_cleanup_due {
            operations += u64::from(self.delete_obsolete_documents()?);
        }
        if let Some((policy, store)) = backups {
            operations += u64::from(self.back_up(policy, store)?);
        }
        Ok(operations)
    }

    /// One transaction under the claim; returns whether anything was written.
    fn write(
        &self,
        decide: impl Fn(&dyn ReadView) -> Result<Writes>,
    ) -> std::result::Result<bool, UpkeepError> {
        let mut fenced = None;
        let revision = self.app.store.transact(&Author::control(self.app.now()), &mut |read| {
            fenced = match check_claim(read, &self.holder, &self.claim)? {
                ClaimCheck::Current(_) => None,
                ClaimCheck::Fenced { newest } => Some(newest),
            };
            if fenced.is_some() {
                return Ok(None);
            }
            Ok(decide(read)?.non_empty())
        })?;
        if let Some(newest) = fenced {
            return Err(UpkeepError::Fenced { newest });
        }
        if let Some(revision) = revision {
            self.app.announce_revision(revision);
        }
        Ok(revision.is_some())
    }

    /// Deletes tenants whose draining is over; returns how many there were.
    fn delete_drained_tenants(&self) -> std::result::Result<u64, UpkeepError> {
        let now_ms = self.app.now();
        let mut operations = 0;
        for marker in self.list("-draining/", 100)? {
            let drained_at = marker.path.split('/').nth(1).and_then(|text| text.parse::<u64>().ok());
            // Markers are in the order in which their draining ends.
            if drained_at.is_some_and(|drained_at| drained_at > now_ms) {
                break;
            }
            let is_written = self.write(|read| {
                let writes = crate::api::purge(read, &marker.path, now_ms);
                writes.map(Option::unwrap_or_default).map_err(|problem| Error::InvalidState {
                    path: marker.path.clone(),
                    reason: problem.title,
                })
            })?;
            operations += u64::from(is_written);
        }
        Ok(operations)
    }

    /// Deletes old responses of idempotency keys and usage that was reported; returns whether there was any.
    fn delete_obsolete_documents(&self) -> std::result::Result<bool, UpkeepError> {
        let now_ms = self.app.now();
        let is_old = |document: &Document| {
            document.body["at"].as_u64().is_none_or(|at| at + IDEMPOTENCY_TTL_MS < now_ms)
        };
        let responses = self.list("-idempotency/", 10_000)?;
        let old: Vec<Document> = responses.into_iter().filter(is_old).collect();
        self.write(|read| {
            let roles = declarations::in_force(read)?;
            let writes = usage::delete_obsolete(read, &roles, now_ms)?;
            Ok(old.iter().fold(writes, |writes, document| writes.delete(document.path.clone())))
        })
    }

    fn list(&self, prefix: &str, limit: usize) -> Result<Vec<Document>> {
        let mut documents = Vec::new();
        self.app.store.view(&mut |read| {
            documents = read.list(prefix, "", limit)?;
            Ok(())
        })?;
        Ok(documents)
    }

    /// Makes a backup if one is due; returns whether it was.
    fn back_up(&self, policy: &BackupPolicy, store: &Sqlite) -> Result<bool> {
        let now_ms = self.app.now();
        if !policy.is_due(now_ms)? {
            return Ok(false);
        }
        let path = policy.make(store, now_ms, self.claim.epoch.0)?;
        tracing::info!(path = %path.display(), epoch = %self.claim.epoch, "backed up");
        Ok(true)
    }
}
