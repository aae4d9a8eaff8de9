//! Hosts of routes: a name, all names below one, or any.

use std::fmt;

/// Which hosts a rule is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Host {
    /// This name.
    Name(String),
    /// Every name below this one (`*.example.org`: one label or more), not the name itself.
    Below(String),
    Any,
}

impl Host {
    /// Reads `avail.example.org`, `*.example.org` or `*`. Names are taken in lower case, without a port.
    pub fn parse(text: &str) -> Result<Host, String> {
        if text == "*" {
            return Ok(Host::Any);
        }
        let (below, name) = text.strip_prefix("*.").map_or((false, text), |name| (true, name));
        let name = name.to_ascii_lowercase();
        check(&name).map_err(|reason| format!("host {text:?} {reason}"))?;
        Ok(if below { Host::Below(name) } else { Host::Name(name) })
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Host::Name(name) => f.write_str(name),
            Host::Below(name) => write!(f, "*.{name}"),
            Host::Any => f.write_str("*"),
        }
    }
}

/// Whether this is a host name, or an address in the form that a URI has it: what RFC 3986 calls `reg-name`
/// is wider, but whatever else stood there could be read as two things.
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
