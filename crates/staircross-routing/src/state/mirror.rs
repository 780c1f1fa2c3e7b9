//! This node's copy of the platform's store.
//!
//! The mirror holds the known items of the store and the revisions up to which it is complete. `known_configuration`,
//! `known_entries` and `evacuations` hold the state of each kind of items. The mirror makes no calls to the store and
//! doesn't apply changes to the engine: it merges updates and returns what changed.
//!
//! Each item carries the revision of its last change. Items are merged by revision, and searchers' entries by start
//! time too, but never by order of arrival. So it makes no difference whether they come from the store or from a peer.

use crate::configuration::definition::RoutingDefinition;
use crate::state::evacuations::{Evacuations, ZoneChange};
pub use crate::state::known_configuration::AcceptedConfiguration;
use crate::state::known_configuration::KnownConfiguration;
use crate::state::known_entries::{KnownEntries, WrittenEntry};
use crate::state::known_revisions::KnownRevisions;
pub use crate::state::mirror_update::{MirrorChanges, MirrorItem, MirrorUpdate, PeerKnowledge};
pub use crate::state::searcher_entry::SearcherEntry;
use crate::state::store_revision::StoreRevision;
use crate::state::timed_ids::TimedIds;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of removed searchers that are remembered. Beyond it the older half is forgotten, and peers that are
/// further behind get a complete listing. Large fleets have some hundreds of searchers, which is well below this limit.
const MAX_TOMBSTONES: usize = 4096;

/// Time for which a searcher counts although the listing of a new epoch lacks its entry. The platform states that live
/// searchers have written their entries again about two seconds after the store's return; a quarter is added for the
/// watch and a late wake-up.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Time for which a searcher's entry is withheld although it stands in the store, because its removal was known before
/// the store came back. The entry of a searcher that has left goes after three heartbeats of 1.2 s in which nobody renews
/// it; the rest is for the time in which its end is heard of.
const WITHHOLDING_TIME: Duration = Duration::from_secs(5);

/// The changes collected during a merge. An update may hold several changes of one id. Only the state after the merge
/// is reported, but an incarnation that was draining in any of its entries is reported as draining.
#[derive(Default)]
struct PendingChanges {
    configuration: Option<Arc<RoutingDefinition>>,
    searchers: BTreeMap<Arc<str>, PendingSearcherChange>,
    has_evacuations: bool,
}

#[derive(Default)]
struct PendingSearcherChange {
    /// The entry that was current before the merge.
    before: Option<WrittenEntry>,
    /// Start times, in Unix milliseconds, of the incarnations of which the merge brought a draining entry.
    draining_starts: Vec<u64>,
}

impl PendingChanges {
    /// Returns the record of a searcher that the merge changes; `before` is its entry before this change.
    fn searcher_mut(&mut self, instance: Arc<str>, before: Option<WrittenEntry>) -> &mut PendingSearcherChange {
        self.searchers.entry(instance).or_insert(PendingSearcherChange { before, draining_starts: Vec::new() })
    }

