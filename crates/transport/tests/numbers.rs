//! Numbers in messages of another build: whatever they are, the decoded value can be computed with, or there is none.

#![cfg(test)]

use proptest::prelude::*;
use serde::Serialize;
use std::time::{Duration, Instant};
use violetyoke_api::quantity::MAX_DURATION;
use violetyoke_transport::codec::{decode, try_encode};
use violetyoke_transport::messages::{
    Backend, BackendList, BackendListChange, Epoch, ListDigest, ProxyReply, ProxyRequest, RegistryRequest,
    StoreReply, StoreRequest,
};

fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![any::<u64>(), 0..100_000u64, Just(u64::MAX)]
}

fn encoded<T: Serialize>(value: &T) -> Vec<u8> {
    try_encode(value).expect("an encoding")
}

fn backend(slots: u32, slow_start_left_ms: u64) -> Backend {
    Backend {
        id: "i-1".into(),
        service: "finder".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        zone: "a".into(),
        slots,
        draining: false,
        slow_start_left_ms,
    }
}

fn fits_the_clock(millis: u64) -> bool {
    let time = Duration::from_millis(millis);
    time <= MAX_DURATION && Instant::now().checked_add(time * 4).is_some()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a slow start or an age whose sum with the present time overflows: the backend would count as warm.
    #[test]
    fn times_in_a_list_of_backends_are_within_the_range_of_the_clock(
        age_ms in any_number(),
        slots in any::<u32>(),
        left_ms in any_number(),
    ) {
        let list = BackendList { digest: ListDigest(1), age_ms, backends: vec![backend(slots, left_ms)] };
        let decoded: BackendList = decode(&encoded(&list)).expect("decodable");
        prop_assert!(fits_the_clock(decoded.age_ms));
        prop_assert!(fits_the_clock(decoded.backends[0].slow_start_left_ms));

        let change = BackendListChange { age_ms, upserted: list.backends, ..BackendListChange::default() };
        let decoded: BackendListChange = decode(&encoded(&change)).expect("decodable");
        prop_assert!(fits_the_clock(decoded.age_ms));
        prop_assert!(fits_the_clock(decoded.upserted[0].slow_start_left_ms));
    }

    // Guards against an epoch that ends the store which counts on from it, or is followed by a lower one.
    #[test]
    fn epoch_after_any_is_no_lower(number in any_number()) {
        let epoch: Epoch = decode(&encoded(&Epoch(number))).expect("decodable");
        prop_assert!(epoch.next() >= epoch);
    }

    // Guards against bytes that end the process which decodes them.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        drop(decode::<StoreRequest>(&bytes));
        drop(decode::<StoreReply>(&bytes));
        drop(decode::<RegistryRequest>(&bytes));
        drop(decode::<ProxyReply>(&bytes));
        drop(decode::<ProxyRequest>(&bytes));
        drop(decode::<BackendList>(&bytes));
    }
}
