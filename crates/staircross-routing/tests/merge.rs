//! A property of merging: what is dropped of each part doesn't change the merged answer.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use staircross_http::HeaderBlock;
use staircross_routing::merge::{RECORD_LENGTH, greatest_records, reduce_part};
use staircross_routing::{SearcherAnswer, SearcherReport};

fn part(body: Vec<u8>) -> SearcherAnswer {
    let report = SearcherReport::default();
    SearcherAnswer { status: 200, stamp: None, headers: HeaderBlock::default(), body, report }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Records of few values, so that many are equal, and bodies that end with a piece of a record.
    #[test]
    fn reduced_parts_merge_to_the_same_records(
        parts in vec((vec(0_u8..5, 0..10), 0..RECORD_LENGTH), 0..6),
        top_k in 0_usize..8,
    ) {
        let body = |(records, rest): (Vec<u8>, usize)| {
            let records = records.into_iter().flat_map(|value| [value; RECORD_LENGTH]);
            records.chain(std::iter::repeat_n(9, rest)).collect()
        };
        let bodies: Vec<Vec<u8>> = parts.into_iter().map(body).collect();
        let whole = greatest_records(bodies.iter().map(Vec::as_slice), top_k);
        let mut parts: Vec<SearcherAnswer> = bodies.into_iter().map(part).collect();
        parts.iter_mut().for_each(|part| reduce_part(part, top_k));
        prop_assert_eq!(greatest_records(parts.iter().map(|part| part.body.as_slice()), top_k), whole);
    }
}
