//! The tenants that an ingress serves.

use super::error::{SnapshotError, TenantProblem};
use super::message::Snapshot;
use super::view::TenantView;
use std::collections::BTreeMap;
use std::sync::Arc;

type Tenants = BTreeMap<String, Arc<TenantView>>;

/// All tenants at one revision, as an ingress has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantDirectory {
    /// Revision of the store at which they were read.
    pub revision: u64,
    /// The tenants by name. Their accounts are sorted by name.
    pub tenants: Tenants,
}

impl TenantDirectory {
    /// A full snapshot of it, to be stored and read again.
    pub fn to_snapshot(&self) -> Snapshot {
        let tenants = self.tenants.values().map(|tenant| TenantView::clone(tenant)).collect();
        Snapshot::new(None, self.revision, tenants, vec![])
    }

    /// The directory that results from a snapshot; this one stays as it is.
    ///
    /// # Errors
    /// If the snapshot is damaged, doesn't fit to this directory, or has a tenant that is not valid.
    pub fn apply(&self, snapshot: Snapshot) -> Result<TenantDirectory, SnapshotError> {
        snapshot.check_envelope()?;
        let mut tenants = self.base_of(&snapshot)?;
        for name in &snapshot.removed {
            tenants.remove(name);
        }
        for mut tenant in snapshot.tenants {
            tenant
                .prepare()
                .map_err(|problem| SnapshotError::Tenant { name: tenant.name.clone(), problem })?;
            tenants.insert(tenant.name.clone(), Arc::new(tenant));
        }
        check_hosts(&tenants)?;
        Ok(TenantDirectory { revision: snapshot.revision, tenants })
    }

    /// What a snapshot changes: nothing if it is full, else the tenants of this directory.
    fn base_of(&self, snapshot: &Snapshot) -> Result<Tenants, SnapshotError> {
        if snapshot.revision < self.revision {
            return Err(SnapshotError::OlderRevision { held: self.revision, offered: snapshot.revision });
        }
        match snapshot.base {
            None => Ok(BTreeMap::new()),
            Some(base) if base == self.revision => Ok(self.tenants.clone()),
            Some(base) => Err(SnapshotError::BaseMismatch { held: self.revision, base }),
        }
    }
}

/// No two tenants may have the same host.
fn check_hosts(tenants: &Tenants) -> Result<(), SnapshotError> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in tenants.values() {
        for host in &tenant.hosts {
            if let Some(other) = owners.insert(host, &tenant.name) {
                let problem = TenantProblem::SharedHost { host: host.clone(), other: other.to_owned() };
                return Err(SnapshotError::Tenant { name: tenant.name.clone(), problem });
            }
        }
    }
    Ok(())
}