    fn into_changes(self, known: &BTreeMap<Arc<str>, KnownEntries>) -> MirrorChanges {
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
struct ListedNames {
    /// Ids of searchers.
    searchers: Vec<Arc<str>>,
    /// Zones that are evacuated.
    evacuated: Vec<Arc<str>>,
}

impl ListedNames {
    fn add(&mut self, item: &MirrorItem) {
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

/// The known items of the store, and the revisions up to which they are complete.
#[derive(Debug, Default)]
pub struct Mirror {
    configuration: KnownConfiguration,
    searchers: BTreeMap<Arc<str>, KnownEntries>,
    /// The searchers of whose entries the store holds another than the one that counts. Of several incarnations under one
    /// id, the one with the latest start counts (`known_entries`). But start times come from the searchers' clocks and from
    /// other writers, and the latest may be wrong. A live incarnation writes its entry again within a heartbeat; if another
    /// one still stands in the store after that, the store is right.
    disputes: TimedIds,
    /// The searchers whose entries are of an epoch before that of the last complete listing: the copy from which the store
    /// has come back lacks them.
    unlisted: TimedIds,
    /// The searchers whose entries are withheld.
    withheld: TimedIds,
    /// Revision of the first complete listing of the present epoch. What is written after it isn't from the copy.
    first_listing: StoreRevision,
    evacuations: Evacuations,
    /// Revisions up to which changes of searchers are known; complete up to none until `has_listing` is set.
    searcher_revisions: KnownRevisions,
    /// Revisions up to which changes of the configuration and of evacuations are known.
    operator_revisions: KnownRevisions,
    /// Revision after which all removals of entries are remembered; a peer that is further behind gets a complete
    /// listing.
    tombstones_complete_after: StoreRevision,
    /// Whether a complete listing of the searchers has been merged.
    has_listing: bool,
}

impl Mirror {
    /// Returns the newest known configuration, if any is known.
    pub fn configuration(&self) -> Option<&Arc<RoutingDefinition>> {
        self.configuration.definition()
    }

    /// Returns the version of the configuration; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.configuration.version()
    }

    /// Returns the revision up to which all changes of the configuration and of evacuations are known; none before
    /// the first complete listing.
    pub fn operator_up_to(&self) -> StoreRevision {
        self.operator_revisions.complete_up_to()
    }

    /// Returns the revision of the newest change of a searcher's entry before which all changes are known. A peer whose
    /// value is higher knows more.
    pub fn newest_revision(&self) -> StoreRevision {
        self.searcher_revisions.newest_change()
    }

    /// Returns the revision of the newest known change of a searcher's entry, whether or not all changes before it are known:
    /// while a listing is being read, later pages and the watch tell of changes beyond [`Self::newest_revision`].
    pub fn latest_revision(&self) -> StoreRevision {
        self.searcher_revisions.latest_change()
    }

    /// Returns the revision up to which all changes of searchers are known; none before a complete listing was merged.
    /// Peers are asked for later changes, and a watch continues from there.
    pub fn known_revision(&self) -> StoreRevision {
        if self.has_listing { self.searcher_revisions.complete_up_to() } else { StoreRevision::NONE }
    }

    /// Returns the revision of the newest start, end or listing of evacuations before which all are known; peers are
    /// asked for later ones. Peers of an earlier build don't send `operator_up_to`; without it this is the newest known
    /// change.
    pub fn evacuations_revision(&self) -> StoreRevision {
        let newest = self.evacuations.newest();
        match self.operator_revisions.complete_up_to() {
            StoreRevision::NONE => newest,
            up_to => newest.min(up_to),
        }
    }

    /// Returns the zones that are being evacuated.
    pub fn evacuated(&self) -> Vec<Arc<str>> {
        self.evacuations.active()
    }

    /// Returns whether a complete listing of the searchers was merged, from the store or from a peer.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Returns the current entries of all searchers.
    pub fn searchers(&self) -> impl Iterator<Item = &SearcherEntry> {
        self.searchers.values().filter_map(KnownEntries::current).map(|known| &known.entry)
    }

    /// Merges an update and returns what it changed.
    pub fn merge(&mut self, update: MirrorUpdate) -> MirrorChanges {
        let mut pending = PendingChanges::default();
        let mut listed = ListedNames::default();
        let is_listing = update.is_complete_for_searchers || update.all_evacuations_at.is_some();
        // If the sender knows less than this node, a searcher that only the sender knows is gone: this node knew of its
        // removal and has forgotten it.
        let known = self.known_revision();
        let known_up_to = if update.up_to < known { known } else { StoreRevision::NONE };
        for (revision, item) in update.items {
            if is_listing {
                listed.add(&item);
            }
            if !self.was_removed(revision, &item, known_up_to) {
                self.merge_item(revision, item, &mut pending);
            }
        }
        if let Some(revision) = update.all_evacuations_at {
            pending.has_evacuations |= self.evacuations.merge_listing(revision, &listed.evacuated);
        }
        if update.is_complete_for_searchers {
            listed.searchers.sort();
            if update.up_to.epoch > known.epoch {
                self.first_listing = update.up_to;
                self.unlisted.restart();
                self.withheld.restart();
            }
            self.remove_unlisted(update.up_to, &listed.searchers, &mut pending);
            self.has_listing = true;
        }
        if self.has_listing {
            self.searcher_revisions.note_complete(update.up_to);
        }
        self.searcher_revisions.note_change(update.newest);
        self.operator_revisions.note_complete(update.operator_up_to);
        self.drop_old_tombstones();
        let evacuated = pending.has_evacuations.then(|| self.evacuations.active());
        MirrorChanges { evacuated, ..pending.into_changes(&self.searchers) }
    }

    /// Lets the store be right about the searchers of which the copy from which it has come back said something else than
    /// was known, if they had time to write, and returns what that changes. The caller calls this regularly, since time
    /// passes only by these calls. `hears_of_store` says whether it hears of what the store holds; if not, the time begins
    /// anew.
    pub fn settle_return(&mut self, now: BootTime, hears_of_store: bool) -> MirrorChanges {
        if !hears_of_store {
            self.unlisted.restart();
            self.withheld.restart();
            return MirrorChanges::default();
        }
        let mut pending = PendingChanges::default();
        for instance in self.withheld.take_overdue(now, WITHHOLDING_TIME) {
            if let Some(known) = self.searchers.get_mut(&instance) {
                let before = known.current().cloned();
                known.release();
                pending.searcher_mut(instance, before);
            }
        }
        let epoch = self.known_revision().epoch;
        for instance in self.unlisted.take_overdue(now, REWRITE_TIME) {
            if let Some(known) = self.searchers.get_mut(&instance).filter(|known| known.are_before_epoch(epoch)) {
                let before = known.current().cloned();
                // Whatever is written in this epoch is newer than the removal.
                known.remove_up_to(StoreRevision::new(epoch, 0));
                pending.searcher_mut(instance, before);
            }
        }
        pending.into_changes(&self.searchers)
    }

    /// Lets the store's entry count for each searcher for which another has counted for `max_age`, and returns what that
    /// changes. The caller calls this regularly, since time passes only by these calls.
    pub fn settle_disputes(&mut self, now: BootTime, max_age: Duration) -> MirrorChanges {
        let mut pending = PendingChanges::default();
        for instance in self.disputes.take_overdue(now, max_age) {
            if let Some(known) = self.searchers.get_mut(&instance) {
                let before = known.current().cloned();
                known.settle();
                pending.searcher_mut(instance, before);
            }
        }
        pending.into_changes(&self.searchers)
    }

    /// Returns whether the item is an entry of a searcher that has been removed since: the entry was written at or
    /// before `known_up_to`, up to which all changes are known here, but the searcher isn't known.
    fn was_removed(&self, revision: StoreRevision, item: &MirrorItem, known_up_to: StoreRevision) -> bool {
        match item {
            MirrorItem::Searcher { entry } => revision <= known_up_to && !self.searchers.contains_key(&entry.instance),
            _ => false,
        }
    }

    fn merge_item(&mut self, revision: StoreRevision, item: MirrorItem, pending: &mut PendingChanges) {
        match item {
            MirrorItem::Configuration { definition } => {
                let newer = self.configuration.replace_if_newer(revision, definition);
                pending.configuration = newer.or(pending.configuration.take());
            }
            MirrorItem::ConfigurationChanges { deltas } => {
                let newer = self.configuration.apply_deltas(revision, &deltas);
                pending.configuration = newer.or(pending.configuration.take());
            }
            MirrorItem::Searcher { entry } => self.merge_entry(revision, entry, pending),
            MirrorItem::SearcherGone { instance } => self.merge_removal(revision, instance, pending),
            MirrorItem::SearcherUnusable { instance } => self.merge_unusable(revision, instance),
            MirrorItem::Evacuation { zone, is_active } => {
                pending.has_evacuations |= self.evacuations.merge_change(revision, zone, is_active);
            }
        }
    }

    /// Returns everything that a peer lacks, except for a configuration that it doesn't accept.
    pub fn changes_for(&self, peer: PeerKnowledge) -> MirrorUpdate {
        let revision = peer.revision;
        let is_complete = self.has_listing && (revision < self.tombstones_complete_after || revision.is_none());
        let mut items = Vec::new();
        if let Some((written_at, update)) = self.configuration.update_for(peer.version, peer.accepts) {
            items.push((written_at, update.into()));
        }
        for (instance, known) in &self.searchers {
            let update = known.entries().iter().filter(|known| is_complete || known.revision > revision);
            items.extend(update.map(|known| (known.revision, MirrorItem::Searcher { entry: known.entry.clone() })));
            // A complete listing implies the removal of ids that it leaves out, but not that of earlier entries of ids
            // that it lists.
            let is_implied = is_complete
                && known.entries().is_empty()
                && known.removed_up_to() <= self.searcher_revisions.complete_up_to();
            if known.removed_up_to() > revision && !is_implied {
                items.push((known.removed_up_to(), MirrorItem::SearcherGone { instance: instance.clone() }));
            }
        }
        items.extend(self.evacuations.changes_after(peer.evacuations).map(|change| {
            let ZoneChange { revision, zone, is_active } = change;
            (revision, MirrorItem::Evacuation { zone, is_active })
        }));
        MirrorUpdate {
            items,
            is_complete_for_searchers: is_complete,
            up_to: self.known_revision(),
            newest: self.newest_revision(),
            operator_up_to: self.operator_up_to(),
            all_evacuations_at: self.evacuations.listed_revision(),
            ..MirrorUpdate::default()
        }
    }

    fn merge_entry(&mut self, revision: StoreRevision, entry: SearcherEntry, pending: &mut PendingChanges) {
        let known = self.searchers.entry(entry.instance.clone()).or_default();
        let before = known.current().cloned();
        let (instance, born_ms, is_draining) = (entry.instance.clone(), entry.born_ms, entry.is_draining);
        if !known.insert(WrittenEntry { revision, entry }) {
            return;
        }
        if revision.epoch == self.first_listing.epoch && revision > self.first_listing {
            known.release();
        }
        if known.is_withheld() {
            self.withheld.insert(instance.clone());
        }
        match known.is_disputed() {
            true => self.disputes.insert(instance.clone()),
            false => self.disputes.remove(&instance),
        }
        self.searcher_revisions.note_change(revision);
        let change = pending.searcher_mut(instance, before);
        if is_draining {
            change.draining_starts.push(born_ms);
        }
    }

    /// Begins a dispute about a known searcher. A live one writes its entry again within a heartbeat.
    fn merge_unusable(&mut self, revision: StoreRevision, instance: Arc<str>) {
        if let Some(known) = self.searchers.get_mut(&instance)
            && known.note_unusable(revision)
        {
            self.disputes.insert(instance);
        }
    }

    fn merge_removal(&mut self, revision: StoreRevision, instance: Arc<str>, pending: &mut PendingChanges) {
        let known = self.searchers.entry(instance.clone()).or_default();
        let before = known.current().cloned();
        if known.remove_up_to(revision) {
            if known.is_withheld() {
                self.withheld.insert(instance.clone());
            }
            self.searcher_revisions.note_change(revision);
            pending.searcher_mut(instance, before);
        }
    }

    /// Removes the entries that a complete listing at `revision` leaves out and that were written by then. Entries of a
    /// former epoch stay until their searchers had time to write them again; a peer's listing may contain such entries.
    fn remove_unlisted(&mut self, revision: StoreRevision, listed: &[Arc<str>], pending: &mut PendingChanges) {
        for (instance, known) in &mut self.searchers {
            if known.are_before_epoch(revision.epoch) {
                self.unlisted.insert(instance.clone());
                continue;
            }
            if listed.binary_search(instance).is_ok() || !known.has_current_entry_at(revision) {
                continue;
            }
            let before = known.current().cloned();
            known.remove_up_to(revision);
            self.searcher_revisions.note_change(revision);
            pending.searcher_mut(instance.clone(), before);
        }
        self.tombstones_complete_after = self.tombstones_complete_after.max(revision);
    }

    fn drop_old_tombstones(&mut self) {
        let is_tombstone = |known: &KnownEntries| known.entries().is_empty();
        let tombstones = self.searchers.values().filter(|known| is_tombstone(known));
        let mut revisions: Vec<StoreRevision> = tombstones.map(KnownEntries::removed_up_to).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let forgotten_up_to = revisions[revisions.len() / 2];
        self.searchers.retain(|_, known| !is_tombstone(known) || known.removed_up_to() > forgotten_up_to);
        self.tombstones_complete_after = self.tombstones_complete_after.max(forgotten_up_to);
    }
}
