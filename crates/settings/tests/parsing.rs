//! Which settings are valid, and how they are parsed.

use violetyoke_decision::interface::{Counter, DedupScope, Discovery, Idempotency, ReportField, ReportVia};
use violetyoke_settings::parse_settings;

const SETTINGS: &str = r#"{"areas": ["a", "b"], "balancers": 3, "self-index": 2, "zone": 1,
 "unknown-key": {"x": []},
 "bounds": {"attempts-cap": 4, "cancelling": true, "connect-timeout-us": 250000, "retry-after": true},
 "categories": [{"aim-us": 750000, "deadline-us": 2000000, "effect": "deduplicated", "group": "zone",
   "late-value": 0.1, "name": "x", "value": 2.0, "window-us": 4000000}],
 "family-info": {"has-counter": true, "counter-timeout-us": 50000, "count-fee": 0.02, "largest": 6},
 "granularity-us": 4000, "registry-mode": "ask", "weights": "rough",
 "report": {"fields": ["outstanding", "new-figure"], "via": "pull"},
 "tariffs": [{"quota-rate": 1.6, "peak-units": 12.0, "ceiling-rate": 20, "ceiling-burst": 46, "open": 3}]}"#;

#[test]
fn known_keys_are_parsed_and_unknown_ones_are_ignored() {
    let settings = parse_settings(SETTINGS.as_bytes()).unwrap();
    assert_eq!((settings.gateways, settings.index, settings.zone, settings.tick), (3, 2, 1, 4000));
    let class = &settings.classes[0];
    assert_eq!(
        (class.idempotency, class.dedup_scope, class.dedup_window),
        (Idempotency::Deduplicated, DedupScope::Zone, 4_000_000)
    );
    assert_eq!(settings.counter, Some(Counter { timeout: 50_000, fee: 0.02 }));
    assert_eq!((settings.plans[0].rate, settings.plans[0].max_in_flight), (1.6, 3.0));
    assert_eq!(settings.report_fields, [ReportField::Outstanding, ReportField::Other]);
    assert_eq!((settings.report_via, settings.discovery), (ReportVia::Probes, Discovery::Poll));
    assert!(settings.limits.retry_hints && !settings.limits.peer_messages);
}

#[test]
fn invalid_settings_are_rejected() {
    let cases = [
        ("\"balancers\": 3", "\"balancers\": 2"),
        ("\"balancers\": 3", "\"balancers\": \"three\""),
        ("750000", "-1"),
        ("750000", "3000000"),
        ("\"deduplicated\"", "\"sometimes\""),
        ("\"has-counter\": true", "\"has-counter\": 1"),
        ("\"peak-units\": 12.0", "\"peak-units\": 0"),
        ("\"ceiling-burst\": 46", "\"ceiling-burst\": 0"),
        ("{\"areas\"", "[\"areas\""),
    ];
    for (from, to) in cases {
        let text = SETTINGS.replacen(from, to, 1);
        assert_ne!(text, SETTINGS);
        let error = parse_settings(text.as_bytes()).unwrap_err();
        assert!(error.to_string().starts_with("settings: "), "{error}");
    }
}
