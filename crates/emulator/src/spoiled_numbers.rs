//! Numbers that no party in its senses states, for responses of backends and entries of the platform's list.

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

/// The edges of the types that a reader may use, and numbers that are none.
const EDGES: [&str; 12] = [
    "",
    "-1",
    "0",
    "+7",
    "1e300",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "340282366920938463463374607431768211456",
];

/// A number for a header field: at the edge of a type, or any number of 64 bits.
pub(crate) fn header_number(rng: &mut impl Rng) -> String {
    if rng.random_bool(0.5) {
        return EDGES.choose(rng).map(ToString::to_string).unwrap_or_default();
    }
    // Of any magnitude.
    (rng.random::<u64>() >> rng.random_range(0..64)).to_string()
}

/// A number for an entry of the platform's list: of any magnitude, or below 0.
pub(crate) fn listed_number(rng: &mut impl Rng) -> f64 {
    let magnitude = 10f64.powf(rng.random_range(0.0..308.0));
    if rng.random_bool(0.2) {
        -magnitude
    } else {
        magnitude
    }
}
