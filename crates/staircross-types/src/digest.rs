//! Content digests that let a reader notice a damaged or foreign body.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the 64-bit XXH3 digest of `body` as 16 hexadecimal digits.
///
/// The digest detects accidents (truncation, crossed replies), not an attacker.
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
