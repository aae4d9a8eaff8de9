//! Heads that state their body's length twice, wherever the bytes are cut.

use super::Framing;

/// What is told of the heads in these bytes, however they are cut in two.
fn heads(bytes: &str, count: usize) -> Vec<bool> {
    let told = |cut: usize| {
        let mut framing = Framing::default();
        framing.read(&bytes.as_bytes()[..cut]);
        framing.read(&bytes.as_bytes()[cut..]);
        (0..count).map(|_| framing.next_head_is_unambiguous()).collect::<Vec<_>>()
    };
    let whole = told(0);
    for cut in 0..bytes.len() {
        assert_eq!(told(cut), whole, "cut at {cut}");
    }
    whole
}

const GET: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const FIVE: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345";
const CHUNKS: &str =
    "POST / HTTP/1.1\r\ntransfer-ENCODING:  chunked \r\n\r\n3;a=1\r\n\r\na\r\n0\r\nX: 1\r\n\r\n";

#[test]
fn plain_requests_of_every_form_follow_each_other() {
    assert_eq!(heads(&[GET, FIVE, CHUNKS, FIVE, "\r\n", CHUNKS, GET].concat(), 6), [true; 6]);
}

#[test]
fn a_length_in_a_body_is_none_of_a_heads() {
    let body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let stated = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let chunked = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    );
    assert_eq!(heads(&[stated.as_str(), &chunked, CHUNKS].concat(), 3), [true; 3]);
}

#[test]
fn both_are_seen_in_either_order_and_behind_others() {
    for fields in
        ["Content-Length: 3\r\nTransfer-Encoding: chunked", "transfer-encoding: chunked\r\ncontent-length:3"]
    {
        let both = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n0\r\n\r\n");
        assert_eq!(heads(&[GET, &both, GET].concat(), 3), [true, false, true]);
    }
}

#[test]
fn what_cannot_be_read_is_not_called_plain() {
    let padded = format!("POST / HTTP/1.1\r\nContent-Length:{}5\r\n\r\n12345", " ".repeat(100));
    assert_eq!(heads(&[padded.as_str(), CHUNKS].concat(), 2), [false, false]);
    assert_eq!(heads("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 2), [true, false]);
    assert_eq!(heads("GET / HTTP/1.1\r\nHost: a\r\n", 1), [false]);
}
