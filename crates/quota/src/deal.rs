//! Which registry counts for which tenant: by rendezvous, so that one that goes moves only what was its own.

use violetyoke_ownership::deal::{shard_of, Deal};
use violetyoke_ownership::duty::{Duty, Kind};

/// Tenants are dealt in so many parts.
const SHARDS: u32 = 64;

/// A deal among registries, by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dealt(Deal);

impl Dealt {
    pub fn new(registries: &[&str]) -> Dealt {
        let duty = Duty {
            name: "counts".into(),
            kind: Kind::Report,
            shards: SHARDS,
            length_ms: 0,
            most: 0,
            span_ms: 0,
            nodes: Vec::new(),
            every_ms: 0,
        };
        Dealt(Deal::new(&duty, registries))
    }

    /// Who counts for a tenant; nobody where no registry is known.
    pub fn owner(&self, tenant: &str) -> Option<&str> {
        self.0.owner(shard_of(tenant, SHARDS), &[])
    }
}
