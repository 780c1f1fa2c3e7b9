//! Tests that answers to peers are counted for one second.

use staircross_gateway::peer_answers::{PeerAnswerTotals, RecentPeerAnswers};
use staircross_types::BootTime;

#[test]
fn answers_count_for_a_second() {
    let mut peer_answers = RecentPeerAnswers::default();
    peer_answers.record(BootTime::from_millis(1000), 1000);
    peer_answers.record(BootTime::from_millis(1500), 100_000);
    assert_eq!(peer_answers.recent(BootTime::from_millis(1999)), PeerAnswerTotals { bytes: 101_000, large: 1 });
    assert_eq!(peer_answers.recent(BootTime::from_millis(2000)), PeerAnswerTotals { bytes: 100_000, large: 1 });
    assert_eq!(peer_answers.recent(BootTime::from_millis(2500)), PeerAnswerTotals::default());
}
