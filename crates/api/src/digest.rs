//! The digest of a configuration, with which processes check that they have the same configuration.

use crate::configuration::Configuration;
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::io;

/// A row could not be encoded, so there is no digest. Not treated as an empty row, because two different configurations could
/// then have the same digest.
#[derive(Debug, thiserror::Error)]
#[error("a row of the configuration can't be encoded")]
pub struct DigestError(#[from] rmp_serde::encode::Error);

/// The kind of a row, so that equal rows of different kinds have different digests. The numbers must not change, as they are
/// part of the digests, which different builds compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RowKind {
    /// A [`Route`](crate::configuration::Route).
    Route = 1,
    /// A [`Service`](crate::configuration::Service).
    Service = 2,
    /// A [`Tenant`](crate::configuration::Tenant).
    Tenant = 3,
    /// The [`Limits`](crate::configuration::Limits).
    Limits = 4,
    /// The version of the configuration.
    Version = 5,
}

/// The digest of a configuration. It does not depend on the order of rows.
///
/// # Errors
/// If a row can't be encoded.
pub fn digest(configuration: &Configuration) -> Result<u64, DigestError> {
    let limits = row_digest(RowKind::Limits, &configuration.limits)?;
    let version = row_digest(RowKind::Version, &configuration.version)?;
    let mut sum = limits.wrapping_add(version);
    for route in &configuration.routes {
        sum = sum.wrapping_add(row_digest(RowKind::Route, route)?);
    }
    for service in &configuration.services {
        sum = sum.wrapping_add(row_digest(RowKind::Service, service)?);
    }
    for tenant in &configuration.tenants {
        sum = sum.wrapping_add(row_digest(RowKind::Tenant, tenant)?);
    }
    Ok(sum)
}

/// The digest of one row: SipHash-1-3 of its kind and its MessagePack encoding. [`digest`] returns the sum of the digests of
/// all rows.
///
/// # Errors
/// If the row can't be encoded.
pub fn row_digest<T: Serialize>(kind: RowKind, row: &T) -> Result<u64, DigestError> {
    let mut writer = HashWriter(SipHasher13::new());
    writer.0.write_u8(kind as u8);
    rmp_serde::encode::write(&mut writer, row)?;
    Ok(writer.0.finish())
}

/// A writer that hashes the written bytes.
struct HashWriter(SipHasher13);

impl io::Write for HashWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
