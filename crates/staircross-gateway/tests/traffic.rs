//! Tests the counts of bytes by purpose and distance.

use staircross_gateway::traffic::{Purpose, Reach, Traffic};
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::SendReason;

#[test]
fn bytes_are_told_apart_by_purpose_and_reach_and_add_up() {
    let far_reach = Reach::Known(Distance::OtherRegion);
    let mut attempts = Traffic::default();
    attempts.count(Purpose::of_attempt(SendReason::First), far_reach, 100);
    attempts.count(Purpose::of_attempt(SendReason::Hedge), Reach::Known(Distance::OwnZone), 7);
    let mut total = Traffic::default();
    total.count(Purpose::Membership, Reach::Unknown, 5);
    total.count(Purpose::FirstAttempts, far_reach, 1);
    total += attempts;
    let counted: Vec<(&str, &str, u64)> =
        total.nonzero_counts().map(|(purpose, reach, bytes)| (purpose.name(), reach.name(), bytes)).collect();
    let expected = [("firsts", "other_region", 101), ("hedges", "own_zone", 7), ("membership", "unknown", 5)];
    assert_eq!(counted, expected);
}

#[test]
fn every_purpose_and_reach_has_a_place_of_its_own() {
    let mut total = Traffic::default();
    for (number, (purpose, reach)) in
        Purpose::ALL.into_iter().flat_map(|purpose| Reach::ALL.map(|reach| (purpose, reach))).enumerate()
    {
        total.count(purpose, reach, number + 1);
    }
    let bytes: Vec<u64> = total.nonzero_counts().map(|(_, _, bytes)| bytes).collect();
    assert_eq!(bytes, (1..=28).collect::<Vec<u64>>());
}
