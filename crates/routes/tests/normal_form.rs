//! The normal form of hosts and paths, and what is refused because servers read it differently.

use proptest::prelude::*;
use violetyoke_routes::{host_from_authority, normalize_target, TargetError};

fn path(raw: &str) -> Result<String, TargetError> {
    normalize_target(None, [b"a.example".as_slice()], raw).map(|target| target.path)
}

#[test]
fn paths_have_one_normal_form() {
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
        assert_eq!(path(raw).as_deref(), Ok(normal), "{raw}");
    }
}

#[test]
fn what_servers_read_differently_is_refused() {
    for raw in
        ["/a%2fb", "/a%2Fb", "/a%5cb", "/a\\b", "/a%00", "/a%0d%0aX", "/a%7f", "/a%", "/a%2", "/a%zz", "/a b"]
    {
        assert_eq!(path(raw), Err(TargetError::AmbiguousEncoding), "{raw}");
    }
    for raw in ["/..", "/../a", "/a/../../b", "/%2e%2e/a", "/a/..;/b", "/a/..;x=1", "/a/.;/b", "/a/%2e%2e;/b"]
    {
        assert_eq!(path(raw), Err(TargetError::InvalidDotSegments), "{raw}");
    }
    for raw in ["", "a", "*", "a.example:443"] {
        assert_eq!(path(raw), Err(TargetError::NotAPath), "{raw}");
    }
}

#[test]
fn hosts_have_one_normal_form() {
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
fn there_is_one_host_and_no_other() {
    let with = |absolute, hosts: &[&str]| {
        normalize_target(absolute, hosts.iter().map(|host| host.as_bytes()), "/x").map(|target| target.host)
    };
    assert_eq!(with(None, &["A.example:80"]).as_deref(), Ok("a.example"));
    assert_eq!(with(None, &[]), Err(TargetError::MissingOrRepeatedHost));
    assert_eq!(with(None, &["a.example", "a.example"]), Err(TargetError::MissingOrRepeatedHost));
    assert_eq!(with(None, &["a.example, b.example"]), Err(TargetError::InvalidHost));
    assert_eq!(with(Some("a.example:8080"), &["a.example"]).as_deref(), Ok("a.example"));
    assert_eq!(with(Some("b.example"), &["a.example"]), Err(TargetError::HostMismatch));
    assert_eq!(with(Some("a.example"), &[]), Err(TargetError::MissingOrRepeatedHost));
}

proptest! {
    /// A second server that normalises again must see the same path.
    #[test]
    fn a_normal_form_is_its_own_normal_form(raw in "/[a-c./%25eE;A-]{0,24}") {
        if let Ok(once) = path(&raw) {
            prop_assert_eq!(path(&once), Ok(once.clone()));
            prop_assert!(!once.contains("//"));
            prop_assert!(once.split('/').all(|segment| segment != "." && segment != ".."));
        }
    }

    /// Encoding any byte that needs no encoding changes nothing.
    #[test]
    fn needless_encoding_does_not_change_a_path(segments in prop::collection::vec("[a-z0-9_~-]{1,4}", 1..5), at in 0usize..16) {
        let plain = format!("/{}", segments.join("/"));
        let mut encoded = String::new();
        for (place, byte) in plain.bytes().enumerate() {
            if byte != b'/' && place % 16 >= at {
                encoded.push_str(&format!("%{byte:02x}"));
            } else {
                encoded.push(byte as char);
            }
        }
        prop_assert_eq!(path(&encoded), Ok(plain));
    }
}
