//! What is collected while an update is merged: the changes, and the names in a listing.

use super::{MirrorChanges, MirrorItem, SearcherEntry};
use crate::configuration::definition::RoutingDefinition;
use crate::state::known_entries::{KnownEntries, WrittenEntry};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The changes collected during a merge. An update may hold several changes of one id. Only the state after the merge
/// is reported, but an incarnation that was draining in any of its entries is reported as draining.
#[derive(Default)]
pub(super) struct PendingChanges {
    pub configuration: Option<Arc<RoutingDefinition>>,
    searchers: BTreeMap<Arc<str>, PendingSearcherChange>,
}

/// What a merge has brought of one searcher.
#[derive(Default)]
pub(super) struct PendingSearcherChange {
    /// The entry that was current before the merge.
    before: Option<WrittenEntry>,
    /// Start times, in Unix milliseconds, of the incarnations of which the merge brought a draining entry.
    pub draining_starts: Vec<u64>,
}

impl PendingChanges {
    /// Returns the record of a searcher that the merge changes; `before` is its entry before this change.
    pub fn searcher_mut(&mut self, instance: Arc<str>, before: Option<WrittenEntry>) -> &mut PendingSearcherChange {
        self.searchers.entry(instance).or_insert(PendingSearcherChange { before, draining_starts: Vec::new() })
    }

    /// Returns the net effect of the merge, after which `known` holds what is known of each searcher.
    pub fn into_changes(self, known: &BTreeMap<Arc<str>, KnownEntries>) -> MirrorChanges {
        let mut changes = MirrorChanges { configuration: self.configuration, ..MirrorChanges::default() };
        for (instance, change) in self.searchers {
            let after = known.get(&instance).and_then(KnownEntries::current);
            match (change.before, after) {
                (before, Some(after)) => {
                    let has_drained = change.draining_starts.contains(&after.entry.born_ms);
                    if has_drained || before.is_none_or(|before| after.has_news_since(&before)) {
                        let is_draining = after.entry.is_draining || has_drained;
                        changes.searchers.push(SearcherEntry { is_draining, ..after.entry.clone() });
                    }
                }
                (Some(_), None) => changes.removed_searchers.push(instance),
                (None, None) => {}
            }
        }
        changes
    }
}

/// The ids and zones in a listing. Every other item of a kind that the listing covers is gone.
#[derive(Default)]
pub(super) struct ListedNames {
    /// Ids of searchers.
    pub searchers: Vec<Arc<str>>,
    /// Zones that are evacuated.
    pub evacuated: Vec<Arc<str>>,
}

impl ListedNames {
    /// Adds the id or zone of a listed item.
    pub fn add(&mut self, item: &MirrorItem) {
        match item {
            MirrorItem::Searcher { entry } => self.searchers.push(entry.instance.clone()),
            MirrorItem::SearcherUnusable { instance } => self.searchers.push(instance.clone()),
            MirrorItem::Evacuation { zone, is_active: true } => self.evacuated.push(zone.clone()),
            MirrorItem::Evacuation { .. }
            | MirrorItem::SearcherGone { .. }
            | MirrorItem::Configuration { .. }
            | MirrorItem::ConfigurationChanges { .. } => {}
        }
    }
}
