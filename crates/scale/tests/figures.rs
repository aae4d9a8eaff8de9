//! Fits, what the kernel's texts say, and how records become tables.

#![cfg(test)]

use std::collections::BTreeMap;
use std::time::Instant;
use violetyoke_api::Configuration;
use violetyoke_scale::documents::{backend, configuration, TableSizes};
use violetyoke_scale::fit::{median, PowerLaw};
use violetyoke_scale::format_number;
use violetyoke_scale::installations::Installations;
use violetyoke_scale::page::{check_table, record_table};
use violetyoke_scale::record::{Record, Step};
use violetyoke_scale::usage::{run_time_s, usage, SocketBytes, SocketLine};

#[test]
fn a_power_law_is_fitted_and_extrapolates() {
    let points: Vec<(f64, f64)> = [30.0f64, 100.0, 300.0].iter().map(|x| (*x, 0.5 * x.powf(1.4))).collect();
    let fit = PowerLaw::fit(&points).unwrap();
    assert!((fit.power - 1.4).abs() < 1e-9 && (fit.factor - 0.5).abs() < 1e-9 && fit.r2 > 0.999_999);
    assert!((fit.at(1000.0) - 0.5 * 1000f64.powf(1.4)).abs() < 1e-6);
    let size = fit.reaches(fit.at(500.0)).unwrap();
    assert!((size - 500.0).abs() < 1e-6);
    assert_eq!(PowerLaw::fit(&points[..1]), None);
}

#[test]
fn a_scattered_figure_has_a_low_r2() {
    let fit = PowerLaw::fit(&[(30.0, 5.0), (100.0, 1.0), (300.0, 6.0), (1000.0, 2.0)]).unwrap();
    assert!(fit.r2 < 0.2, "{fit:?}");
}

#[test]
fn medians_of_odd_and_even_counts() {
    assert_eq!(median(&[3.0, 1.0, 2.0]), Some(2.0));
    assert_eq!(median(&[4.0, 1.0, 2.0, 3.0]), Some(2.5));
    assert_eq!(median(&[]), None);
}

#[test]
fn processor_time_is_read_to_the_nanosecond() {
    assert_eq!(run_time_s("2500000001 77 3\n"), Some(2.500000001));
    assert_eq!(run_time_s(""), None);
    let used = usage(std::process::id()).unwrap();
    assert!(used.resident_mb > 1.0, "{used:?}");
}

#[test]
fn a_socket_line_gives_process_port_and_bytes() {
    let line = "0 0 127.0.0.1:40000 127.251.1.2:7466 users:((\"violetyoke-scal\",pid=77,fd=9)) ts sack \
                bytes_sent:120 bytes_acked:121 bytes_received:4000 segs_out:3";
    let bytes = SocketBytes { sent: 120, received: 4000 };
    assert_eq!(SocketLine::parse(line), Some(SocketLine { pid: 77, peer_port: 7466, bytes }));
    assert_eq!(SocketLine::parse("0 0 127.0.0.1:40000 127.251.1.2:7466"), None);
}

#[test]
fn only_installations_of_the_newest_state_count() {
    let installations = Installations::default();
    let since = Instant::now();
    installations.record(1);
    installations.record(1);
    assert_eq!(installations.newest_count(installations.state_count()), 0);
    let known = installations.state_count();
    installations.record(2);
    installations.record(1);
    assert_eq!(installations.newest_count(known), 1);
    assert!(installations.spread(since).unwrap().last_ms >= 0.0);
}

#[test]
fn configurations_of_any_size_are_valid_and_versions_differ() {
    let tables = TableSizes { routes: 300, tenants: 50, backends: 520 };
    let parsed = |version| Configuration::parse(configuration(tables, version).as_bytes()).unwrap();
    let (first, second) = (parsed(1), parsed(2));
    assert_eq!((first.routes.len(), first.tenants.len(), first.services.len()), (300, 50, 20));
    assert!(first.routes != second.routes && first.tenants == second.tenants);
    let addresses: Vec<String> =
        (0..200_000).map(|n| backend(tables, n, "ready")["address"].to_string()).collect();
    let distinct: std::collections::HashSet<&String> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len());
}

fn record() -> Record {
    let step = |size: usize, repeat, cost: f64| Step {
        size,
        repeat,
        figures: BTreeMap::from([("cost_ms".to_owned(), cost)]),
        failed: Vec::new(),
    };
    let steps = vec![
        step(30, 1, 3.0),
        step(30, 2, 5.0),
        step(100, 1, 40.0),
        step(300, 1, 400.0),
        step(1000, 1, 5000.0),
    ];
    Record { axis: "ingresses".into(), steps, ..Record::default() }
}

#[test]
fn tables_show_medians_fit_spread_and_prediction() {
    let table = record_table(&record());
    let line = table.lines().find(|line| line.starts_with("| cost_ms")).unwrap();
    assert!(line.starts_with("| cost_ms | 4.00 | 40.0 | 400 | 5,000 | 2.0"), "{line}");
    assert!(line.ends_with("| 25% |"), "{line}");
    let check = check_table(&record());
    assert!(check.contains("| cost_ms | 4,277 | 5,000 | +17% |"), "{check}");
    assert!(check.ends_with("Within a fifth: 1 of 1."), "{check}");
}

#[test]
fn numbers_have_three_significant_digits() {
    let shown = [0.0, 0.004, 0.5, 12.34, 99.96, 1234.5, 1_234_567.0, -124.0, -1_234.0].map(format_number);
    assert_eq!(shown, ["0", "0.0040", "0.50", "12.3", "100", "1,234", "1,234,567", "-124", "-1,234"]);
}
