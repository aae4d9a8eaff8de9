//! Only a complete state of this version that is meant for this process is decoded.

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use violetyoke_succession::{open, seal, Header, OpenError, VERSION};

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Body {
    figures: Vec<f64>,
    names: Vec<String>,
}

fn header() -> Header {
    Header { ingress: "n3".into(), settings: 42, to: "new 7".into() }
}

fn body() -> Body {
    Body { figures: vec![1.5, -0.25], names: vec!["s-1".into()] }
}

fn open_body(sealed: &[u8], expected: &Header) -> Result<Body, OpenError> {
    open(sealed, expected)
}

#[test]
fn a_sealed_state_round_trips() {
    let sealed = seal(&header(), &body()).unwrap();
    assert_eq!(open_body(&sealed, &header()), Ok(body()));
}

#[test]
fn a_state_cut_off_at_any_byte_or_extended_is_rejected() {
    let sealed = seal(&header(), &body()).unwrap();
    for end in 0..sealed.len() {
        let error = open_body(&sealed[..end], &header()).unwrap_err();
        let is_truncated =
            matches!(error, OpenError::Truncated { .. }) || (end < 6 && error == OpenError::UnknownFormat);
        assert!(is_truncated, "{end} bytes: {error}");
    }
    let longer = [&sealed[..], &[0]].concat();
    assert!(matches!(open_body(&longer, &header()), Err(OpenError::Truncated { .. })));
}

#[test]
fn a_corrupted_byte_at_any_position_is_detected() {
    let sealed = seal(&header(), &body()).unwrap();
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 0x10;
        assert!(open_body(&changed, &header()).is_err(), "byte {position}");
    }
}

#[test]
fn errors_name_the_field_that_differs_from_the_expected_header() {
    let mut sealed = seal(&header(), &body()).unwrap();
    for (field, expected) in [
        ("ingress", Header { ingress: "n4".into(), ..header() }),
        ("settings", Header { settings: 43, ..header() }),
        ("to", Header { to: "new 8".into(), ..header() }),
    ] {
        assert_eq!(open_body(&sealed, &expected), Err(OpenError::Mismatch(field)));
        assert!(OpenError::Mismatch(field).to_string().starts_with(field));
    }
    sealed[4] = VERSION as u8 + 1;
    assert_eq!(open_body(&sealed, &header()), Err(OpenError::Version(VERSION + 1)));
    assert_eq!(open_body(b"", &header()), Err(OpenError::UnknownFormat));
    assert_eq!(open_body(b"{\"nodes\": []}", &header()), Err(OpenError::UnknownFormat));
}

/// Guards against types that change without a new version: their fields must not be decoded as other ones.
#[test]
fn a_body_with_more_or_fewer_fields_is_rejected() {
    let sealed = seal(&header(), &(body(), 7_u64)).unwrap();
    let error = open_body(&sealed, &header()).unwrap_err();
    assert_eq!(error.to_string(), "body: 1 bytes after the last field");
    let sealed = seal(&header(), &body().figures).unwrap();
    assert!(matches!(open_body(&sealed, &header()), Err(OpenError::Decode(_))));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(open_body(&bytes, &header()).is_err());
    }

    /// Guards against a panic or an endless loop while a payload of random bytes is decoded.
    #[test]
    fn random_payload_under_a_correct_checksum_is_rejected(payload in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut sealed = b"VYSN".to_vec();
        sealed.extend(VERSION.to_le_bytes());
        sealed.extend((payload.len() as u32).to_le_bytes());
        sealed.extend(siphasher::sip::SipHasher13::new().hash(&payload).to_le_bytes());
        sealed.extend(&payload);
        prop_assert!(matches!(open_body(&sealed, &header()), Err(OpenError::Decode(_) | OpenError::TrailingBytes(_) | OpenError::Mismatch(_))));
    }
}
