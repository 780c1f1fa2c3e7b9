//! Summaries that the experiments share.

use hdrhistogram::Histogram;

/// A histogram of microseconds (or milliseconds) up to ten minutes, three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, 600_000_000, 3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("constant bounds are valid: {error:?}"),
    }
}
