//! The encoding of snapshots, which must stay the same in all builds: during an upgrade, ingresses and control plane are of
//! different builds. The golden files were written by earlier builds and are never edited.

#![cfg(test)]

#[path = "../../../transport/tests/golden/files.rs"]
mod files;
#[path = "../../../transport/tests/golden/samples.rs"]
mod samples;

use files::GoldenFolder;
use samples::{sample, Sample};
use std::collections::BTreeSet;
use violetyoke_tenants::model::{
    Account, Limits, Plan, ResourceBounds, Route, StoredTenant, Tenant, TenantState,
};
use violetyoke_tenants::snapshot::{Snapshot, TenantDirectory, TenantView};

fn folder() -> GoldenFolder {
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "json")
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.into(),
        weight: 3,
        limits: Limits {
            open_requests: ResourceBounds { guaranteed: 1, max: 2 },
            descriptors: ResourceBounds { guaranteed: 3, max: 4 },
            buffered_bytes: ResourceBounds { guaranteed: 5, max: 70_000 },
        },
        hosts: vec![format!("{name}.example"), format!("*.{name}.example")],
        pools: vec!["main".into(), "batch".into()],
    }
}

fn plan() -> Plan {
    Plan {
        name: "basic".into(),
        rate: 5.5,
        burst: 10.0,
        max_in_flight: 7,
        value: 0.5,
        hard_limit_rate: 11.0,
        hard_limit_burst: 22.0,
    }
}

fn routes() -> Vec<Route> {
    let full = Route {
        name: "search".into(),
        host: "acme.example".into(),
        path: "/search/*".into(),
        method: Some("GET".into()),
        pool: "main".into(),
        default_class: Some("interactive".into()),
    };
    let minimal = Route {
        name: "rest".into(),
        path: "/*".into(),
        method: None,
        default_class: None,
        pool: "batch".into(),
        ..full.clone()
    };
    vec![full, minimal]
}

fn views() -> Vec<TenantView> {
    let active = StoredTenant { tenant: tenant("acme"), epoch: 300, state: TenantState::Active };
    let draining = StoredTenant {
        tenant: tenant("globex"),
        epoch: 301,
        state: TenantState::Draining { removed_at: 1_700_000_000_000 },
    };
    let account = Account { name: "customer-1".into(), plan: "basic".into() };
    vec![
        TenantView::new(active, vec![plan()], vec![account], routes()),
        TenantView::new(draining, Vec::new(), Vec::new(), Vec::new()),
    ]
}

fn snapshots() -> Vec<Sample<Snapshot>> {
    vec![
        sample("snapshot-full", Snapshot::new(None, 70_000, views(), Vec::new())),
        sample(
            "snapshot-part",
            Snapshot::new(Some(70_000), 70_001, views()[..1].to_vec(), vec!["globex".into()]),
        ),
    ]
}

#[test]
fn snapshots_keep_their_encoding() {
    let encode = |snapshot: &Snapshot| serde_json::to_vec(snapshot).expect("encoded");
    folder().check(&snapshots(), encode, Snapshot::parse);
}

/// The checksum of a snapshot depends on the order of the fields, so the order is part of the encoding.
#[test]
fn snapshots_of_earlier_builds_are_applied() {
    let [full, part] = ["snapshot-full", "snapshot-part"].map(|name| {
        let golden = folder().read(name, || panic!("written by the test above"));
        Snapshot::parse(&golden).expect("read")
    });

    let first = TenantDirectory::default().apply(full).expect("applied");
    let next = first.apply(part).expect("applied");

    let names: Vec<&str> = first.tenants.keys().map(String::as_str).collect();
    assert_eq!((first.revision, names), (70_000, vec!["acme", "globex"]));
    let names: Vec<&str> = next.tenants.keys().map(String::as_str).collect();
    assert_eq!((next.revision, names), (70_001, vec!["acme"]));
}

#[test]
fn every_golden_file_has_a_sample() {
    let names: BTreeSet<String> = snapshots().iter().map(|sample| sample.name.to_owned()).collect();
    assert_eq!(folder().names(), names);
}
