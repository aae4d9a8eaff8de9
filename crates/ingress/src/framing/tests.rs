//! Detection of heads with two statements of the body's length, with the input split at every position.

use super::FramingMonitor;

/// Returns the check's result for `count` heads in `bytes`, and asserts that it is the same for every split of the
/// input into two reads.
fn check_heads(bytes: &str, count: usize) -> Vec<bool> {
    let results = |cut: usize| {
        let mut framing = FramingMonitor::default();
        framing.read(&bytes.as_bytes()[..cut]);
        framing.read(&bytes.as_bytes()[cut..]);
        (0..count).map(|_| framing.next_head_is_unambiguous()).collect::<Vec<_>>()
    };
    let unsplit = results(0);
    for cut in 0..bytes.len() {
        assert_eq!(results(cut), unsplit, "cut at {cut}");
    }
    unsplit
}

const GET: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const FIXED_LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345";
const CHUNKED: &str =
    "POST / HTTP/1.1\r\ntransfer-ENCODING:  chunked \r\n\r\n3;a=1\r\n\r\na\r\n0\r\nX: 1\r\n\r\n";

#[test]
fn pipelined_requests_of_every_framing_are_unambiguous() {
    assert_eq!(
        check_heads(&[GET, FIXED_LENGTH, CHUNKED, FIXED_LENGTH, "\r\n", CHUNKED, GET].concat(), 6),
        [true; 6]
    );
}

#[test]
fn content_length_inside_a_body_is_not_taken_for_a_head() {
    let body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let fixed_length = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let chunked = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    assert_eq!(check_heads(&[fixed_length.as_str(), &chunked, CHUNKED].concat(), 3), [true; 3]);
}

#[test]
fn length_and_chunked_together_are_detected_in_either_order() {
    for fields in
        ["Content-Length: 3\r\nTransfer-Encoding: chunked", "transfer-encoding: chunked\r\ncontent-length:3"]
    {
        let both = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n0\r\n\r\n");
        assert_eq!(check_heads(&[GET, &both, GET].concat(), 3), [true, false, true]);
    }
}

#[test]
fn unparseable_or_incomplete_heads_are_not_reported_as_unambiguous() {
    let padded = format!("POST / HTTP/1.1\r\nContent-Length:{}5\r\n\r\n12345", " ".repeat(100));
    assert_eq!(check_heads(&[padded.as_str(), CHUNKED].concat(), 2), [false, false]);
    assert_eq!(check_heads("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 2), [true, false]);
    assert_eq!(check_heads("GET / HTTP/1.1\r\nHost: a\r\n", 1), [false]);
}
