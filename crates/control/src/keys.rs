//! Keys of the administration API: who may do what.
//!
//! A key is `vy_ID_SECRET`: an id to find it by, and 256 random bits that are shown once. The store has the secret's
//! HMAC-SHA-256 under the store's own pepper. A slow hash (argon2) protects secrets that people choose; nobody guesses
//! 256 random bits, and it would cost each call tens of milliseconds. The pepper is in a file beside the store, so that
//! a key cannot be made by writing to the store alone.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::str::FromStr;
use utoipa::ToSchema;

/// Characters of an id and of a secret, hexadecimal.
const ID_LENGTH: usize = 16;
const SECRET_LENGTH: usize = 64;

/// What a key may do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, ToSchema)]
#[serde(rename = "Role", rename_all = "snake_case", tag = "role", deny_unknown_fields)]
#[schema(as = Role)]
pub enum KeyRole {
    /// Everything.
    Operator,
    /// Snapshots, and telling what an ingress holds.
    Ingress,
    /// Everything that is one tenant's, but the tenant itself.
    #[expect(missing_docs, reason = "comments of fields would change docs/api.json")]
    TenantAdmin { tenant: String },
    /// Reads of that.
    #[expect(missing_docs, reason = "comments of fields would change docs/api.json")]
    TenantReader { tenant: String },
}

impl KeyRole {
    /// The tenant whose key it is; none for keys of operators and ingresses.
    pub(crate) fn tenant(&self) -> Option<&str> {
        match self {
            KeyRole::TenantAdmin { tenant } | KeyRole::TenantReader { tenant } => Some(tenant),
            KeyRole::Operator | KeyRole::Ingress => None,
        }
    }
}

/// A key as it is stored. Times are Unix times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredKey {
    /// 16 hexadecimal digits.
    pub id: String,
    /// What it may do.
    #[serde(flatten)]
    pub role: KeyRole,
    /// A name that its owner gave it.
    pub label: String,
    /// When it was made.
    pub made_at: u64,
    /// When it expires; none: never.
    pub expires_at: Option<u64>,
    /// HMAC of the secret, 64 hexadecimal digits.
    pub hash: String,
}

/// A key as it is shown. The secret is there once, in the answer that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, ToSchema)]
pub(crate) struct ShownKey {
    pub(crate) id: String,
    #[serde(flatten)]
    pub(crate) role: KeyRole,
    pub(crate) label: String,
    /// Unix times in milliseconds.
    pub(crate) made_at: u64,
    pub(crate) expires_at: Option<u64>,
    /// The whole key, to be sent as `Authorization: Bearer KEY`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) key: Option<String>,
}

impl StoredKey {
    /// The key without its hash, and with `key` in full where it was just made.
    pub(crate) fn to_shown(&self, key: Option<String>) -> ShownKey {
        let StoredKey { id, role, label, made_at, expires_at, .. } = self.clone();
        ShownKey { id, role, label, made_at, expires_at, key }
    }

    pub(crate) fn is_valid_at(&self, now: u64) -> bool {
        self.expires_at.is_none_or(|end| now < end)
    }
}

/// A key that was just made.
pub(crate) struct NewStoredKey {
    /// What is stored.
    pub(crate) stored: StoredKey,
    /// The whole key, which is shown once.
    pub(crate) key: String,
}

/// A key as a caller sends it.
pub(crate) struct SentKey<'a> {
    pub(crate) id: &'a str,
    pub(crate) secret: &'a str,
}

impl<'a> SentKey<'a> {
    /// None if it does not have the form of a key.
    pub(crate) fn parse(key: &'a str) -> Option<SentKey<'a>> {
        let (id, secret) = key.strip_prefix("vy_")?.split_once('_')?;
        let is_hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let has_form = id.len() == ID_LENGTH && secret.len() == SECRET_LENGTH && is_hex(id) && is_hex(secret);
        has_form.then_some(SentKey { id, secret })
    }
}

/// The path of a key. A tenant's own keys are deleted with the tenant.
pub fn path(role: &KeyRole, id: &str) -> String {
    match role.tenant() {
        Some(tenant) => format!("tenants/{tenant}/keys/{id}"),
        None => format!("keys/{id}"),
    }
}

/// The path of the index entry that has the path of a key by its id alone.
pub fn index_path(id: &str) -> String {
    format!("-key-index/{id}")
}

/// The secret that all hashes of a store are made with.
#[derive(Clone)]
pub struct Pepper([u8; 32]);

/// The system has no random numbers.
#[derive(Debug, thiserror::Error)]
#[error("no random numbers: {0}")]
pub struct RandomError(#[from] getrandom::Error);

/// The text is not a pepper.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pepper must be 64 hex digits")]
pub struct ParsePepperError;

fn random<const N: usize>() -> Result<[u8; N], RandomError> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes)?;
    Ok(bytes)
}

/// Lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of 64 hexadecimal digits.
fn from_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (place, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}

impl FromStr for Pepper {
    type Err = ParsePepperError;

    fn from_str(text: &str) -> Result<Pepper, ParsePepperError> {
        from_hex(text.trim()).map(Pepper).ok_or(ParsePepperError)
    }
}

impl Pepper {
    /// A pepper of these bytes.
    pub fn new(bytes: [u8; 32]) -> Pepper {
        Pepper(bytes)
    }

    /// A new pepper.
    ///
    /// # Errors
    /// [`RandomError`] if the system has no random numbers.
    pub fn random() -> Result<Pepper, RandomError> {
        random().map(Pepper)
    }

    /// 64 hexadecimal digits, for the file beside the store.
    pub fn to_hex(&self) -> String {
        to_hex(&self.0)
    }

    fn mac(&self, id: &str, secret: &str) -> Hmac<Sha256> {
        // HMAC pads a short key with zeros (RFC 2104).
        let mut block = [0; 64];
        block[..32].copy_from_slice(&self.0);
        let mut mac = <Hmac<Sha256> as KeyInit>::new(&block.into());
        mac.update(id.as_bytes());
        mac.update(b"_");
        mac.update(secret.as_bytes());
        mac
    }

    /// Makes a key. Times are Unix times in milliseconds.
    pub(crate) fn make_key(
        &self,
        role: KeyRole,
        label: String,
        now: u64,
        expires_at: Option<u64>,
    ) -> Result<NewStoredKey, RandomError> {
        let (id, secret) = (to_hex(&random::<8>()?), to_hex(&random::<32>()?));
        let hash = to_hex(&self.mac(&id, &secret).finalize().into_bytes());
        let key = format!("vy_{id}_{secret}");
        Ok(NewStoredKey { stored: StoredKey { id, role, label, made_at: now, expires_at, hash }, key })
    }

    /// Whether a secret is a key's, in a time that does not depend on the secret.
    pub(crate) fn verifies(&self, key: &StoredKey, secret: &str) -> bool {
        from_hex(&key.hash).is_some_and(|hash| self.mac(&key.id, secret).verify_slice(&hash).is_ok())
    }
}
