//! The regular refresh: takes over what other processes and operators have written, and takes expired leases from
//! their holders.

use super::LeaseService;
use crate::roles::{declarations, lease_store};
use crate::store::{Author, Result, Store, Writes};
use std::collections::BTreeMap;
use violetyoke_duties::clock::boottime;
use violetyoke_ownership::{LeaseManager, LeaseRecord, Micros, ShardId, ShardOverride, SingletonRole};

/// What the store has on leases.
#[derive(Default)]
struct StoredState {
    roles: Vec<SingletonRole>,
    overrides: BTreeMap<ShardId, ShardOverride>,
    records: Vec<LeaseRecord>,
}

impl StoredState {
    fn read(store: &dyn Store) -> Result<StoredState> {
        let mut state = StoredState::default();
        store.view(&mut |read| {
            state = StoredState {
                roles: declarations::in_force(read)?,
                overrides: lease_store::overrides(read)?,
                records: lease_store::records(read, None)?,
            };
            Ok(())
        })?;
        Ok(state)
    }
}

impl LeaseService {
    /// Brings the lease manager up to date with the store, and expires leases.
    ///
    /// # Errors
    /// [`Error`](crate::store::Error) if the store fails. The next refresh makes up for it.
    pub(crate) fn refresh(&self, store: &dyn Store, wall_ms: u64) -> Result<()> {
        let mut state = self.lock();
        let stored = StoredState::read(store)?;
        let now = boottime();
        let manager = &mut state.manager;
        let has_changed = apply(manager, stored, now);
        let expired = expire_leases(manager, store, now, wall_ms)?;
        for record in &expired {
            manager.observe(record, now);
            let holder = record.failed_holders.last().map_or("", String::as_str);
            tracing::warn!(lease = %record.shard, epoch = %record.epoch, holder, "expired");
            if let Some(reason) = &record.suspension_reason {
                tracing::error!(lease = %record.shard, reason, "suspended until an operator resumes it");
            }
        }
        if !expired.is_empty() || has_changed || manager.has_assignable_shard() {
            self.announce_availability();
        }
        Ok(())
    }
}

/// Takes over what the store has; whether roles or overrides have changed.
fn apply(manager: &mut LeaseManager, stored: StoredState, now: Micros) -> bool {
    let StoredState { roles, overrides, records } = stored;
    let has_changed = *manager.overrides() != overrides || !manager.roles().eq(&roles);
    let shards: Vec<ShardId> = (roles.iter())
        .flat_map(|role| (0..role.shard_count).map(|index| ShardId::new(&role.name, index)))
        .collect();
    if has_changed {
        manager.set_roles(roles);
        manager.set_overrides(overrides);
    }
    for shard in shards {
        if !manager.has_observed(&shard) {
            manager.observe(&LeaseRecord::new(shard), now);
        }
    }
    for record in &records {
        manager.observe(record, now);
    }
    manager.remove_silent_candidates(now);
    has_changed
}

/// Takes expired leases from their holders, and returns their new records.
fn expire_leases(
    manager: &LeaseManager,
    store: &dyn Store,
    now: Micros,
    wall_ms: u64,
) -> Result<Vec<LeaseRecord>> {
    let shards = manager.expired_shards(now);
    let mut expired = Vec::new();
    if shards.is_empty() {
        return Ok(expired);
    }
    store.transact(&Author::control(wall_ms), &mut |read| {
        expired.clear();
        let mut writes = Writes::default();
        for shard in &shards {
            let old = lease_store::record(read, shard)?;
            if let Some(new) = old.and_then(|old| manager.expire(&old, now)) {
                writes = lease_store::put_record(writes, &new)?;
                expired.push(new);
            }
        }
        Ok(writes.non_empty())
    })?;
    Ok(expired)
}
