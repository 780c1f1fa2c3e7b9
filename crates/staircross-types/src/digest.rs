//! Content digests, by which a receiver detects a damaged body or the body of another reply.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the 64-bit XXH3 digest of `body` as 16 hexadecimal digits.
///
/// The digest detects accidental faults such as truncation and mixed-up replies. It isn't cryptographic and doesn't
/// protect against an attacker.
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// Returns the digest of the body that consists of `parts`, as [`body_digest`] does of a whole one.
pub fn digest_of_parts<'a>(parts: impl Iterator<Item = &'a [u8]>) -> String {
    let mut digest = Xxh3::new();
    parts.for_each(|part| digest.update(part));
    format!("{:016x}", digest.digest())
}
