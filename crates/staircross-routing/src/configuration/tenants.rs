//! Tenants, whose requests a node accepts, and the API keys with which their callers authenticate.
//!
//! A key is a secret. Only its digest is stored, sent to peers, recorded and compared. Neither the key nor the digest
//! is ever logged or printed.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use staircross_types::Quota;
use std::fmt;
use std::sync::Arc;

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Context string that makes these digests differ from digests of the same keys for other purposes. It needn't be
/// secret, because keys are random and so long that no key can be found from its digest by trying.
const DIGEST_CONTEXT: &[u8] = b"staircross caller key 1";
/// Number of bytes of the digest that are kept; far more than needed for the digests of a fleet's keys to differ.
const DIGEST_BYTES: usize = 16;

/// Digest of a caller's key. Digests are looked up by hash, so the time of a look-up reveals nothing about the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key; `None` if the key is empty or longer than any valid key.
    pub fn of(key: &[u8]) -> Option<Self> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        // HMAC accepts a key of any length, so this never fails.
        let mut mac = Hmac::<Sha256>::new_from_slice(DIGEST_CONTEXT).ok()?;
        mac.update(key);
        let whole = mac.finalize().into_bytes();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Some(KeyDigest(digest))
    }
}

/// Prints nothing of the digest, because it stands for a secret.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The credential with which a request authenticates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// The request carries no key.
    #[default]
    Missing,
    /// The request carries a key with this digest.
    Key(KeyDigest),
    /// The request carries an invalid key, which is empty or too long, or more than one key.
    Malformed,
}

/// Why a credential is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The request carries no key.
    Missing,
    /// No tenant holds the key.
    Unknown,
    /// The request carries an invalid key or more than one.
    Malformed,
    /// A tenant held the key when the request arrived, but none does any more.
    Revoked,
}

impl KeyRefusal {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "missing",
            KeyRefusal::Unknown => "unknown",
            KeyRefusal::Malformed => "malformed",
            KeyRefusal::Revoked => "withdrawn",
        }
    }

    /// Returns the explanation that the caller gets.
    pub fn detail(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "the request carries no key",
            KeyRefusal::Unknown => "no tenant holds the key",
            KeyRefusal::Malformed => "the request carries more than one key, or one that is none",
            KeyRefusal::Revoked => "the key was withdrawn before the request ran",
        }
    }
}

/// The tenant of a request, as it is sent to a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentIdentity {
    /// The configuration has no tenants; the identity that the caller claims is passed on unchanged.
    Unmanaged,
    /// The request has no tenant, because the route is public and the request carries no key.
    Anonymous,
    /// The request belongs to the tenant of this name.
    Tenant(Arc<str>),
}

/// One tenant in one version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDefinition {
    /// Name of the tenant, which is sent to searchers and written to logs.
    pub name: Arc<str>,
    /// Digests of the tenant's keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of the tenant; 0 is the highest. Route priorities order the requests of tenants with the same priority.
    #[serde(default)]
    pub priority: u32,
    /// Quota of the tenant; `None` if there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions whose searchers may serve the tenant's requests, if the route allows them too; empty if all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Arc<str>>,
}
