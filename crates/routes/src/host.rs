//! Host patterns of routes: one name, all subdomains of a name, or any host.

use std::fmt;
use std::str::FromStr;

/// Why a text is not a valid host pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host {text:?} {reason}")]
pub struct HostError {
    text: String,
    reason: &'static str,
}

/// The hosts that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HostPattern {
    /// Exactly this name.
    Name(String),
    /// All subdomains of this name (`*.example.org`), at any depth, but not the name itself.
    Subdomains(String),
    /// Any host.
    Any,
}

/// Parses `avail.example.org`, `*.example.org` or `*`. Names are converted to lower case; a port is an error.
impl FromStr for HostPattern {
    type Err = HostError;

    fn from_str(text: &str) -> Result<HostPattern, HostError> {
        if text == "*" {
            return Ok(HostPattern::Any);
        }
        let (is_below, name) = text.strip_prefix("*.").map_or((false, text), |name| (true, name));
        let name = name.to_ascii_lowercase();
        check(&name).map_err(|reason| HostError { text: text.to_string(), reason })?;
        Ok(if is_below { HostPattern::Subdomains(name) } else { HostPattern::Name(name) })
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostPattern::Name(name) => f.write_str(name),
            HostPattern::Subdomains(name) => write!(f, "*.{name}"),
            HostPattern::Any => f.write_str("*"),
        }
    }
}

/// Checks that a name is a host name, an IPv4 address, or an IPv6 address in brackets. This is stricter than `reg-name`
/// of RFC 3986, because servers interpret the other forms of `reg-name` differently.
pub(crate) fn check(name: &str) -> Result<(), &'static str> {
    if name.is_empty() {
        return Err("is empty");
    }
    if name.len() > 253 {
        return Err("is longer than 253 bytes");
    }
    if let Some(inner) = name.strip_prefix('[') {
        let address = inner.strip_suffix(']').and_then(|text| text.parse::<std::net::Ipv6Addr>().ok());
        return address.map(drop).ok_or("is not an IPv6 address in brackets");
    }
    let is_valid_label = |label: &str| {
        !label.is_empty()
            && label.len() <= 63
            && label.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
    };
    if name.split('.').all(is_valid_label) {
        Ok(())
    } else {
        Err("is not a host name")
    }
}
