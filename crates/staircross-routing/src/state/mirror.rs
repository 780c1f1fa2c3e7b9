//! What this node knows of the platform's store.
//!
//! Owns a copy of what the store holds, as far as it is known, and up to which revisions that is all. Relies on `known_configuration`,
//! `known_entries` and `evacuations` for what holds of each kind. It makes no calls and puts nothing in force: an update is merged, and
//! what was new is returned.
//!
//! Each item carries the revision of its last change. Items are merged by revision, searchers' entries by their incarnation too, and
//! never by the order in which they arrive, so it doesn't matter whether they come from the store or from a peer.

use crate::configuration::definition::RoutingDefinition;
use crate::configuration::delta::DefinitionDelta;
use crate::state::evacuations::{Evacuations, ZoneChange};
pub use crate::state::known_configuration::TakenConfiguration;
use crate::state::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use crate::state::known_entries::{KnownEntries, WrittenEntry};
use crate::state::reach::Reach;
pub use crate::state::searcher_entry::SearcherEntry;
use crate::state::unreadable::UnreadableItem;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most searchers that are remembered as gone; beyond it the older half is forgotten, and peers that are behind get a whole listing. Above the
/// searchers of large fleets, which have some hundreds.
const MAX_TOMBSTONES: usize = 4096;

/// One item of the store with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorItem {
    /// The configuration.
    Configuration {
        /// Its content.
        definition: Arc<RoutingDefinition>,
    },
    /// What changed of the configuration since the version that the asker has, one version after the other.
    ConfigurationChanges {
        /// The changes.
        deltas: Vec<DefinitionDelta>,
    },
    /// A searcher.
    Searcher {
        /// Its entry.
        entry: SearcherEntry,
    },
    /// A searcher's entry has gone.
    SearcherGone {
        /// The id of the searcher.
        instance: Arc<str>,
    },
    /// The searchers of a zone are to get no new work, or may get it again.
    Evacuation {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is to get none.
        is_active: bool,
    },
}

impl From<ConfigurationUpdate> for MirrorItem {
    fn from(update: ConfigurationUpdate) -> Self {
        match update {
            ConfigurationUpdate::Whole(definition) => MirrorItem::Configuration { definition },
            ConfigurationUpdate::Changes(deltas) => MirrorItem::ConfigurationChanges { deltas },
        }
    }
}

/// Items that changed, and up to which revision that is all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MirrorUpdate {
    /// Items with the revision of their last change.
    pub items: Vec<(u64, MirrorItem)>,
    /// Whether searchers that aren't listed are gone.
    pub is_complete_for_searchers: bool,
    /// Revision up to which the update holds all changes of searchers; 0 when it doesn't.
    pub up_to: u64,
    /// Newest change of searchers before which the sender lacks nothing; a listing leaves out searchers whose end was the newest change.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub newest: u64,
    /// Revision up to which the update holds all that the operator wrote, but for a configuration that the asker doesn't take; 0 when it
    /// doesn't.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub operator_up_to: u64,
    /// Revision at which zones that aren't listed as evacuated weren't; `None` when the update doesn't list them all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub all_evacuations_at: Option<u64>,
    /// Items that can't be used, for the log of the node that read them; they aren't sent to peers.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableItem>,
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// What an asker has and takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Revision up to which it knows the searchers.
    pub revision: u64,
    /// Version of its configuration.
    pub version: u64,
    /// Revision up to which it knows evacuations.
    pub evacuations: u64,
    /// Which newer configuration it takes; what it isn't sent it reads from the store.
    pub takes: TakenConfiguration,
}

/// What a merge changed: how things stand after it. No id is both among the searchers and among those
/// that are gone, whatever happened to it on the way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MirrorChanges {
    /// A newer configuration.
    pub configuration: Option<Arc<RoutingDefinition>>,
    /// New or changed searchers.
    pub searchers: Vec<SearcherEntry>,
    /// Searchers whose entry has gone.
    pub gone: Vec<Arc<str>>,
    /// All zones that are being evacuated, if that has changed.
    pub evacuated: Option<Vec<Arc<str>>>,
}

/// Changes while a merge goes on. An update may hold several of one id; how things stand after it counts, but an
/// incarnation that once was draining goes on draining.
#[derive(Default)]
struct Touched {
    configuration: Option<Arc<RoutingDefinition>>,
    searchers: BTreeMap<Arc<str>, TouchedSearcher>,
    has_evacuations: bool,
}

#[derive(Default)]
struct TouchedSearcher {
    /// Revision of the entry that held before the merge.
    before: Option<u64>,
    /// Starts, in Unix milliseconds, of incarnations that were draining.
    draining: Vec<u64>,
}

impl Touched {
    fn note(&mut self, instance: Arc<str>, before: Option<u64>) -> &mut TouchedSearcher {
        self.searchers.entry(instance).or_insert(TouchedSearcher { before, draining: Vec::new() })
    }

