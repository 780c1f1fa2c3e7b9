//! What counts of the answers given to peers.

use staircross_gateway::given::{GivenAnswers, GivenSum};
use staircross_types::BootTime;

#[test]
fn answers_count_for_a_second() {
    let mut given = GivenAnswers::default();
    given.note(BootTime::from_millis(1000), 1000);
    given.note(BootTime::from_millis(1500), 100_000);
    assert_eq!(given.recent(BootTime::from_millis(1999)), GivenSum { bytes: 101_000, large: 1 });
    assert_eq!(given.recent(BootTime::from_millis(2000)), GivenSum { bytes: 100_000, large: 1 });
    assert_eq!(given.recent(BootTime::from_millis(2500)), GivenSum::default());
}
