//! The normal form of a request target. Routes are matched by it, and it is forwarded to the node, so that all servers on
//! the way interpret a request in the same way.
//!
//! - Host: from the one `Host` field, which an absolute request target must repeat. It is in lower case, without a port
//!   and without the dot of the root domain at the end (RFC 9110 4.2.3).
//! - Path: percent-encoded bytes that need no encoding are decoded once; the hexadecimal digits of the other encoded bytes
//!   are in upper case. `.` and `..` are resolved. Empty segments are dropped, but a slash at the end stays (RFC 3986
//!   6.2.2).
//! - Rejected, because servers are known to interpret them differently: an encoded slash or backslash, a plain backslash, a
//!   control byte in any form, a `%` without two hexadecimal digits, `..` above the root, dot segments with parameters
//!   (`/..;x/`), and any target other than a path or an absolute URI.
//!
//! The query takes no part in matching and is forwarded unchanged.

use crate::host;
use std::fmt;

/// The target of a request, in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host: String,
    /// The path, without the query.
    pub path: String,
}

/// Why the target of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No `Host` field, or more than one.
    MissingOrRepeatedHost,
    /// The host is not a valid host name.
    InvalidHost,
    /// The absolute target names another host than the `Host` field.
    HostMismatch,
    /// The path does not begin with a slash.
    NotAPath,
    /// The path contains an encoding that servers interpret differently.
    AmbiguousEncoding,
    /// The path leads above the root, or has a dot segment with parameters.
    InvalidDotSegments,
}

impl TargetError {
    /// The part of the target, and what is wrong with it. Sent to the client.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            TargetError::MissingOrRepeatedHost => "host: there must be one Host field",
            TargetError::InvalidHost => "host: not a host name",
            TargetError::HostMismatch => "host: the target and the Host field differ",
            TargetError::NotAPath => "path: must begin with /",
            TargetError::AmbiguousEncoding => "path: an encoding that servers read differently",
            TargetError::InvalidDotSegments => "path: leads above the root or hides dots",
        }
    }
}

impl std::error::Error for TargetError {}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}

/// Returns the normal form of a request target. `absolute` is the authority of an absolute target; `hosts` are the values of
/// the `Host` fields, in order.
///
/// # Errors
/// When the target is invalid, or servers on the way could interpret it differently.
pub fn normalize_target<'a>(
    absolute: Option<&str>,
    hosts: impl IntoIterator<Item = &'a [u8]>,
    raw_path: &str,
) -> Result<Target, TargetError> {
    let mut hosts = hosts.into_iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(TargetError::MissingOrRepeatedHost);
    };
    let host = std::str::from_utf8(host).map_err(|_| TargetError::InvalidHost)?;
    let host = host_from_authority(host.trim())?;
    if let Some(absolute) = absolute {
        // A server in front of the ingress may use one of the two hosts, and the node the other.
        if host_from_authority(absolute)? != host {
            return Err(TargetError::HostMismatch);
        }
    }
    Ok(Target { host, path: normalize_path(raw_path)? })
}

/// Returns the host of an authority, in lower case and without a port or the dot of the root domain. User information is
/// rejected.
///
/// # Errors
/// When the authority is not a host name with an optional port.
pub fn host_from_authority(text: &str) -> Result<String, TargetError> {
    let (name, port) = match text.strip_prefix('[') {
        Some(rest) => {
            let end = rest.find(']').ok_or(TargetError::InvalidHost)?;
            let port = &rest[end + 1..];
            let port = if port.is_empty() {
                None
            } else {
                Some(port.strip_prefix(':').ok_or(TargetError::InvalidHost)?)
            };
            (&text[..end + 2], port)
        }
        None => text.split_once(':').map_or((text, None), |(name, port)| (name, Some(port))),
    };
    // RFC 3986 allows an empty port, which means the default port.
    if port.is_some_and(|port| port.len() > 5 || !port.bytes().all(|byte| byte.is_ascii_digit())) {
        return Err(TargetError::InvalidHost);
    }
    let name = name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase();
    host::check(&name).map_err(|_| TargetError::InvalidHost)?;
    Ok(name)
}

/// Returns the normal form of a path.
pub(crate) fn normalize_path(raw: &str) -> Result<String, TargetError> {
    let Some(rest) = raw.strip_prefix('/') else { return Err(TargetError::NotAPath) };
    // Most paths are in normal form already.
    let is_plain =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'%' | b'\\' | b'.' | b';' | b'?' | b'#');
    if rest.bytes().all(is_plain) && !raw.contains("//") {
        return Ok(raw.to_string());
    }
    let mut normal = String::with_capacity(raw.len());
    let mut ends_with_slash = false;
    for segment in rest.split('/') {
        let segment = decode_unreserved(segment)?;
        let name = segment.split(';').next().unwrap_or_default();
        if matches!(name, "." | "..") && name != segment {
            return Err(TargetError::InvalidDotSegments);
        }
        ends_with_slash = matches!(segment.as_str(), "" | "." | "..");
        match segment.as_str() {
            "" | "." => {}
            ".." => normal.truncate(normal.rfind('/').ok_or(TargetError::InvalidDotSegments)?),
            segment => {
                normal.push('/');
                normal.push_str(segment);
            }
        }
    }
    if ends_with_slash || normal.is_empty() {
        normal.push('/');
    }
    Ok(normal)
}

/// Decodes, once, the percent-encoded bytes of a segment that need no encoding.
fn decode_unreserved(segment: &str) -> Result<String, TargetError> {
    let bytes = segment.as_bytes();
    let mut text = String::with_capacity(segment.len());
    let mut position = 0;
    while position < bytes.len() {
        match bytes[position] {
            b'%' => {
                let digits = bytes.get(position + 1..position + 3).ok_or(TargetError::AmbiguousEncoding)?;
                let digit = |byte: u8| (byte as char).to_digit(16).ok_or(TargetError::AmbiguousEncoding);
                let byte = (digit(digits[0])? * 16 + digit(digits[1])?) as u8;
                match byte {
                    b'/' | b'\\' | 0..=0x1f | 0x7f => return Err(TargetError::AmbiguousEncoding),
                    b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                        text.push(byte as char);
                    }
                    _ => text.push_str(&format!("%{byte:02X}")),
                }
                position += 3;
            }
            b'\\' | b'?' | b'#' => return Err(TargetError::AmbiguousEncoding),
            byte if byte.is_ascii_graphic() => {
                text.push(byte as char);
                position += 1;
            }
            _ => return Err(TargetError::AmbiguousEncoding),
        }
    }
    Ok(text)
}
