//! A store that has come back from an older copy: its revisions go back and are given out again in a new epoch.

mod common;

use common::mirror::{knowledge, listing, searcher, searcher_gone, searcher_ids};
use staircross_routing::{Mirror, MirrorItem, MirrorUpdate, StoreEpoch, StoreRevision};

fn revision(epoch: u64, count: u64) -> StoreRevision {
    StoreRevision::new(StoreEpoch::new(epoch), count)
}

/// Returns an update of these items, each with its revision in an epoch.
fn changes_in(epoch: u64, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    let items = items.into_iter().map(|(count, item)| (revision(epoch, count), item)).collect();
    MirrorUpdate { items, ..MirrorUpdate::default() }
}

/// Returns an update that holds all searchers of the store at a revision.
fn listing_in(epoch: u64, count: u64, items: Vec<(u64, MirrorItem)>) -> MirrorUpdate {
    let at = revision(epoch, count);
    MirrorUpdate { is_complete_for_searchers: true, up_to: at, newest: at, ..changes_in(epoch, items) }
}

#[test]
fn a_later_epoch_is_newer_whatever_was_counted() {
    assert!(revision(1, 900) < revision(2, 3));
    assert!(StoreRevision::new(StoreEpoch::UNTOLD, 900) < revision(0, 1));
    assert!(StoreRevision::NONE < revision(0, 0));
}

/// Guards against new searchers that count as removed: their entries have lower revisions than were known before the
/// store came back.
#[test]
fn an_entry_written_after_the_return_is_new_although_its_revision_is_lower() {
    let mut mirror = Mirror::default();
    mirror.merge(listing_in(1, 116, vec![(5, searcher("old", false))]));
    mirror.merge(listing_in(2, 104, vec![(5, searcher("old", false))]));
    let changes = mirror.merge(changes_in(2, vec![(106, searcher("new", false))]));
    assert_eq!(changes.searchers.len(), 1);
    assert_eq!(searcher_ids(&mirror), ["new", "old"]);
}

/// Guards against drains and removals of the new epoch that count as older than the entry known before.
#[test]
fn a_drain_and_a_removal_after_the_return_take_effect_although_their_revisions_are_lower() {
    let mut mirror = Mirror::default();
    mirror.merge(listing_in(1, 116, vec![(110, searcher("a", false)), (111, searcher("b", false))]));
    mirror.merge(listing_in(2, 104, vec![(103, searcher("a", false)), (104, searcher("b", false))]));
    mirror.merge(changes_in(2, vec![(105, searcher("a", true)), (106, searcher_gone("b"))]));
    assert_eq!(searcher_ids(&mirror), ["a"]);
    assert!(mirror.searchers().all(|entry| entry.is_draining));
}

#[test]
fn what_was_read_before_the_return_and_comes_late_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.merge(listing_in(2, 104, vec![(103, searcher("a", true))]));
    let late = mirror.merge(changes_in(1, vec![(116, searcher("a", false)), (117, searcher("b", false))]));
    assert!(late.searchers.is_empty(), "{late:?}");
    assert_eq!(searcher_ids(&mirror), ["a"]);
}

/// Guards against a peer that is ahead in an earlier epoch and never asks, or is sent the changes after a revision of
/// that epoch.
#[test]
fn a_peer_of_an_earlier_epoch_is_behind_and_is_sent_everything() {
    let mut ahead = Mirror::default();
    ahead.merge(listing_in(2, 104, vec![(50, searcher("a", false))]));
    let mut behind = Mirror::default();
    behind.merge(listing_in(1, 900, vec![(50, searcher("a", false)), (800, searcher("lost", false))]));
    assert!(behind.newest_revision() < ahead.newest_revision());
    let update = ahead.changes_for(knowledge(&behind));
    assert!(update.is_complete_for_searchers);
    behind.merge(update);
    assert_eq!(behind.known_revision(), revision(2, 104));
}

/// Guards against nodes of the build before, whose revisions carry no epoch, counting as behind for ever.
#[test]
fn an_update_without_epochs_counts_as_of_the_epoch_that_is_known() {
    let mut mirror = Mirror::default();
    mirror.merge(listing_in(3, 20, vec![]));
    let update = listing(25, vec![(24, searcher("a", false))]).assuming_epoch(StoreEpoch::new(3));
    mirror.merge(update);
    assert_eq!(mirror.known_revision(), revision(3, 25));
    assert_eq!(searcher_ids(&mirror), ["a"]);
}
