//! The merging of the parts of several shards into the greatest records.

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
