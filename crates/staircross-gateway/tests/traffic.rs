//! Bytes by purpose and distance.

use staircross_gateway::traffic::{Purpose, Reach, Traffic};
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::SendReason;

#[test]
fn bytes_are_told_apart_by_purpose_and_reach_and_add_up() {
    let far = Reach::Known(Distance::Far);
    let mut pool = Traffic::default();
    pool.count(Purpose::of_attempt(SendReason::First), far, 100);
    pool.count(Purpose::of_attempt(SendReason::Hedge), Reach::Known(Distance::OwnZone), 7);
    let mut all = Traffic::default();
    all.count(Purpose::Membership, Reach::Unknown, 5);
    all.count(Purpose::FirstAttempts, far, 1);
    all += pool;
    let counted: Vec<(&str, &str, u64)> =
        all.nonzero_counts().map(|(purpose, reach, bytes)| (purpose.name(), reach.name(), bytes)).collect();
    let expected = [("firsts", "other_region", 101), ("hedges", "own_zone", 7), ("membership", "unknown", 5)];
    assert_eq!(counted, expected);
}

#[test]
fn every_purpose_and_reach_has_a_place_of_its_own() {
    let mut all = Traffic::default();
    for (number, (purpose, reach)) in
        Purpose::ALL.into_iter().flat_map(|purpose| Reach::ALL.map(|reach| (purpose, reach))).enumerate()
    {
        all.count(purpose, reach, number + 1);
    }
    let bytes: Vec<u64> = all.nonzero_counts().map(|(_, _, bytes)| bytes).collect();
    assert_eq!(bytes, (1..=28).collect::<Vec<u64>>());
}
