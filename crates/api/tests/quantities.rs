//! Numbers that documents and messages state: whatever they are, computations get them within a range.

#![cfg(test)]

use proptest::prelude::*;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};
use violetyoke_api::quantity::{ByteCount, Milliseconds, Seconds, MAX_BYTES, MAX_DURATION};
use violetyoke_api::{Configuration, Settings};

/// Any number of a message; documents have only the finite ones.
fn any_number() -> impl Strategy<Value = f64> {
    let edges =
        [-1.0, -0.0, 0.0, 1e-300, 1e9, 1e16, 1e19, 1e22, 1e300, f64::MAX, f64::MIN, f64::INFINITY, f64::NAN];
    prop_oneof![proptest::sample::select(edges.to_vec()), any::<f64>()]
}

fn finite_numbers(count: usize) -> impl Strategy<Value = Vec<f64>> {
    let finite = any_number().prop_filter("not in JSON", |number| number.is_finite());
    proptest::collection::vec(finite, count)
}

/// Whether the time can be added to the present time, several times over.
fn fits_every_clock(time: Duration) -> bool {
    time <= MAX_DURATION && Instant::now().checked_add(time * 4).is_some()
}

#[test]
fn quantities_in_range_are_what_was_stated() {
    assert_eq!(Milliseconds::new(2_500.5).to_duration(), Duration::from_micros(2_500_500));
    assert_eq!(Milliseconds::new(2_500.5).to_millis(), 2_500);
    assert_eq!(Seconds::new(2.5).to_duration(), Duration::from_millis(2_500));
    assert_eq!(Seconds::new(2.5).to_millis(), 2_500);
    assert_eq!(ByteCount::new(16_384.0).to_bytes(), 16_384);
    assert_eq!(Milliseconds::new(-1.0).stated(), -1.0);
    assert_eq!(Milliseconds::parse(" 250 "), Some(Milliseconds::new(250.0)));
    assert_eq!(Milliseconds::parse("nan"), None);
    assert_eq!(Milliseconds::parse("soon"), None);
}

const BOUNDS: [&str; 9] = [
    "contact-ms",
    "ack-ms",
    "drain-ms",
    "grace-s",
    "config-apply-ms",
    "retry-window-s",
    "dedup-window-s",
    "evacuate-ms",
    "ttl_max_s",
];

fn settings_with(bounds: &[f64], lag_ms: f64) -> Value {
    let bounds: Map<String, Value> =
        BOUNDS.iter().zip(bounds).map(|(name, number)| ((*name).to_owned(), json!(number))).collect();
    json!({
        "self": {"node": "edge-1", "ip": "10.1.0.9", "zone": "a", "region": "west"},
        "network": {"listen": {}, "internal-ports": [65535, 65535], "seeds": [], "zones": {"a": "west"}},
        "platform": {"cloud-api": {"address": "10.201.0.1:8082", "lag-ms": lag_ms}},
        "terms": {"bounds": bounds}
    })
}

fn configuration_with(numbers: &[f64]) -> Value {
    json!({
        "version": 1,
        "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "service"],
                   "rows": [["search", "rooms.example", "/search/", "idempotent", numbers[0], numbers[1], "finder"]]},
        "services": {"columns": ["name", "cold-s"], "rows": [["finder", numbers[2]]]},
        "limits": {"max-header-bytes": numbers[3], "max-body-bytes": numbers[4], "header-timeout-ms": numbers[5],
                   "idle-timeout-ms": numbers[6]}
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a conversion that panics, or gives a time with which a sum overflows.
    #[test]
    fn quantities_of_any_number_are_within_their_range(number in any_number()) {
        prop_assert!(fits_every_clock(Milliseconds::new(number).to_duration()));
        prop_assert!(fits_every_clock(Duration::from_millis(Milliseconds::new(number).to_millis())));
        prop_assert!(fits_every_clock(Seconds::new(number).to_duration()));
        prop_assert!(fits_every_clock(Duration::from_millis(Seconds::new(number).to_millis())));
        prop_assert!(ByteCount::new(number).to_bytes() <= MAX_BYTES);
    }

    #[test]
    fn settings_with_any_numbers_give_times_within_their_range(
        bounds in finite_numbers(BOUNDS.len()),
        lag_ms in any_number().prop_map(f64::abs).prop_filter("not in JSON", |number| number.is_finite()),
    ) {
        let settings = Settings::parse(&settings_with(&bounds, lag_ms).to_string()).expect("decodable");
        let read = settings.terms.bounds;
        prop_assert!((500..=1_250).contains(&read.max_list_interval_ms()));
        prop_assert!((500..=60_000).contains(&read.grace_period().as_millis()));
        prop_assert!(fits_every_clock(read.dedup_window_s.to_duration()));
        prop_assert!(fits_every_clock(read.ttl_max_s.to_duration()));
        let lag = settings.platform.cloud_api.expect("an address").lag_ms;
        prop_assert!(fits_every_clock(Duration::from_millis(lag.to_millis())));
    }

    #[test]
    fn configuration_with_any_numbers_gives_times_and_sizes_within_their_range(numbers in finite_numbers(7)) {
        let text = configuration_with(&numbers).to_string();
        let configuration = Configuration::decode(text.as_bytes()).expect("decodable");
        prop_assert!(fits_every_clock(configuration.routes[0].timeout_ms.to_duration()));
        prop_assert!(fits_every_clock(configuration.services[0].cold_s.to_duration()));
        let limits = configuration.limits;
        prop_assert!(fits_every_clock(limits.head_timeout()) && fits_every_clock(limits.idle_timeout()));
        prop_assert!(limits.max_head_bytes() <= MAX_BYTES && limits.max_body_bytes() <= MAX_BYTES);
        // What an operator sends is answered, with a reason or not, and never ends the process that reads it.
        let is_valid = numbers[0] > 0.0 && numbers[0] <= 600_000.0 && numbers[3..].iter().all(|number| *number >= 0.0);
        prop_assert_eq!(Configuration::parse(text.as_bytes()).is_ok(), is_valid);
    }
}

// Guards against a port beyond the last one, which the first internal port and the kind of process may add up to.
#[test]
fn internal_port_beyond_the_last_one_is_the_last_one() {
    let settings = Settings::parse(&settings_with(&[], 0.0).to_string()).expect("valid");
    assert_eq!(settings.internal_port(violetyoke_api::settings::Process::Registry), 65535);
}
