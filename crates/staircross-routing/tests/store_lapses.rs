//! Searchers whose entries lapsed: how soon a store reader watches for them again, and when live searchers may be
//! missing.

mod common;

use common::mirror::{changes, searcher, searcher_gone};
use common::store::ReaderDriver;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, ReaderSettings, StoreReader, StoreReply};
use staircross_types::BootTime;
use std::time::Duration;

#[test]
fn after_ends_of_entries_a_lane_looks_again_sooner() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 10, next: None });
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Changes { update: changes(vec![(11, searcher_gone("s"))]), at: 11 });
    assert_eq!(driver.calls_within(100, Lane::Searchers), []);
    assert_eq!(driver.calls_within(100, Lane::Searchers).len(), 1, "entries that only lapsed are soon written anew");
}

#[test]
fn while_entries_that_lapsed_together_come_back_a_lane_looks_again_soon_after_each() {
    let pauses_after = |count: usize| {
        let mut driver = ReaderDriver::new();
        driver.calls_within(0, Lane::Searchers);
        driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 10, next: None });
        driver.calls_within(0, Lane::Searchers);
        let removals = (0..count).map(|number| (11 + number as u64, searcher_gone(&format!("s{number}")))).collect();
        driver.reply(Lane::Searchers, StoreReply::Changes { update: changes(removals), at: 50 });
        let mut pauses = Vec::new();
        for revision in 51..60 {
            let pause =
                (1..20_u64).find(|_| !driver.calls_within(50, Lane::Searchers).is_empty()).map(|steps| steps * 50);
            pauses.extend(pause);
            let back = changes(vec![(revision, searcher("s0", false))]);
            driver.reply(Lane::Searchers, StoreReply::Changes { update: back, at: revision });
        }
        pauses
    };
    assert_eq!(pauses_after(1)[..3], [150, 900, 900], "one removed entry counts as a searcher that has left");
    assert_eq!(pauses_after(12), [150; 9], "many removed entries count as lapsed");
}

#[test]
fn a_process_started_anew_looks_again_soon_for_searchers_that_are_just_coming_back() {
    let pause_of = |reader: StoreReader| {
        let mut driver = ReaderDriver { reader, ..ReaderDriver::new() };
        driver.calls_within(0, Lane::Searchers);
        driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: 10, next: None });
        driver.calls_within(0, Lane::Searchers);
        let updates = changes(vec![(11, searcher("s", false))]);
        driver.reply(Lane::Searchers, StoreReply::Changes { update: updates, at: 11 });
        (1..20_u64).find(|_| !driver.calls_within(50, Lane::Searchers).is_empty()).map(|steps| steps * 50)
    };
    let usual = StoreReader::new(ReaderSettings::default());
    assert_eq!(pause_of(usual), Some(900));
    let restarted = StoreReader::new(ReaderSettings::default()).with_starting_until(BootTime::from_millis(4000));
    assert_eq!(pause_of(restarted), Some(150));
}

#[test]
fn searchers_may_be_lacking_while_a_process_is_young_and_after_many_have_lapsed() {
    let now = BootTime::from_millis(1_000_000);
    let until = now + Duration::from_secs(3);
    let mut restarted = StoreReader::new(ReaderSettings::default()).with_starting_until(until);
    assert!(restarted.may_lack_searchers(now));
    assert!(!restarted.may_lack_searchers(until));
    let remove_entries = |reader: &mut StoreReader, removals: usize| {
        let items = (0..removals).map(|number| (30 + number as u64, searcher_gone(&format!("s{number}")))).collect();
        let reply = StoreReply::Changes { update: changes(items), at: 50 };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        reader.on_reply(until, Lane::Searchers, reply, &mut rng, &mut Vec::new());
    };
    remove_entries(&mut restarted, 2);
    assert!(!restarted.may_lack_searchers(until), "a few removed entries don't count as lapsed");
    remove_entries(&mut restarted, 20);
    assert!(restarted.may_lack_searchers(until));
}
