//! Numbers that no backend in its senses states, for responses and for entries of the platform's list.

use super::Backend;
use hyper::header::{HeaderMap, HeaderValue};
use std::sync::atomic::Ordering;

/// The edges of the types that a reader may use, and numbers that are none.
const HEADER_NUMBERS: [&str; 11] = [
    "9223372036854775807",
    "-1",
    "0",
    "18446744073709551615",
    "1e300",
    "4294967295",
    "",
    "18446744073709551616",
    "4294967296",
    "340282366920938463463374607431768211456",
    "7",
];
const LIST_NUMBERS: [f64; 7] = [-1.0, 1e300, 0.0, 4_294_967_296.0, f64::MAX, 1e19, f64::MIN];

impl Backend {
    fn next_spoiled(&self) -> usize {
        self.state.spoiled.fetch_add(1, Ordering::Relaxed)
    }

    fn header_number(&self) -> &'static str {
        HEADER_NUMBERS[self.next_spoiled() % HEADER_NUMBERS.len()]
    }

    /// The slots and the rest of the slow start (ms) that a spoiled entry states.
    pub(super) fn spoiled_list_numbers(&self) -> (f64, f64) {
        let next = || LIST_NUMBERS[self.next_spoiled() % LIST_NUMBERS.len()];
        (next(), next())
    }

    /// Replaces the numbers in the header fields of a response.
    pub(super) fn spoil(&self, headers: &mut HeaderMap) {
        let fields = [
            ("keep-alive", format!("timeout={}, max={}", self.header_number(), self.header_number())),
            ("x-server-load", format!("{},{},8", self.header_number(), self.header_number())),
            ("retry-after", self.header_number().to_owned()),
        ];
        for (name, value) in fields {
            // Always valid: the values have only visible characters.
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
    }
}
