//! The merging of the parts of several shards into the greatest records.

use crate::state::request::SearcherAnswer;
use staircross_http::HeaderBlock;

/// Length of a record, in bytes.
pub const RECORD_LENGTH: usize = 16;

/// Returns the greatest `top_k` records of all parts in descending order, compared byte by byte. Duplicate records are
/// all kept. Bytes at the end of a part that don't fill a record are ignored.
pub fn greatest_records<'a>(parts: impl Iterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD_LENGTH)).collect();
    if records.len() > top_k && top_k > 0 {
        records.select_nth_unstable_by(top_k - 1, |left, right| right.cmp(left));
    }
    records.truncate(top_k);
    records.sort_unstable_by(|left, right| right.cmp(left));
    records.concat()
}

/// Drops everything of a part that the merged answer doesn't need: header fields, and records beyond the greatest
/// `top_k`. A request may wait long for its last shard, and the parts of many shards are large together.
pub fn reduce_part(part: &mut SearcherAnswer, top_k: usize) {
    part.headers = HeaderBlock::default();
    if part.body.len() > top_k.saturating_mul(RECORD_LENGTH) {
        part.body = greatest_records(std::iter::once(part.body.as_slice()), top_k);
    }
}
