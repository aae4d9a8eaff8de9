//! A holder's request: validation, one transaction, and the response.

use super::transaction::{Outcome, Transaction};
use super::{LeaseService, State};
use crate::roles::lease_store::newest_epoch;
use crate::store::{Author, Result, Store};
use std::mem;
use violetyoke_duties::clock::boottime;
use violetyoke_ownership::{
    Claim, Epoch, EpochAllocator, LeaseManager, LeaseRecord, ProcessKind, RenewRequest, RenewResponse,
    ShardId,
};

/// A part of a request that is ignored: its field, and why.
type RequestFault = (String, String);

impl LeaseService {
    /// Processes one request of a holder, which is a process of this kind. Parts that are not valid are ignored and
    /// listed in the response.
    ///
    /// # Errors
    /// [`Error`](crate::store::Error) if the store or the epoch file fails; then nothing was granted.
    pub(crate) fn process(
        &self,
        store: &dyn Store,
        mut request: RenewRequest,
        process_kind: ProcessKind,
        wall_ms: u64,
    ) -> Result<RenewResponse> {
        let now = boottime();
        let mut state = self.lock();
        let State { manager, epochs } = &mut *state;
        let faults = remove_invalid_parts(&mut request, process_kind, manager, epochs);
        manager.record_call(&request, now);
        let grantable =
            if request.is_leaving { Vec::new() } else { manager.grantable_to(&request.holder, now) };
        let Outcome { mut response, changed, .. } =
            self.transact(store, &request, &mut state, &grantable, wall_ms)?;
        let State { manager, epochs } = &mut *state;
        // Later than when any holder sent its request: the manager waits longer from here than the holder does.
        let now = boottime();
        for record in &changed {
            manager.observe(record, now);
            log_change(record, &request.holder);
        }
        for (claim, reason) in &response.lost {
            tracing::warn!(
                lease = %claim.shard, epoch = %claim.epoch, holder = request.holder, ?reason, "not renewed"
            );
        }
        response.faults = faults;
        response.newest_epoch = epochs.newest();
        manager.complete_response(&mut response, &request, now);
        if request.is_leaving || changed.iter().any(|record| record.holder.is_none()) {
            self.announce_availability();
        }
        Ok(response)
    }

    /// Applies the request to the store.
    fn transact(
        &self,
        store: &dyn Store,
        request: &RenewRequest,
        state: &mut State,
        grantable: &[ShardId],
        wall_ms: u64,
    ) -> Result<Outcome> {
        let State { manager, epochs } = state;
        let mut outcome = Outcome::default();
        store.transact(&Author::control(wall_ms), &mut |read| {
            let mut transaction =
                Transaction { read, manager, request, wall_ms, outcome: Outcome::default() };
            transaction.process_claims()?;
            if !grantable.is_empty() {
                // Another control plane may have granted leases on this store.
                epochs.observe(newest_epoch(read)?);
                for shard in grantable {
                    transaction.grant(shard, epochs.allocate())?;
                }
                if let Some(reservation) = epochs.required_reservation() {
                    self.epoch_file.raise(reservation)?;
                    epochs.confirm_reservation(reservation);
                }
                transaction.put_newest_epoch(epochs.newest());
            }
            outcome = transaction.outcome;
            Ok(mem::take(&mut outcome.writes).non_empty())
        })?;
        Ok(outcome)
    }
}

fn log_change(record: &LeaseRecord, holder: &str) {
    if record.holder.is_none() {
        tracing::info!(lease = %record.shard, epoch = %record.epoch, holder, "released");
    } else if record.renewals == 0 {
        tracing::info!(lease = %record.shard, epoch = %record.epoch, holder, "granted");
    }
}

/// Removes roles that this kind of process cannot run, and claims of implausible epochs; observes the other epochs.
fn remove_invalid_parts(
    request: &mut RenewRequest,
    process_kind: ProcessKind,
    manager: &LeaseManager,
    epochs: &mut EpochAllocator,
) -> Vec<RequestFault> {
    let mut faults = Vec::new();
    for (number, name) in mem::take(&mut request.roles).into_iter().enumerate() {
        let reason = match manager.roles().find(|role| role.name == name) {
            Some(role) if role.kind.process_kind() == process_kind => {
                request.roles.push(name);
                continue;
            }
            Some(_) => "is no duty of such a process",
            None => "is no duty that is declared",
        };
        faults.push((format!("duties[{number}]"), format!("{name:?} {reason}")));
    }
    let mut observe = |field: String, epoch: Epoch| {
        if epochs.is_plausible(epoch) {
            epochs.observe(epoch);
            return true;
        }
        faults.push((field, format!("{epoch} is from the future")));
        false
    };
    observe("seen".into(), request.observed_epoch);
    let mut number = 0;
    request.renew.retain(|renewal| {
        number += 1;
        observe(format!("renew[{}].epoch", number - 1), renewal.claim.epoch)
    });
    for (list, claims) in [("release", &mut request.release), ("gave_up", &mut request.expired)] {
        let mut number = 0;
        claims.retain(|claim: &Claim| {
            number += 1;
            observe(format!("{list}[{}].epoch", number - 1), claim.epoch)
        });
    }
    faults
}
