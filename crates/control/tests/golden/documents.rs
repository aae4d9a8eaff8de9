//! What the control plane keeps, with each kind of document in each of its forms.

use serde_json::{json, to_value, Value};
use violetyoke_control::keys::{index_path, path, KeyRole, StoredKey};
use violetyoke_control::store::{Author, Sqlite, Store, Writes};
use violetyoke_ownership::{Epoch, LeaseRecord, RoleKind, ShardId, ShardOverride, SingletonRole};
use violetyoke_tenants::model::{
    Account, Limits, Plan, ResourceBounds, Route, StoredTenant, Tenant, TenantState,
};

fn tenant(state: TenantState) -> StoredTenant {
    let name = if state == TenantState::Active { "acme" } else { "globex" };
    let tenant = Tenant {
        name: name.into(),
        weight: 3,
        limits: Limits {
            open_requests: ResourceBounds { guaranteed: 1, max: 2 },
            descriptors: ResourceBounds { guaranteed: 3, max: 4 },
            buffered_bytes: ResourceBounds { guaranteed: 5, max: 70_000 },
        },
        hosts: vec![format!("{name}.example")],
        pools: vec!["main".into()],
    };
    StoredTenant { tenant, epoch: 1, state }
}

fn plan(rate: f64) -> Plan {
    Plan {
        name: "basic".into(),
        rate,
        burst: 10.0,
        max_in_flight: 7,
        value: 0.5,
        hard_limit_rate: 11.0,
        hard_limit_burst: 22.0,
    }
}

fn route() -> Route {
    Route {
        name: "search".into(),
        host: "acme.example".into(),
        path: "/search/*".into(),
        method: Some("GET".into()),
        pool: "main".into(),
        default_class: Some("interactive".into()),
    }
}

fn bare_route() -> Route {
    Route { name: "rest".into(), path: "/*".into(), method: None, default_class: None, ..route() }
}

fn account() -> Account {
    Account { name: "customer-1".into(), plan: "basic".into() }
}

/// One key of each role; ids and hashes are made up, as real ones are random.
pub(crate) fn keys() -> Vec<StoredKey> {
    let tenant = || "acme".to_owned();
    let roles = [
        KeyRole::Operator,
        KeyRole::Ingress,
        KeyRole::TenantAdmin { tenant: tenant() },
        KeyRole::TenantReader { tenant: tenant() },
    ];
    let key = |(number, role)| StoredKey {
        id: format!("{number:016x}"),
        role,
        label: format!("key {number}"),
        made_at: 1_700_000_000_000 + number,
        expires_at: (number % 2 == 0).then_some(1_800_000_000_000),
        hash: format!("{number:064x}"),
    };
    (1_u64..).zip(roles).map(key).collect()
}

fn role() -> SingletonRole {
    SingletonRole {
        name: "probes".into(),
        kind: RoleKind::Probe,
        shard_count: 4,
        ttl_ms: 5_000,
        max_shards_per_process: 2,
        report_span_ms: 30_000,
        nodes: vec!["127.0.0.1:9000".parse().expect("an address")],
        probe_interval_ms: 250,
    }
}

fn lease() -> LeaseRecord {
    LeaseRecord {
        holder: Some("ingress-1#42".into()),
        epoch: Epoch(70_000),
        renewals: 300,
        ttl_ms: 5_000,
        watermark: 5,
        operations: 6,
        failed_holders: vec!["ingress-2#1".into()],
        consecutive_failures: 1,
        suspension_reason: Some("fell".into()),
        granted_at_ms: 1_700_000_000_000,
        last_progress_ms: 1_700_000_000_500,
        ..LeaseRecord::new(ShardId::new("probes", 1))
    }
}

fn body<T: serde::Serialize>(value: &T) -> Value {
    to_value(value).expect("encoded")
}

/// The transactions that fill the store, each with its author.
pub(crate) fn transactions() -> Vec<(Author, Writes)> {
    let author = |who: &str, at| Author { key_id: who.into(), at_ms: at };
    let tenants = Writes::default()
        .put("tenants/acme", body(&tenant(TenantState::Active)))
        .put("tenants/acme/plans/basic", body(&plan(5.5)))
        .put("tenants/acme/accounts/customer-1", body(&account()))
        .put("tenants/acme/routes/search", body(&route()))
        .put("tenants/acme/routes/rest", body(&bare_route()))
        .put("tenants/globex", body(&tenant(TenantState::Draining { removed_at: 1_700_000_060_000 })));
    let keys = keys().iter().fold(Writes::default(), |writes, key| {
        let place = path(&key.role, &key.id);
        writes.put(place.clone(), body(key)).put(index_path(&key.id), place.into())
    });
    let decision = ShardOverride {
        preferred_process: Some("ingress-2#1".into()),
        suspension_reason: Some("maintenance".into()),
    };
    let roles = Writes::default()
        .put("duties/probes", body(&role()))
        .put("duties/probes/00001", body(&decision))
        .put("-lease/probes/00001", body(&lease()))
        .put("-epoch", 70_000.into())
        .put("-use/report/00000/00000000000000000007", json!({ "acme": 12 }))
        .put("-use-told/life-1", json!({ "number": 3, "at": 1_700_000_000_000_u64 }));
    let changes = Writes::default()
        .put("tenants/acme/plans/basic", body(&plan(6.0)))
        .delete("tenants/acme/accounts/customer-1");
    vec![
        (author("0000000000000001", 1_700_000_000_001), tenants),
        (author("0000000000000001", 1_700_000_000_002), keys),
        (author("control", 1_700_000_000_003), roles),
        (author("0000000000000003", 1_700_000_000_004), changes),
    ]
}

/// Runs all transactions.
pub(crate) fn fill(store: &Sqlite) {
    for (number, (author, writes)) in (1..).zip(transactions()) {
        let revision = store.transact(&author, &mut |_| Ok(Some(writes.clone())));
        assert_eq!(revision.expect("written"), Some(number));
    }
}

/// Reads a body as the type that its path stands for, and writes it again. None: it has no type of its own.
pub(crate) fn reencoded(path: &str, body: &Value) -> Option<Value> {
    fn again<T: serde::de::DeserializeOwned + serde::Serialize>(body: &Value) -> Value {
        let value: T = serde_json::from_value(body.clone()).expect("decoded");
        to_value(value).expect("encoded")
    }
    let parts: Vec<&str> = path.split('/').collect();
    match parts[..] {
        ["tenants", _] => Some(again::<StoredTenant>(body)),
        ["tenants", _, "plans", _] => Some(again::<Plan>(body)),
        ["tenants", _, "accounts", _] => Some(again::<Account>(body)),
        ["tenants", _, "routes", _] => Some(again::<Route>(body)),
        ["keys", _] | ["tenants", _, "keys", _] => Some(again::<StoredKey>(body)),
        ["duties", _] => Some(again::<SingletonRole>(body)),
        ["duties", _, _] => Some(again::<ShardOverride>(body)),
        ["-lease", _, _] => Some(again::<LeaseRecord>(body)),
        _ => None,
    }
}
