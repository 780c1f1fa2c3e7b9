//! Tests of what is told about the version in force and the one that the store holds.

use staircross_gateway::store_version::{HoldingChange, StoreVersion, VersionHolding};
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{
    CallerLimits, KeyKind, MirrorItem, MirrorUpdate, RoutingDefinition, StoreEpoch, StoreRevision, UnreadableItem,
    UnreadableReason,
};
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

fn at(seconds: u64) -> BootTime {
    BootTime::default() + Duration::from_secs(seconds)
}

fn revision(count: u64) -> StoreRevision {
    StoreRevision::new(StoreEpoch::UNTOLD, count)
}

fn update(count: u64, version: Option<u64>) -> MirrorUpdate {
    let item = |version| {
        let (routes, services, tenants) = (Vec::new(), Vec::new(), Vec::new());
        let definition = RoutingDefinition { version, routes, services, limits: CallerLimits::default(), tenants };
        (revision(count), MirrorItem::Configuration { definition: Arc::new(definition) })
    };
    MirrorUpdate { items: version.map(item).into_iter().collect(), ..MirrorUpdate::default() }
}

fn record_listing(store: &mut StoreVersion, called_at: u64, count: u64, version: u64) {
    let call = StoreCall::List { lane: Lane::Configuration, after: None };
    let reply = StoreReply::Items { update: update(count, Some(version)), at: revision(count), next: None };
    store.record_reply(&call, at(called_at), &reply);
}

fn watch_after(count: u64) -> StoreCall {
    StoreCall::Watch { lane: Lane::Configuration, after: revision(count), wait: Duration::from_secs(3) }
}

fn record_watch(store: &mut StoreVersion, called_at: u64, after: u64, count: u64, version: Option<u64>) {
    let reply = StoreReply::Changes { update: update(count, version), at: revision(count) };
    store.record_reply(&watch_after(after), at(called_at), &reply);
}

/// A store that has shown version 2 by a listing, and version 5 of a peer that came into force at 10 s.
fn behind_a_peer() -> StoreVersion {
    let mut store = StoreVersion::default();
    record_listing(&mut store, 0, 7, 2);
    assert_eq!(store.record_in_force(at(1), 2, true), None);
    assert_eq!(store.compare(2), None);
    assert_eq!(store.record_in_force(at(10), 5, true), None);
    store
}

fn change(holding: VersionHolding, in_force: u64, shown: u64) -> Option<HoldingChange> {
    Some(HoldingChange { holding, in_force, shown })
}

/// Guards against a version of another store that is in force and of which no log line tells.
#[test]
fn a_watch_that_reports_nothing_shows_that_the_version_in_force_is_not_held() {
    let mut store = behind_a_peer();
    record_watch(&mut store, 9, 7, 9, None);
    assert_eq!(store.compare(5), None, "the call is older than the version");
    assert!(!store.is_not_held());
    record_watch(&mut store, 12, 9, 9, None);
    assert_eq!(store.compare(5), change(VersionHolding::NotHeld, 5, 2));
    record_watch(&mut store, 15, 9, 11, None);
    assert_eq!(store.compare(5), None, "told once");
    assert!(store.is_not_held());
    record_watch(&mut store, 16, 11, 12, Some(3));
    assert_eq!(store.compare(5), change(VersionHolding::NotHeld, 5, 3));
    record_watch(&mut store, 16, 12, 13, Some(6));
    assert_eq!(store.record_in_force(at(17), 6, true), None);
    assert_eq!(store.compare(6), change(VersionHolding::Held, 6, 6));
    assert!(!store.is_not_held());
}

/// Guards against a false alarm at a node that follows its peers for a time: its watch begins at their revision, before
/// which the store has changed unseen.
#[test]
fn a_watch_that_begins_at_the_revision_of_a_peer_shows_nothing() {
    let mut store = behind_a_peer();
    record_watch(&mut store, 12, 30, 31, None);
    assert_eq!(store.compare(5), None);
    assert!(!store.is_not_held());
}

#[test]
fn a_listing_shows_that_the_version_in_force_is_not_held() {
    let mut store = behind_a_peer();
    record_listing(&mut store, 12, 9, 2);
    assert_eq!(store.compare(5), change(VersionHolding::NotHeld, 5, 2));
}

#[test]
fn an_unreadable_configuration_shows_nothing() {
    let mut store = behind_a_peer();
    let key = "configuration".to_owned();
    let reason = UnreadableReason::Encoding;
    let unreadable = vec![UnreadableItem { kind: KeyKind::Configuration, key, revision: Some(revision(9)), reason }];
    let update = MirrorUpdate { unreadable, ..MirrorUpdate::default() };
    store.record_reply(&watch_after(7), at(12), &StoreReply::Changes { update, at: revision(9) });
    assert_eq!(store.compare(5), None);
}

/// Guards against a false alarm while the store is away: a call that was made after a peer's version came fails, and what
/// the store has shown is older than that version.
#[test]
fn a_call_without_a_usable_reply_shows_nothing() {
    let mut store = behind_a_peer();
    store.record_reply(&watch_after(7), at(12), &StoreReply::Refused { status: 503 });
    assert_eq!(store.compare(5), None);
    store.record_reply(&watch_after(7), at(13), &StoreReply::HistoryGone);
    assert_eq!(store.compare(5), None);
    assert!(!store.is_not_held());
}

#[test]
fn a_store_at_another_address_has_shown_nothing() {
    let mut store = behind_a_peer();
    store.forget_shown();
    record_watch(&mut store, 12, 7, 7, None);
    assert_eq!(store.compare(5), None);
}

/// A follower hears of later versions from its peers alone.
#[test]
fn a_later_version_at_a_node_that_does_not_read_the_store_ends_what_was_told() {
    let mut store = behind_a_peer();
    record_listing(&mut store, 12, 9, 2);
    assert!(store.compare(5).is_some());
    assert_eq!(store.record_in_force(at(20), 6, true), None, "a reader's next reply tells");
    assert!(store.is_not_held());
    assert_eq!(store.record_in_force(at(21), 7, false), change(VersionHolding::Unknown, 7, 2));
    assert!(!store.is_not_held());
}