    fn into_changes(self, known: &BTreeMap<Arc<str>, KnownEntries>) -> MirrorChanges {
        let mut changes = MirrorChanges { configuration: self.configuration, ..MirrorChanges::default() };
        for (instance, touched) in self.searchers {
            let after = known.get(&instance).and_then(KnownEntries::current);
            match (touched.before, after) {
                (before, Some(after)) if before != Some(after.revision) => {
                    let has_drained = touched.draining.contains(&after.entry.born_ms);
                    let is_draining = after.entry.is_draining || has_drained;
                    changes.searchers.push(SearcherEntry { is_draining, ..after.entry.clone() });
                }
                (Some(_), None) => changes.gone.push(instance),
                (_, Some(_)) | (None, None) => {}
            }
        }
        changes
    }
}

/// What a listing holds: of its kind, all else is gone.
#[derive(Default)]
struct Listed {
    /// Ids of searchers.
    searchers: Vec<Arc<str>>,
    /// Zones that are evacuated.
    evacuated: Vec<Arc<str>>,
}

impl Listed {
    fn note(&mut self, item: &MirrorItem) {
        match item {
            MirrorItem::Searcher { entry } => self.searchers.push(entry.instance.clone()),
            MirrorItem::Evacuation { zone, is_active: true } => self.evacuated.push(zone.clone()),
            MirrorItem::Evacuation { .. }
            | MirrorItem::SearcherGone { .. }
            | MirrorItem::Configuration { .. }
            | MirrorItem::ConfigurationChanges { .. } => {}
        }
    }
}

/// A copy of what the store holds, as far as it is known.
#[derive(Debug, Default)]
pub struct Mirror {
    configuration: KnownConfiguration,
    searchers: BTreeMap<Arc<str>, KnownEntries>,
    evacuations: Evacuations,
    /// How far all changes of searchers are known, once a whole listing is.
    searchers_reach: Reach,
    /// How far all is known that the operator wrote.
    operator_reach: Reach,
    /// Revision from which on all ends of entries are remembered; a peer that is further behind gets a whole listing.
    tombstones_from: u64,
    /// Whether a whole listing of the searchers has been merged.
    has_listing: bool,
}

impl Mirror {
    /// The configuration, if one is known.
    pub fn configuration(&self) -> Option<&Arc<RoutingDefinition>> {
        self.configuration.definition()
    }

