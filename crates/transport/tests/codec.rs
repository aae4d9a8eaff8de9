//! The encoding and decoding of messages, and values without an encoding.

#![cfg(test)]

use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;
use violetyoke_transport::codec::{decode, encode, encode_deflated, try_encode, Message};
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::error::{DecodeError, EncodeError};
use violetyoke_transport::messages::{Epoch, ProxyReply, Revision};

/// A message of any size.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Routes(Vec<String>);

impl Message for Routes {}

/// A value without an encoding, which violates the contract of [`Message`].
struct Unencodable;

impl Serialize for Unencodable {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(serde::ser::Error::custom("has no encoding"))
    }
}

impl Message for Unencodable {}

#[test]
fn large_messages_are_compressed_and_decoded() {
    let routes: Vec<String> = (0..5_000).map(|n| format!("/prefix{n}/ to a service, for a host")).collect();
    let plain_size = routes.concat().len();
    let routes = Routes(routes);
    let bytes = encode_deflated(&routes);
    assert!(bytes.len() * 4 < plain_size, "{} bytes", bytes.len());
    assert_eq!(decode::<Routes>(&bytes).expect("decoded"), routes);
    for end in [0, 1, 2, bytes.len() / 2, bytes.len() - 1] {
        assert!(decode::<Routes>(&bytes[..end]).is_err(), "truncated at {end}");
    }
    assert_eq!(decode::<Routes>(&encode(&routes)).expect("plain"), routes);
    let small = Routes(vec!["one".to_owned()]);
    assert_eq!(decode::<Routes>(&encode_deflated(&small)).expect("decoded"), small);
}

#[test]
fn value_without_an_encoding_is_an_error() {
    assert!(matches!(try_encode(&Unencodable), Err(EncodeError::Format(_))));
    assert!(matches!(Compressed::encode(&Unencodable), Err(EncodeError::Format(_))));
}

#[test]
#[should_panic(expected = "a type of message has values without an encoding")]
fn message_without_an_encoding_panics_and_is_not_sent_empty() {
    drop(encode(&Unencodable));
}

#[test]
#[should_panic(expected = "a type of message has values without an encoding")]
fn large_message_without_an_encoding_panics_and_is_not_sent_empty() {
    drop(encode_deflated(&Unencodable));
}

#[test]
fn decoding_invalid_bytes_returns_the_kind_of_error() {
    let reply = ProxyReply::Freshness { request_id: 7, newest: Revision { epoch: Epoch(3), sequence: 9 } };
    let bytes = encode(&reply);
    assert!(matches!(decode::<ProxyReply>(&bytes[..bytes.len() - 1]), Err(DecodeError::Format(_))));
    assert!(matches!(decode::<Routes>(&bytes), Err(DecodeError::Format(_))), "another type");
    assert!(matches!(decode::<ProxyReply>(&[]), Err(DecodeError::Format(_))));
    // The mark of a compressed message, followed by a block of an invalid deflate type.
    assert!(matches!(decode::<ProxyReply>(&[0xc1, 0xff, 0xff]), Err(DecodeError::Inflate(_))));
}

#[test]
fn decode_error_contains_the_name_of_an_unknown_variant() {
    let bytes = try_encode(&BTreeMap::from([("VariantOfALaterBuild", [7])])).expect("encoded");
    let error = decode::<ProxyReply>(&bytes).expect_err("no such variant");
    assert!(error.to_string().contains("VariantOfALaterBuild"), "{error}");
}
