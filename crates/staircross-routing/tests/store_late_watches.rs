//! A store that answers probes at once and reports changes to watches late.

mod common;

use common::mirror::at;
use common::store::ReaderDriver;
use staircross_routing::MirrorUpdate;
use staircross_routing::store_reader::{Lane, StoreReply};
use staircross_types::BootTime;
use std::time::Duration;

/// Bound on configurations in the settings of the tests with real nodes.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(3000);
/// Time from the call of a watch to its reply.
const WATCH_DELAY: Duration = Duration::from_millis(2000);
/// Time between two turns of the reader.
const TURN: u64 = 50;

/// Guards against a configuration that is never in force, because the watch is made anew again and again shortly before
/// the store reports the change.
#[test]
fn a_change_that_is_reported_late_is_learned_in_time() {
    let mut driver = ReaderDriver::new();
    driver.reader.set_has_followers(driver.now, true);
    for lane in [Lane::Configuration, Lane::Searchers] {
        driver.calls_within(0, lane);
        driver.reply(lane, StoreReply::Items { update: MirrorUpdate::default(), at: at(4), next: None });
        driver.calls_within(0, lane);
    }
    // The change is written now, so that the open watch of the configuration has its reply after the delay.
    let changed = driver.now;
    let mut watched: BootTime = changed;
    while driver.now.since(changed) <= CONFIGURATION_BOUND {
        for _ in driver.calls_within(TURN, Lane::Probe) {
            driver.reply(Lane::Probe, StoreReply::Alive { revision: at(5) });
        }
        for _ in driver.calls_within(0, Lane::Configuration) {
            watched = driver.now;
        }
        if driver.now.since(watched) >= WATCH_DELAY {
            return driver
                .reply(Lane::Configuration, StoreReply::Changes { update: MirrorUpdate::default(), at: at(5) });
        }
    }
    panic!("the change isn't learned; watches made anew: {:?}", driver.cancelled);
}
