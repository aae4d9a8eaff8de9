//! Hosts of routes: a name, all names below one, or any.

use std::fmt;
use std::str::FromStr;

/// Why a text is no host pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("host {text:?} {reason}")]
pub struct HostError {
    text: String,
    reason: &'static str,
}

/// Which hosts a route is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum HostPattern {
    /// This name.
    Name(String),
    /// Every name below this one (`*.example.org`: one label or more), not the name itself.
    Subdomains(String),
    /// Every name.
    Any,
}

/// Reads `avail.example.org`, `*.example.org` or `*`. Names are turned to lower case, and have no port.
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

/// Whether this is a host name, or an address in the form that a URI has it: what RFC 3986 calls `reg-name`
/// is wider, but anything else there could be read in two ways.
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
    let label = |label: &str| {
        !label.is_empty()
            && label.len() <= 63
            && label.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
    };
    if name.split('.').all(label) {
        Ok(())
    } else {
        Err("is not a host name")
    }
}
