//! Only what is whole, of this version and meant for this process is read.

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

fn read(sealed: &[u8], expected: &Header) -> Result<Body, OpenError> {
    open(sealed, expected)
}

#[test]
fn a_sealed_state_is_opened_completely() {
    let sealed = seal(&header(), &body()).unwrap();
    assert_eq!(read(&sealed, &header()), Ok(body()));
}

#[test]
fn a_state_that_ends_early_is_truncated_wherever_it_ends() {
    let sealed = seal(&header(), &body()).unwrap();
    for end in 0..sealed.len() {
        let error = read(&sealed[..end], &header()).unwrap_err();
        let is_truncated =
            matches!(error, OpenError::Truncated { .. }) || (end < 6 && error == OpenError::UnknownFormat);
        assert!(is_truncated, "{end} bytes: {error}");
    }
    let longer = [&sealed[..], &[0]].concat();
    assert!(matches!(read(&longer, &header()), Err(OpenError::Truncated { .. })));
}

#[test]
fn a_changed_byte_is_found_wherever_it_is() {
    let sealed = seal(&header(), &body()).unwrap();
    for at in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[at] ^= 0x10;
        assert!(read(&changed, &header()).is_err(), "byte {at}");
    }
}

#[test]
fn errors_name_another_version_ingress_configuration_or_process() {
    let mut sealed = seal(&header(), &body()).unwrap();
    for (field, expected) in [
        ("ingress", Header { ingress: "n4".into(), ..header() }),
        ("settings", Header { settings: 43, ..header() }),
        ("to", Header { to: "new 8".into(), ..header() }),
    ] {
        assert_eq!(read(&sealed, &expected), Err(OpenError::Mismatch(field)));
        assert!(OpenError::Mismatch(field).to_string().starts_with(field));
    }
    sealed[4] = VERSION as u8 + 1;
    assert_eq!(read(&sealed, &header()), Err(OpenError::Version(VERSION + 1)));
    assert_eq!(read(b"", &header()), Err(OpenError::UnknownFormat));
    assert_eq!(read(b"{\"nodes\": []}", &header()), Err(OpenError::UnknownFormat));
}

/// A field more or less under the same version is a mistake of ours; it is not to pass for another figure.
#[test]
fn a_body_with_more_or_fewer_fields_is_refused() {
    let sealed = seal(&header(), &(body(), 7_u64)).unwrap();
    let error = read(&sealed, &header()).unwrap_err();
    assert_eq!(error.to_string(), "body: 1 bytes more than it takes");
    let sealed = seal(&header(), &body().figures).unwrap();
    assert!(matches!(read(&sealed, &header()), Err(OpenError::Decode(_))));
}

proptest! {
    #[test]
    fn noise_is_refused_without_a_panic(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(read(&noise, &header()).is_err());
    }

    /// Noise that is whole: whatever stands in it, reading ends.
    #[test]
    fn noise_under_a_correct_checksum_is_refused(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut sealed = b"VYSN".to_vec();
        sealed.extend(VERSION.to_le_bytes());
        sealed.extend((noise.len() as u32).to_le_bytes());
        sealed.extend(siphasher::sip::SipHasher13::new().hash(&noise).to_le_bytes());
        sealed.extend(&noise);
        prop_assert!(matches!(read(&sealed, &header()), Err(OpenError::Decode(_) | OpenError::TrailingBytes(_) | OpenError::Mismatch(_))));
    }
}
