//! The tenants that an ingress serves.

use super::error::{SnapshotError, TenantProblem};
use super::message::Snapshot;
use super::view::TenantView;
use std::collections::BTreeMap;
use std::sync::Arc;

type Tenants = BTreeMap<String, Arc<TenantView>>;

/// All tenants at one revision, as an ingress uses them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantDirectory {
    /// The revision of the control plane's store from which the tenants were read.
    pub revision: u64,
    /// The tenants, by name. The accounts of each one are sorted by name.
    pub tenants: Tenants,
}

impl TenantDirectory {
    /// A full snapshot of the directory, for storage.
    pub fn to_snapshot(&self) -> Snapshot {
        let tenants = self.tenants.values().map(|tenant| TenantView::clone(tenant)).collect();
        Snapshot::new(None, self.revision, tenants, vec![])
    }

    /// Applies a snapshot, and returns the resulting directory. This directory does not change.
    ///
    /// # Errors
    /// If the snapshot is damaged, does not apply to the revision of this directory, or has an invalid tenant.
    pub fn apply(&self, snapshot: Snapshot) -> Result<TenantDirectory, SnapshotError> {
        snapshot.check_envelope()?;
        let mut tenants = self.base_tenants(&snapshot)?;
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

    /// The tenants that a snapshot starts from: none if it is full, else the tenants of this directory.
    fn base_tenants(&self, snapshot: &Snapshot) -> Result<Tenants, SnapshotError> {
        if snapshot.revision < self.revision {
            return Err(SnapshotError::OlderRevision { current: self.revision, offered: snapshot.revision });
        }
        match snapshot.base {
            None => Ok(BTreeMap::new()),
            Some(base) if base == self.revision => Ok(self.tenants.clone()),
            Some(base) => Err(SnapshotError::BaseMismatch { current: self.revision, base }),
        }
    }
}

/// Checks that no two tenants have the same host.
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
