//! Tests that an unusable item of the store is logged once for each of its revisions.

use staircross_gateway::unreadable_log::UnreadableLog;
use staircross_routing::{KeyKind, StoreEpoch, StoreRevision, UnreadableItem, UnreadableReason};

fn item(number: u64, revision: u64) -> UnreadableItem {
    UnreadableItem::new(
        KeyKind::Searcher,
        &format!("k{number}"),
        Some(StoreRevision::new(StoreEpoch::UNTOLD, revision)),
        UnreadableReason::Item,
    )
}

#[test]
fn an_item_that_is_read_again_unchanged_is_no_news() {
    let mut log = UnreadableLog::default();
    assert!(log.insert(&item(1, 5)));
    assert!(!log.insert(&item(1, 5)));
    assert!(log.insert(&item(2, 5)), "another item");
    assert!(log.insert(&item(1, 6)), "a new revision of the first item");
    (10..3000).for_each(|number| assert!(log.insert(&item(number, 1))));
    assert!(!log.insert(&item(2999, 1)), "the last item is remembered although the log was cleared when it was full");
}
