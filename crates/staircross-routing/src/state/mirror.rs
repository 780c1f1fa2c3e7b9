//! This node's copy of the platform's store.
//!
//! The mirror holds the known items of the store and the revisions up to which it is complete. `known_configuration`,
//! `known_entries` and `evacuations` hold the state of each kind of items. The mirror makes no calls to the store and
//! doesn't apply changes to the engine: it merges updates and returns what changed.
//!
//! Each item carries the revision of its last change. Items are merged by revision, and searchers' entries by start
//! time too, but never by order of arrival. So it makes no difference whether they come from the store or from a peer.

mod pending;
mod settling;

use crate::configuration::definition::RoutingDefinition;
use crate::state::evacuations::{Evacuations, ZoneChange};
pub use crate::state::known_configuration::AcceptedConfiguration;
use crate::state::known_configuration::KnownConfiguration;
use crate::state::known_entries::{KnownEntries, WrittenEntry};
use crate::state::known_revisions::KnownRevisions;
pub use crate::state::mirror_update::{MirrorChanges, MirrorItem, MirrorUpdate, PeerKnowledge};
pub use crate::state::searcher_entry::SearcherEntry;
use crate::state::store_revision::StoreRevision;
use pending::{ListedNames, PendingChanges};
use settling::UnsettledSearchers;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of removed searchers that are remembered. Beyond it the older half is forgotten, and peers that are
/// further behind get a complete listing. Large fleets have some hundreds of searchers, which is well below this limit.
const MAX_TOMBSTONES: usize = 4096;

/// The known items of the store, and the revisions up to which they are complete.
#[derive(Debug, Default)]
pub struct Mirror {
    configuration: KnownConfiguration,
    searchers: BTreeMap<Arc<str>, KnownEntries>,
    unsettled: UnsettledSearchers,
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

    /// Returns whether the store holds the newest known version as far as this node knows. After its return from an older
    /// copy, the store lacks a version that was written since, until the operator writes it again.
    pub fn is_version_held(&self) -> bool {
        self.configuration.held_at().epoch >= self.operator_up_to().epoch
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

    /// Returns the zones that get no new work: those that are being evacuated, and the doubtful ones, unless no searcher
    /// would be left.
    pub fn evacuated(&self) -> Vec<Arc<str>> {
        let (active, all) = (self.evacuations.active(), self.evacuations.active_or_doubtful());
        let is_nobody_left = || self.searchers().all(|entry| all.contains(&entry.zone));
        if active != all && self.searchers().next().is_some() && is_nobody_left() { active } else { all }
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
        let evacuated_before = self.evacuated();
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
            self.evacuations.merge_listing(revision, &listed.evacuated);
        }
        if update.is_complete_for_searchers {
            listed.searchers.sort();
            if update.up_to.epoch > known.epoch {
                self.first_listing = update.up_to;
                self.unsettled.restart_return();
            }
            self.remove_unlisted(update.up_to, &listed.searchers, &mut pending);
            self.has_listing = true;
        }
        if self.has_listing {
            self.searcher_revisions.note_complete(update.up_to);
        }
        self.searcher_revisions.note_change(update.newest);
        self.configuration.note_held(update.version, update.version_at);
        // A configuration that wasn't sent, or couldn't be applied, is still to come.
        if update.version <= self.version() {
            self.operator_revisions.note_complete(update.operator_up_to);
        }
        self.drop_old_tombstones();
        let evacuated = self.evacuated();
        let evacuated = (evacuated != evacuated_before).then_some(evacuated);
        MirrorChanges { evacuated, ..pending.into_changes(&self.searchers) }
    }

    /// Returns whether the item is an entry of a searcher that has been removed since: the entry was written at or
    /// before `known_up_to`, up to which all changes are known here, but no entry of the searcher is.
    fn was_removed(&self, revision: StoreRevision, item: &MirrorItem, known_up_to: StoreRevision) -> bool {
        let MirrorItem::Searcher { entry } = item else {
            return false;
        };
        let known = self.searchers.get(&entry.instance);
        revision <= known_up_to && known.is_none_or(|known| known.entries().is_empty())
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
                self.evacuations.merge_change(revision, zone, is_active);
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
            version: self.version(),
            version_at: self.configuration.held_at(),
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
            self.unsettled.withheld.insert(instance.clone());
        }
        match known.is_disputed() {
            // The copy has an earlier incarnation; the later one has as long to write again as one that the copy lacks.
            true if known.span_epochs() => self.unsettled.unlisted.insert(instance.clone()),
            true => self.unsettled.disputes.insert(instance.clone()),
            false => self.unsettled.disputes.remove(&instance),
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
            self.unsettled.disputes.insert(instance);
        }
    }

    fn merge_removal(&mut self, revision: StoreRevision, instance: Arc<str>, pending: &mut PendingChanges) {
        let known = self.searchers.entry(instance.clone()).or_default();
        let before = known.current().cloned();
        if known.remove_up_to(revision) {
            if known.is_withheld() {
                self.unsettled.withheld.insert(instance.clone());
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
                self.unsettled.unlisted.insert(instance.clone());
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
