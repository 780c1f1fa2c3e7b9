//! Content digests, by which a receiver detects a damaged body or the body of another reply.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the 64-bit XXH3 digest of `body` as 16 hexadecimal digits.
///
/// The digest detects accidental faults such as truncation and mixed-up replies. It isn't cryptographic and doesn't
/// protect against an attacker.
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
