//! Table tests of the quarantine rule without an engine: the events of a content, and the suspicion that results.

use staircross_routing::decision::quarantine::{LostAttempt, Quarantine, Suspicion};
use staircross_routing::{ContentKey, InstanceKey, RouteDigest};
use staircross_types::BootTime;
use std::time::Duration;

const CONTENT: ContentKey = ContentKey(7);
const ROUTE: RouteDigest = RouteDigest(1);

/// An event of a content or a searcher. Times are in ms; `at` is the time of the event.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The searcher that was sent the content at `sent` is lost.
    Lost { searcher: u64, sent: u64, at: u64 },
    /// Any searcher answers the content.
    Answered { at: u64 },
    /// The searcher answers another content that it was sent at `sent`, on a connection established at 0.
    Alive { searcher: u64, sent: u64, at: u64 },
}

use Event::{Alive, Answered, Lost};

fn at(millis: u64) -> BootTime {
    BootTime::default() + Duration::from_millis(millis)
}

fn quarantine_after(events: &[Event]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for event in events {
        match *event {
            Lost { searcher, sent, at: lost } => {
                let (searcher, sent_at) = (InstanceKey(searcher), at(sent));
                quarantine.note_lost(at(lost), LostAttempt { content: CONTENT, route: ROUTE, searcher, sent_at });
            }
            Answered { at: answered } => {
                quarantine.note_answered(at(answered), CONTENT);
            }
            Alive { searcher, sent, at: answered } => {
                quarantine.note_alive(at(answered), InstanceKey(searcher), at(sent), Some(at(0)));
            }
        }
    }
    quarantine
}

fn lost(searcher: u64, sent: u64, at: u64) -> Event {
    Lost { searcher, sent, at }
}

/// Returns the losses of three searchers, each of which was sent the content after the previous one was lost.
fn three_losses_in_sequence() -> Vec<Event> {
    vec![lost(1, 2000, 2010), lost(2, 2020, 2030), lost(3, 2040, 2050)]
}

#[test]
fn losses_since_the_last_answer_make_a_content_suspect_and_a_sequence_of_three_quarantined() {
    let with = |more: &[Event]| [three_losses_in_sequence().as_slice(), more].concat();
    let rows = [
        ("nothing lost", vec![], Suspicion::None),
        ("one loss", vec![lost(1, 2000, 2010)], Suspicion::None),
        ("two losses", vec![lost(1, 2000, 2010), lost(2, 2000, 2010)], Suspicion::Suspect),
        ("one searcher twice", vec![lost(1, 2000, 2010), lost(1, 2020, 2030)], Suspicion::None),
        ("three at once", vec![lost(1, 2000, 2010), lost(2, 2000, 2011), lost(3, 2000, 2012)], Suspicion::Suspect),
        ("three in sequence", three_losses_in_sequence(), Suspicion::Quarantined),
        ("answered since", with(&[Answered { at: 2060 }]), Suspicion::None),
        ("one lost searcher is alive", with(&[Alive { searcher: 2, sent: 2040, at: 2070 }]), Suspicion::Suspect),
        (
            "answered, but sent before the loss",
            with(&[Alive { searcher: 2, sent: 2025, at: 2070 }]),
            Suspicion::Quarantined,
        ),
    ];
    for (row, events, expected) in rows {
        assert_eq!(quarantine_after(&events).suspicion(at(2100), CONTENT), expected, "{row}");
    }
}

#[test]
fn a_quarantined_content_is_tried_again_after_an_hour_and_a_route_is_on_alarm_for_15_s() {
    let quarantine = quarantine_after(&three_losses_in_sequence());
    // Inputs: seconds since the newest loss. Expected: suspicion, and whether the route is on alarm.
    let rows = [
        (0, Suspicion::Quarantined, true),
        (14, Suspicion::Quarantined, true),
        (15, Suspicion::Quarantined, false),
        (3599, Suspicion::Quarantined, false),
        (3600, Suspicion::Suspect, false),
    ];
    for (seconds, suspicion, is_alarmed) in rows {
        let now = at(2050 + seconds * 1000);
        assert_eq!(quarantine.suspicion(now, CONTENT), suspicion, "{seconds}");
        assert_eq!(quarantine.is_alarmed(now, ROUTE), is_alarmed, "{seconds}");
    }
}

#[test]
fn a_datagram_holds_five_contents_newly_suspect_ones_first_and_the_others_in_turn() {
    let mut quarantine = Quarantine::default();
    for content in 0..8 {
        for searcher in 0..2 {
            let lost = LostAttempt {
                content: ContentKey(content),
                route: ROUTE,
                searcher: InstanceKey(searcher),
                sent_at: at(0),
            };
            quarantine.note_lost(at(10), lost);
        }
    }
    // Expected: contents of each datagram. Up to three newly suspect ones come first, the newest of them at the front.
    // Up to two others follow in turn, unless the datagram already has them.
    for expected in [vec![7, 6, 5, 0, 1], vec![4, 3, 2], vec![1, 0, 4, 5], vec![6, 7]] {
        let sent: Vec<u64> = quarantine.next_records(at(1000)).iter().map(|record| record.content.0).collect();
        assert_eq!(sent, expected);
    }
}
