//! Searchers whose entries lapsed: how soon a store reader watches for them again, and when live searchers may be
//! missing.

mod common;

use common::mirror::{at, changes, searcher, searcher_gone};
use common::store::ReaderDriver;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_routing::store_reader::{Lane, ReaderSettings, StoreReader, StoreReply};
use staircross_routing::{MirrorUpdate, StoreEpoch};
use staircross_types::BootTime;
use std::time::Duration;

#[test]
fn after_ends_of_entries_a_lane_looks_again_sooner() {
    let mut driver = ReaderDriver::new();
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
    driver.calls_within(0, Lane::Searchers);
    driver.reply(Lane::Searchers, StoreReply::Changes { update: changes(vec![(11, searcher_gone("s"))]), at: at(11) });
    assert_eq!(driver.calls_within(100, Lane::Searchers), []);
    assert_eq!(driver.calls_within(100, Lane::Searchers).len(), 1, "entries that only lapsed are soon written anew");
}

#[test]
fn while_entries_that_lapsed_together_come_back_a_lane_looks_again_soon_after_each() {
    let pauses_after = |count: usize| {
        let mut driver = ReaderDriver::new();
        driver.calls_within(0, Lane::Searchers);
        driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
        driver.calls_within(0, Lane::Searchers);
        let removals = (0..count).map(|number| (11 + number as u64, searcher_gone(&format!("s{number}")))).collect();
        driver.reply(Lane::Searchers, StoreReply::Changes { update: changes(removals), at: at(50) });
        let mut pauses = Vec::new();
        for revision in 51..60 {
            let pause =
                (1..20_u64).find(|_| !driver.calls_within(50, Lane::Searchers).is_empty()).map(|steps| steps * 50);
            pauses.extend(pause);
            let back = changes(vec![(revision, searcher("s0", false))]);
            driver.reply(Lane::Searchers, StoreReply::Changes { update: back, at: at(revision) });
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
        driver.reply(Lane::Searchers, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
        driver.calls_within(0, Lane::Searchers);
        let updates = changes(vec![(11, searcher("s", false))]);
        driver.reply(Lane::Searchers, StoreReply::Changes { update: updates, at: at(11) });
        (1..20_u64).find(|_| !driver.calls_within(50, Lane::Searchers).is_empty()).map(|steps| steps * 50)
    };
    let usual = StoreReader::new(ReaderSettings::default());
    assert_eq!(pause_of(usual), Some(900));
    let restarted = StoreReader::new(ReaderSettings::default()).with_starting_until(BootTime::from_millis(4000));
    assert_eq!(pause_of(restarted), Some(150));
}

/// Guards against a fallback for searchers that leave, and against the loss of searchers whose entries have only lapsed.
#[test]
fn a_removed_entry_may_have_lapsed_after_an_outage_of_the_store_or_together_with_others() {
    let reader_after = |events: &dyn Fn(&mut ReaderDriver)| {
        let mut driver = ReaderDriver::new();
        driver.calls_within(0, Lane::Probe);
        driver.reply(Lane::Probe, StoreReply::Alive { revision: at(10) });
        for lane in [Lane::Configuration, Lane::Searchers] {
            driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(10), next: None });
        }
        driver.calls_within(0, Lane::Searchers);
        events(&mut driver);
        driver
    };
    let may_have_lapsed = |driver: &mut ReaderDriver, removals| driver.reader.note_removals(driver.now, removals);

    let mut undisturbed = reader_after(&|_| {});
    assert!(!may_have_lapsed(&mut undisturbed, 1));
    assert!(may_have_lapsed(&mut undisturbed, 8), "so many don't leave at once");

    let mut unanswered = reader_after(&|driver| driver.fail(Lane::Probe));
    assert!(may_have_lapsed(&mut unanswered, 1), "the store is unavailable");
    unanswered.calls_within(400, Lane::Probe);
    unanswered.reply(Lane::Probe, StoreReply::Alive { revision: at(10) });
    assert!(may_have_lapsed(&mut unanswered, 1), "the store has just come back");
    unanswered.calls_within(2500, Lane::Searchers);
    assert!(!may_have_lapsed(&mut unanswered, 1));

    let mut failed = reader_after(&|driver| driver.fail(Lane::Searchers));
    assert!(may_have_lapsed(&mut failed, 1), "the last call has failed");
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
        let reply = StoreReply::Changes { update: changes(items), at: at(50) };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        reader.on_reply(until, Lane::Searchers, StoreEpoch::UNTOLD, reply, &mut rng, &mut Vec::new());
    };
    remove_entries(&mut restarted, 2);
    assert!(!restarted.may_lack_searchers(until), "a few removed entries don't count as lapsed");
    remove_entries(&mut restarted, 20);
    assert!(restarted.may_lack_searchers(until));
}
