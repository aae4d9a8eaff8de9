//! Measures the size of messages with a full control state, and the time to encode and decode them: `cargo run --release -p
//! violetyoke-transport --example message_cost`. The routes are similar to real ones, with about 120 bytes each.

use std::time::{Duration, Instant};
use violetyoke_transport::codec::{decode, encode_deflated};
use violetyoke_transport::messages::{
    ControlState, Envelope, Epoch, PeerMessage, Revision, StoreId, StoreNode, StoreRequest,
};

const RUNS: u32 = 20;

/// A pseudo-random name, which is as incompressible as real names.
fn name(seed: u64, length: usize) -> String {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d;
    let mut letter = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        char::from(b'a' + (state >> 33) as u8 % 26)
    };
    (0..length).map(|_| letter()).collect()
}

fn state_with(routes: u64) -> ControlState {
    let rows = (0..routes).map(|n| {
        let (route, host, path) = (name(n, 7), name(n % 40, 5), name(n + 1_000_000, 8));
        let service = name(n % 60 + 500, 6);
        format!(
            r#"["r-{route}","{host}.example","/{path}/","idempotent",2000,500,2,null,2,false,[],"{service}"]"#
        )
    });
    let text = format!(r#"{{"version":7,"routes":{{"rows":[{}]}}}}"#, rows.collect::<Vec<_>>().join(","));
    ControlState {
        revision: Revision { epoch: Epoch(3), sequence: 9 },
        version: 7,
        text,
        ..ControlState::default()
    }
}

fn mean(mut run: impl FnMut()) -> Duration {
    let start = Instant::now();
    (0..RUNS).for_each(|_| run());
    start.elapsed() / RUNS
}

fn main() {
    println!(
        "{:>7} {:>11} {:>10} {:>10} {:>10}",
        "routes", "state bytes", "sent bytes", "encode ms", "decode ms"
    );
    for routes in [50, 500, 1_700, 5_000, 17_000, 60_000] {
        let state = state_with(routes);
        let plain = state.text.len();
        let from = StoreNode { id: StoreId(1), ip: [10, 0, 0, 1].into(), zone: "zone-a".into() };
        let message =
            StoreRequest::Envelope(Envelope { from, message: PeerMessage::Write { epoch: Epoch(3), state } });
        let bytes = encode_deflated(&message);
        let encoded = mean(|| drop(encode_deflated(&message)));
        let decoded = mean(|| assert!(decode::<StoreRequest>(&bytes).is_ok()));
        let millis = |duration: Duration| duration.as_secs_f64() * 1_000.0;
        let sent = bytes.len();
        println!("{routes:>7} {plain:>11} {sent:>10} {:>10.2} {:>10.2}", millis(encoded), millis(decoded));
    }
}
