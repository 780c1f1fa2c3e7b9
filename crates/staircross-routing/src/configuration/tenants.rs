//! Tenants: whose requests a node takes, and how they prove who they are.
//!
//! A key is a secret. Only its digest is kept, sent to peers, recorded and compared; no output shows either.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use staircross_types::Quota;
use std::fmt;
use std::sync::Arc;

/// Longest key that is looked at, in bytes.
const LONGEST_KEY: usize = 256;
/// Separates these digests from any other use of the same keys. It is no secret: keys are random and long, so that a digest can't be
/// turned back by trying.
const DIGEST_PURPOSE: &[u8] = b"staircross caller key 1";
/// Bytes of the digest that are kept; by far enough that no two keys of a fleet share them.
const DIGEST_BYTES: usize = 16;

/// Digest of a caller's key. Two digests are looked up by hash, so how long that takes reveals nothing of the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key's text; `None` where it is empty or longer than any key.
    pub fn of(key: &[u8]) -> Option<Self> {
        if key.is_empty() || key.len() > LONGEST_KEY {
            return None;
        }
        // HMAC takes a key of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(DIGEST_PURPOSE).ok()?;
        mac.update(key);
        let whole = mac.finalize().into_bytes();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        Some(KeyDigest(digest))
    }
}

/// Nothing of the digest, which stands for a secret.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request brings to prove whose it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// A key.
    Key(KeyDigest),
    /// Something that is no key: empty, too long, or more than one.
    Malformed,
}

/// Why a credential lets nobody in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// There is none.
    Missing,
    /// No tenant holds the key.
    Unknown,
    /// It is no key.
    Malformed,
    /// The key was held when the request came, and is no more.
    Revoked,
}

impl KeyRefusal {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "missing",
            KeyRefusal::Unknown => "unknown",
            KeyRefusal::Malformed => "malformed",
            KeyRefusal::Revoked => "withdrawn",
        }
    }

    /// What the caller reads.
    pub fn detail(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "the request carries no key",
            KeyRefusal::Unknown => "no tenant holds the key",
            KeyRefusal::Malformed => "the request carries more than one key, or one that is none",
            KeyRefusal::Revoked => "the key was withdrawn before the request ran",
        }
    }
}

/// Whom a request is for, as it is sent to a searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentIdentity {
    /// There are no tenants: what the caller says of itself goes on as it is.
    Unmanaged,
    /// Nobody: the route is public, and the request brings no key.
    Anonymous,
    /// A tenant.
    Tenant(Arc<str>),
}

/// One tenant in one version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDefinition {
    /// Name; searchers and logs get it.
    pub name: Arc<str>,
    /// Digests of the keys that it holds.
    pub keys: Vec<KeyDigest>,
    /// Rank; 0 is the highest. A route's rank counts within its tenant's.
    #[serde(default)]
    pub priority: u32,
    /// What it may send; `None` where there is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions whose searchers may serve its requests, besides what routes allow; empty where any may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<Arc<str>>,
}