    /// Version of the configuration; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.configuration.version()
    }

    /// Revision up to which all is known that the operator wrote, the configuration and evacuations; 0 when nothing is known whole.
    pub fn operator_up_to(&self) -> u64 {
        self.operator_reach.up_to()
    }

    /// Newest change of a searcher's entry before which nothing is lacking: where a peer's is newer, it knows more.
    pub fn newest_revision(&self) -> u64 {
        self.searchers_reach.newest()
    }

    /// Revision up to which nothing of the searchers is lacking: a peer that is asked sends what came later, and a watch goes on from there. 0 before a
    /// whole listing is known.
    pub fn known_revision(&self) -> u64 {
        if self.has_listing { self.searchers_reach.up_to() } else { 0 }
    }

    /// Newest revision of the start or end of an evacuation before which nothing is lacking; a peer that is asked sends what came later. Peers of an
    /// earlier build don't say how far they know; then it is the newest.
    pub fn evacuations_revision(&self) -> u64 {
        let newest = self.evacuations.newest();
        match self.operator_reach.up_to() {
            0 => newest,
            up_to => newest.min(up_to),
        }
    }

    /// Zones that are being evacuated.
    pub fn evacuated(&self) -> Vec<Arc<str>> {
        self.evacuations.active()
    }

    /// Whether all searchers are known, by a listing of the store's own or of a peer that had one.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Searchers with an entry.
    pub fn searchers(&self) -> impl Iterator<Item = &SearcherEntry> {
        self.searchers.values().filter_map(KnownEntries::current).map(|known| &known.entry)
    }

    /// Merges an update and returns what was new.
    pub fn merge(&mut self, update: MirrorUpdate) -> MirrorChanges {
        let mut touched = Touched::default();
        let mut listed = Listed::default();
        let is_listing = update.is_complete_for_searchers || update.all_evacuations_at.is_some();
        // Less is known there than here: a searcher that isn't known here had gone by then.
        let known = self.known_revision();
        let gone_by = if update.up_to < known { known } else { 0 };
        for (revision, item) in update.items {
            if is_listing {
                listed.note(&item);
            }
            if !self.had_gone(revision, &item, gone_by) {
                self.take(revision, item, &mut touched);
            }
        }
        if let Some(at) = update.all_evacuations_at {
            touched.has_evacuations |= self.evacuations.end_unlisted(at, &listed.evacuated);
        }
        if update.is_complete_for_searchers {
            listed.searchers.sort();
            self.drop_unlisted(update.up_to, &listed.searchers, &mut touched);
            self.has_listing = true;
        }
        if self.has_listing {
            self.searchers_reach.note_whole(update.up_to);
        }
        self.searchers_reach.note_change(update.newest);
        self.operator_reach.note_whole(update.operator_up_to);
        self.forget_old_tombstones();
        let evacuated = touched.has_evacuations.then(|| self.evacuations.active());
        MirrorChanges { evacuated, ..touched.into_changes(&self.searchers) }
    }

    /// Whether an entry is of a searcher that had gone by a revision up to which all are known.
    fn had_gone(&self, revision: u64, item: &MirrorItem, by: u64) -> bool {
        match item {
            MirrorItem::Searcher { entry } => revision <= by && !self.searchers.contains_key(&entry.instance),
            _ => false,
        }
    }

    fn take(&mut self, revision: u64, item: MirrorItem, touched: &mut Touched) {
        match item {
            MirrorItem::Configuration { definition } => {
                let newer = self.configuration.take(revision, definition);
                touched.configuration = newer.or(touched.configuration.take());
            }
            MirrorItem::ConfigurationChanges { deltas } => {
                let newer = self.configuration.take_deltas(revision, &deltas);
                touched.configuration = newer.or(touched.configuration.take());
            }
            MirrorItem::Searcher { entry } => self.take_searcher(revision, entry, touched),
            MirrorItem::SearcherGone { instance } => self.take_gone(revision, instance, touched),
            MirrorItem::Evacuation { zone, is_active } => {
                touched.has_evacuations |= self.evacuations.take(revision, zone, is_active);
            }
        }
    }

    /// Everything that a peer lacks, but for a large configuration that it doesn't take.
    pub fn changes_for(&self, peer: PeerKnowledge) -> MirrorUpdate {
        let revision = peer.revision;
        let is_complete = self.has_listing && (revision < self.tombstones_from || revision == 0);
        let mut items = Vec::new();
        if let Some((at, update)) = self.configuration.update_for(peer.version, peer.takes) {
            items.push((at, update.into()));
        }
        for (instance, known) in &self.searchers {
            let update = known.standing().iter().filter(|known| is_complete || known.revision > revision);
            items.extend(update.map(|known| (known.revision, MirrorItem::Searcher { entry: known.entry.clone() })));
            // A whole listing says by itself what had gone by then, but not of ids that it lists.
            let is_said =
                is_complete && known.standing().is_empty() && known.ended_at() <= self.searchers_reach.up_to();
            if known.ended_at() > revision && !is_said {
                items.push((known.ended_at(), MirrorItem::SearcherGone { instance: instance.clone() }));
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
            all_evacuations_at: self.evacuations.listed_at(),
            ..MirrorUpdate::default()
        }
    }

    fn take_searcher(&mut self, revision: u64, entry: SearcherEntry, touched: &mut Touched) {
        let known = self.searchers.entry(entry.instance.clone()).or_default();
        let before = known.current().map(|known| known.revision);
        let (instance, born_ms, is_draining) = (entry.instance.clone(), entry.born_ms, entry.is_draining);
        if !known.take(WrittenEntry { revision, entry }) {
            return;
        }
        self.searchers_reach.note_change(revision);
        let touched = touched.note(instance, before);
        if is_draining {
            touched.draining.push(born_ms);
        }
    }

    fn take_gone(&mut self, revision: u64, instance: Arc<str>, touched: &mut Touched) {
        let known = self.searchers.entry(instance.clone()).or_default();
        let before = known.current().map(|known| known.revision);
        if known.end(revision) {
            self.searchers_reach.note_change(revision);
            touched.note(instance, before);
        }
    }

    /// A whole listing at a revision leaves out what had gone by then.
    fn drop_unlisted(&mut self, at: u64, listed: &[Arc<str>], touched: &mut Touched) {
        for (instance, known) in &mut self.searchers {
            if listed.binary_search(instance).is_ok() || !known.stands_at(at) {
                continue;
            }
            let before = known.current().map(|known| known.revision);
            known.end(at);
            self.searchers_reach.note_change(at);
            touched.note(instance.clone(), before);
        }
        self.tombstones_from = self.tombstones_from.max(at);
    }

    fn forget_old_tombstones(&mut self) {
        let is_tombstone = |known: &KnownEntries| known.standing().is_empty();
        let tombstones = self.searchers.values().filter(|known| is_tombstone(known));
        let mut revisions: Vec<u64> = tombstones.map(KnownEntries::ended_at).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let horizon = revisions[revisions.len() / 2];
        self.searchers.retain(|_, known| !is_tombstone(known) || known.ended_at() > horizon);
        self.tombstones_from = self.tombstones_from.max(horizon);
    }
}
