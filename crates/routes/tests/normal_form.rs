//! The normal form of hosts and paths, and the targets that are rejected because servers interpret them differently.

use proptest::prelude::*;
use violetyoke_routes::{host_from_authority, normalize_target, TargetError};

fn normal_path(raw: &str) -> Result<String, TargetError> {
    normalize_target(None, [b"a.example".as_slice()], raw).map(|target| target.path)
}

#[test]
fn equivalent_paths_have_the_same_normal_form() {
    let cases = [
        ("/", "/"),
        ("/a/b", "/a/b"),
        ("/a/b/", "/a/b/"),
        ("//a///b//", "/a/b/"),
        ("/a/./b", "/a/b"),
        ("/a/../b", "/b"),
        ("/a/..", "/"),
        ("/a/b/.", "/a/b/"),
        ("/%2e/a", "/a"),
        ("/a/%2e%2e/b", "/b"),
        ("/a/%2E./b", "/b"),
        ("/%61dmin", "/admin"),
        ("/a%7eb", "/a~b"),
        ("/a%3ab", "/a%3Ab"),
        ("/a%252e", "/a%252e"),
        ("/caf%c3%a9", "/caf%C3%A9"),
        ("/a;v=1/b", "/a;v=1/b"),
        ("/a.b/..c", "/a.b/..c"),
    ];
    for (raw, normal) in cases {
        assert_eq!(normal_path(raw).as_deref(), Ok(normal), "{raw}");
    }
}

#[test]
fn ambiguous_paths_are_rejected() {
    for raw in
        ["/a%2fb", "/a%2Fb", "/a%5cb", "/a\\b", "/a%00", "/a%0d%0aX", "/a%7f", "/a%", "/a%2", "/a%zz", "/a b"]
    {
        assert_eq!(normal_path(raw), Err(TargetError::AmbiguousEncoding), "{raw}");
    }
    for raw in ["/..", "/../a", "/a/../../b", "/%2e%2e/a", "/a/..;/b", "/a/..;x=1", "/a/.;/b", "/a/%2e%2e;/b"]
    {
        assert_eq!(normal_path(raw), Err(TargetError::InvalidDotSegments), "{raw}");
    }
    for raw in ["", "a", "*", "a.example:443"] {
        assert_eq!(normal_path(raw), Err(TargetError::NotAPath), "{raw}");
    }
}

#[test]
fn equivalent_authorities_have_the_same_host_and_invalid_ones_are_rejected() {
    for text in ["Avail.Example.ORG", "avail.example.org:8080", "avail.example.org.", "avail.example.org:"] {
        assert_eq!(host_from_authority(text).as_deref(), Ok("avail.example.org"), "{text}");
    }
    assert_eq!(host_from_authority("[::1]:80").as_deref(), Ok("[::1]"));
    assert_eq!(host_from_authority("127.0.0.1:80").as_deref(), Ok("127.0.0.1"));
    for text in [
        "",
        ":80",
        "a..b",
        "user@a.example",
        "a.example:80:80",
        "a.example:x",
        "a b",
        "[::1",
        "[x]",
        "é",
        "a/b",
    ] {
        assert_eq!(host_from_authority(text), Err(TargetError::InvalidHost), "{text}");
    }
}

#[test]
fn a_missing_a_repeated_and_a_contradicting_host_are_rejected() {
    let normal_host = |absolute, hosts: &[&str]| {
        normalize_target(absolute, hosts.iter().map(|host| host.as_bytes()), "/x").map(|target| target.host)
    };
    assert_eq!(normal_host(None, &["A.example:80"]).as_deref(), Ok("a.example"));
    assert_eq!(normal_host(None, &[]), Err(TargetError::MissingOrRepeatedHost));
    assert_eq!(normal_host(None, &["a.example", "a.example"]), Err(TargetError::MissingOrRepeatedHost));
    assert_eq!(normal_host(None, &["a.example, b.example"]), Err(TargetError::InvalidHost));
    assert_eq!(normal_host(Some("a.example:8080"), &["a.example"]).as_deref(), Ok("a.example"));
    assert_eq!(normal_host(Some("b.example"), &["a.example"]), Err(TargetError::HostMismatch));
    assert_eq!(normal_host(Some("a.example"), &[]), Err(TargetError::MissingOrRepeatedHost));
}

proptest! {
    /// A server behind the ingress that normalises the path again must get the same path.
    #[test]
    fn normalisation_is_idempotent(raw in "/[a-c./%25eE;A-]{0,24}") {
        if let Ok(normal) = normal_path(&raw) {
            prop_assert_eq!(normal_path(&normal), Ok(normal.clone()));
            prop_assert!(!normal.contains("//"));
            prop_assert!(normal.split('/').all(|segment| segment != "." && segment != ".."));
        }
    }

    /// The encoding of bytes that need none does not change the normal form. Of each 16 bytes, those from `start` on are
    /// encoded.
    #[test]
    fn needless_encoding_does_not_change_a_path(segments in prop::collection::vec("[a-z0-9_~-]{1,4}", 1..5), start in 0usize..16) {
        let plain = format!("/{}", segments.join("/"));
        let mut encoded = String::new();
        for (offset, byte) in plain.bytes().enumerate() {
            if byte != b'/' && offset % 16 >= start {
                encoded.push_str(&format!("%{byte:02x}"));
            } else {
                encoded.push(byte as char);
            }
        }
        prop_assert_eq!(normal_path(&encoded), Ok(plain));
    }
}
