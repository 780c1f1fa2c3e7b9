//! Table tests of the rule for first probes without an engine: which requests are sent to one shard first.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use staircross_routing::decision::first_probe::{choose_first_shard, is_needed};
use staircross_routing::decision::quarantine::{LostAttempt, Quarantine};
use staircross_routing::{ContentKey, InstanceKey, RouteDigest, RoutingPolicy};
use staircross_types::BootTime;
use std::time::Duration;

const CRASHING: ContentKey = ContentKey(1);
const ANSWERED: ContentKey = ContentKey(2);
const NEW: ContentKey = ContentKey(3);

fn at(seconds: u64) -> BootTime {
    BootTime::default() + Duration::from_secs(seconds)
}

/// Returns a quarantine in which the route `all` is on alarm: the content `CRASHING` crashed three searchers, one after
/// the other, the last one in second 30. The content `ANSWERED` was answered in that second.
fn alarmed_quarantine() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let (searcher, route) = (InstanceKey(number), RouteDigest::of("all"));
        let lost = LostAttempt { content: CRASHING, route, searcher, sent_at: at(number * 10 - 5) };
        quarantine.note_lost(at(number * 10), lost);
    }
    quarantine.note_answered(at(30), ANSWERED);
    quarantine
}

#[test]
fn on_alarm_what_nobody_has_answered_is_sent_to_one_shard_first() {
    let on = RoutingPolicy::default();
    let no_probes = RoutingPolicy { first_probes: false, ..on };
    let no_quarantine = RoutingPolicy { quarantine: false, ..on };
    let (calm, alarmed) = (Quarantine::default(), alarmed_quarantine());
    let rows = [
        ("on alarm, a new content", &alarmed, on, "all", NEW, 31, true),
        ("no alarm", &calm, on, "all", NEW, 31, false),
        ("another route", &alarmed, on, "other", NEW, 31, false),
        ("answered lately", &alarmed, on, "all", ANSWERED, 31, false),
        ("the alarm has ended", &alarmed, on, "all", NEW, 45, false),
        ("routing.first_probes = false", &alarmed, no_probes, "all", NEW, 31, false),
        ("routing.quarantine = false", &alarmed, no_quarantine, "all", NEW, 31, false),
    ];
    for (row, quarantine, policy, route, content, seconds, expected) in rows {
        assert_eq!(is_needed(at(seconds), &policy, quarantine, route, content), expected, "{row}");
    }
}

#[test]
fn any_shard_may_be_the_first() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0; 4];
    (0..1000).for_each(|_| counts[choose_first_shard(4, &mut random)] += 1);
    assert!(counts.iter().all(|count| (200..300).contains(count)), "{counts:?}");
}
