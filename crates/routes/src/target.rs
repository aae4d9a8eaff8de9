//! The one normal form of what a request asks for. It is what routes are matched by and what goes on to a
//! node, so that no two of the servers on the way can read it differently.
//!
//! - Host: from the request target where that is absolute, which the `Host` field must then repeat; else from
//!   the one `Host` field. Lower case, without port and without the root's dot (RFC 9110 4.2.3).
//! - Path: percent-encoded bytes that need no encoding are decoded, once, and the others' digits are upper
//!   case; `.` and `..` are resolved; empty segments are dropped, but a slash at the end stays
//!   (RFC 3986 6.2.2).
//! - Refused, as servers are known to differ about them: an encoded slash or backslash, a plain backslash, a
//!   control byte in any form, a `%` that encodes nothing, `..` above the root, dots with parameters (`/..;x/`),
//!   and any target but a path or an absolute URI.
//!
//! The query is no part of a route and goes on as it came.

use crate::host;
use std::fmt;

/// What a request asks for, in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host: String,
    /// The path, without the query.
    pub path: String,
}

/// Why a request's target is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No `Host` field, or more than one.
    MissingOrRepeatedHost,
    /// The host is no host name.
    InvalidHost,
    /// The absolute target names another host than the `Host` field.
    HostMismatch,
    /// The path does not begin with a slash.
    NotAPath,
    /// The path has an encoding that servers read differently.
    AmbiguousEncoding,
    /// The path leads above the root, or hides dots.
    InvalidDotSegments,
}

impl TargetError {
    /// The field, and what is wrong with it.
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

/// The normal form of a request's target. `absolute` is the authority of an absolute target; `hosts` are the
/// values of the `Host` fields, in order.
///
/// # Errors
/// When servers on the way could read the target in different ways.
pub fn normalize_target<'a>(
    absolute: Option<&str>,
    hosts: impl IntoIterator<Item = &'a [u8]>,
    raw_path: &str,
) -> Result<Target, TargetError> {
    let mut hosts = hosts.into_iter();
    let (Some(stated), None) = (hosts.next(), hosts.next()) else {
        return Err(TargetError::MissingOrRepeatedHost);
    };
    let stated = std::str::from_utf8(stated).map_err(|_| TargetError::InvalidHost)?;
    let host = host_from_authority(stated.trim())?;
    if let Some(absolute) = absolute {
        // A server in front may have followed the one, a node behind may follow the other.
        if host_from_authority(absolute)? != host {
            return Err(TargetError::HostMismatch);
        }
    }
    Ok(Target { host, path: normalize_path(raw_path)? })
}

/// The host of an authority: lower case, without port and root dot. User names in it are refused.
///
/// # Errors
/// When it is no host name with an optional port.
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
    // An empty port is a port by RFC 3986, and means the usual one.
    if port.is_some_and(|port| port.len() > 5 || !port.bytes().all(|byte| byte.is_ascii_digit())) {
        return Err(TargetError::InvalidHost);
    }
    let name = name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase();
    host::check(&name).map_err(|_| TargetError::InvalidHost)?;
    Ok(name)
}

/// The normal form of a path.
pub(crate) fn normalize_path(raw: &str) -> Result<String, TargetError> {
    let Some(rest) = raw.strip_prefix('/') else { return Err(TargetError::NotAPath) };
    // Most paths are in normal form already.
    let plain =
        |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'%' | b'\\' | b'.' | b';' | b'?' | b'#');
    if rest.bytes().all(plain) && !raw.contains("//") {
        return Ok(raw.to_string());
    }
    let mut normal = String::with_capacity(raw.len());
    let mut ends_open = false;
    for segment in rest.split('/') {
        let segment = decoded(segment)?;
        let name = segment.split(';').next().unwrap_or_default();
        if matches!(name, "." | "..") && name != segment {
            return Err(TargetError::InvalidDotSegments);
        }
        ends_open = matches!(segment.as_str(), "" | "." | "..");
        match segment.as_str() {
            "" | "." => {}
            ".." => normal.truncate(normal.rfind('/').ok_or(TargetError::InvalidDotSegments)?),
            segment => {
                normal.push('/');
                normal.push_str(segment);
            }
        }
    }
    if ends_open || normal.is_empty() {
        normal.push('/');
    }
    Ok(normal)
}

/// A segment with what needs no encoding decoded, once.
fn decoded(segment: &str) -> Result<String, TargetError> {
    let bytes = segment.as_bytes();
    let mut text = String::with_capacity(segment.len());
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' => {
                let digits = bytes.get(at + 1..at + 3).ok_or(TargetError::AmbiguousEncoding)?;
                let digit = |byte: u8| (byte as char).to_digit(16).ok_or(TargetError::AmbiguousEncoding);
                let byte = (digit(digits[0])? * 16 + digit(digits[1])?) as u8;
                match byte {
                    b'/' | b'\\' | 0..=0x1f | 0x7f => return Err(TargetError::AmbiguousEncoding),
                    b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                        text.push(byte as char);
                    }
                    _ => text.push_str(&format!("%{byte:02X}")),
                }
                at += 3;
            }
            b'\\' | b'?' | b'#' => return Err(TargetError::AmbiguousEncoding),
            byte if byte.is_ascii_graphic() => {
                text.push(byte as char);
                at += 1;
            }
            _ => return Err(TargetError::AmbiguousEncoding),
        }
    }
    Ok(text)
}
