//! Keys: who may do what.
//!
//! A key is `vy_ID_SECRET`: an id to find it by, and 256 random bits that are shown once. Kept is the secret's
//! HMAC-SHA-256 under the store's own pepper. A slow hash (argon2) protects secrets that people choose; against 256
//! random bits nobody guesses, and it would cost each call tens of milliseconds. The pepper stands in a file beside
//! the store: whoever can only write to the store cannot make a key.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use utoipa::ToSchema;

/// What a key may do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename_all = "snake_case", tag = "role", deny_unknown_fields)]
pub enum Role {
    /// Everything.
    Operator,
    /// Snapshots, and telling what an ingress holds.
    Ingress,
    /// Everything that is one tenant's, but the tenant itself.
    TenantAdmin { tenant: String },
    /// Reads of that.
    TenantReader { tenant: String },
}

impl Role {
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Role::TenantAdmin { tenant } | Role::TenantReader { tenant } => Some(tenant),
            Role::Operator | Role::Ingress => None,
        }
    }
}

/// A key as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredKey {
    pub id: String,
    #[serde(flatten)]
    pub role: Role,
    pub label: String,
    /// Unix times in milliseconds.
    pub made_at: u64,
    pub expires_at: Option<u64>,
    /// 64 hex digits.
    pub hash: String,
}

/// A key as it is shown. The secret is there once, in the answer that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
pub struct ShownKey {
    pub id: String,
    #[serde(flatten)]
    pub role: Role,
    pub label: String,
    /// Unix times in milliseconds.
    pub made_at: u64,
    pub expires_at: Option<u64>,
    /// The whole key, to be sent as `Authorization: Bearer KEY`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}

impl StoredKey {
    pub fn shown(&self, key: Option<String>) -> ShownKey {
        let StoredKey { id, role, label, made_at, expires_at, .. } = self.clone();
        ShownKey { id, role, label, made_at, expires_at, key }
    }

    pub fn is_good(&self, now: u64) -> bool {
        self.expires_at.is_none_or(|end| now < end)
    }
}

/// Where a key is kept: a tenant's own go with the tenant.
pub fn path(role: &Role, id: &str) -> String {
    match role.tenant() {
        Some(tenant) => format!("tenants/{tenant}/keys/{id}"),
        None => format!("keys/{id}"),
    }
}

/// Where it stands that an id is taken, and by whom: keys are found by their ids alone.
pub fn index(id: &str) -> String {
    format!("-key-index/{id}")
}

/// What all hashes of a store are made with.
#[derive(Clone)]
pub struct Pepper([u8; 32]);

fn random<const N: usize>() -> Result<[u8; N], String> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|error| format!("no random numbers: {error}"))?;
    Ok(bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Pepper {
    pub fn new(bytes: [u8; 32]) -> Pepper {
        Pepper(bytes)
    }

    pub fn random() -> Result<Pepper, String> {
        random().map(Pepper)
    }

    pub fn to_hex(&self) -> String {
        hex(&self.0)
    }

    pub fn from_hex(text: &str) -> Result<Pepper, String> {
        let text = text.trim();
        let digits = text.len() == 64 && text.is_ascii();
        let byte = |place: usize| u8::from_str_radix(text.get(place * 2..place * 2 + 2)?, 16).ok();
        let bytes: Option<Vec<u8>> = digits.then(|| (0..32).map(byte).collect()).flatten();
        let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
        bytes.map(Pepper).ok_or_else(|| "the pepper must be 64 hex digits".to_string())
    }

    fn mac(&self, id: &str, secret: &str) -> Hmac<Sha256> {
        // HMAC fills a short key up with zeros (RFC 2104).
        let mut block = [0; 64];
        block[..32].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as KeyInit>::new(&block.into());
        mac.update(id.as_bytes());
        mac.update(b"_");
        mac.update(secret.as_bytes());
        mac
    }

    /// A new key, and what is kept of it.
    pub fn make(
        &self,
        role: Role,
        label: String,
        now: u64,
        expires_at: Option<u64>,
    ) -> Result<(StoredKey, String), String> {
        let (id, secret) = (hex(&random::<8>()?), hex(&random::<32>()?));
        let hash = hex(&self.mac(&id, &secret).finalize().into_bytes());
        let key = format!("vy_{id}_{secret}");
        Ok((StoredKey { id, role, label, made_at: now, expires_at, hash }, key))
    }

    /// Whether a secret is a key's, in a time that tells nothing of it.
    pub fn fits(&self, key: &StoredKey, secret: &str) -> bool {
        let byte = |place: usize| u8::from_str_radix(key.hash.get(place * 2..place * 2 + 2)?, 16).ok();
        let hash: Option<Vec<u8>> = (0..32).map(byte).collect();
        hash.is_some_and(|hash| self.mac(&key.id, secret).verify_slice(&hash).is_ok())
    }
}

/// Id and secret of a key as it is sent.
pub fn split(key: &str) -> Option<(&str, &str)> {
    let (id, secret) = key.strip_prefix("vy_")?.split_once('_')?;
    let hexadecimal = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
    (id.len() == 16 && secret.len() == 64 && hexadecimal(id) && hexadecimal(secret)).then_some((id, secret))
}
