//! A store in memory that is written to, compacted, copied and restored, and answers the calls of a store reader.

use super::mirror::{configuration, entry};
use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{MirrorItem, MirrorUpdate, SearcherEntry, StoreEpoch, StoreRevision};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Items on each page of a listing.
const PAGE: usize = 2;
pub const ZONES: [&str; 2] = ["a", "b"];

/// A write to the store, or the compaction of its history.
#[derive(Clone, Copy, Debug)]
pub enum Write {
    Configuration,
    Evacuate(usize),
    EndEvacuation(usize),
    Ready(u8),
    Draining(u8),
    Gone(u8),
    Compact,
    /// A copy of the store is made.
    Copy,
    /// The store comes back from the copy, if there is one: its counter goes back and a new epoch begins.
    Restore,
}

/// What the simulated store holds: the item under each key, and all changes since the last compaction.
#[derive(Clone, Default)]
struct Contents {
    /// Number of changes counted.
    count: u64,
    items: BTreeMap<String, (u64, MirrorItem)>,
    history: Vec<(u64, String, MirrorItem)>,
    compacted_at: u64,
}

/// The simulated store, and the operator's version and the searchers' clock, which its returns don't undo.
#[derive(Default)]
pub struct Store {
    contents: Contents,
    copy: Option<Contents>,
    returns: u64,
    version: u64,
    born_ms: u64,
}

fn key_of(item: &MirrorItem) -> String {
    match item {
        MirrorItem::Configuration { .. } | MirrorItem::ConfigurationChanges { .. } => {
            "operator/configuration".to_owned()
        }
        MirrorItem::Evacuation { zone, .. } => format!("operator/evacuation/{zone}"),
        MirrorItem::Searcher { entry } => format!("servers/{}", entry.instance),
        MirrorItem::SearcherGone { instance } | MirrorItem::SearcherUnusable { instance } => {
            format!("servers/{instance}")
        }
    }
}

fn key_prefix(lane: Lane) -> &'static str {
    if lane == Lane::Configuration { "operator/" } else { "servers/" }
}

impl Contents {
    fn put(&mut self, item: MirrorItem) {
        self.count += 1;
        let key = key_of(&item);
        self.items.insert(key.clone(), (self.count, item.clone()));
        self.history.push((self.count, key, item));
    }

    fn remove(&mut self, item: MirrorItem) {
        let key = key_of(&item);
        if self.items.remove(&key).is_some() {
            self.count += 1;
            self.history.push((self.count, key, item));
        }
    }
}

impl Store {
    pub fn epoch(&self) -> StoreEpoch {
        StoreEpoch::new(self.returns)
    }

    /// Returns the newest version that the operator has written, whether or not the store has lost it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all items that the store holds.
    pub fn items(&self) -> impl Iterator<Item = &MirrorItem> {
        self.contents.items.values().map(|(_, item)| item)
    }

    /// Writes the newest version again if the store has lost it.
    pub fn write_lost_configuration(&mut self) {
        let newest = configuration(self.version);
        if !self.items().any(|item| *item == newest) {
            self.put(newest);
        }
    }

    fn put(&mut self, item: MirrorItem) {
        self.contents.put(item);
    }

    fn remove(&mut self, item: MirrorItem) {
        self.contents.remove(item);
    }

    /// Returns the revision of a change that the store has counted.
    fn revision(&self, count: u64) -> StoreRevision {
        StoreRevision::new(self.epoch(), count)
    }

    fn entry_of(&self, number: u8) -> Option<SearcherEntry> {
        match self.contents.items.get(&format!("servers/s{number}")) {
            Some((_, MirrorItem::Searcher { entry })) => Some(entry.clone()),
            _ => None,
        }
    }

    pub fn write(&mut self, write: Write) {
        let evacuation = |zone, is_active| MirrorItem::Evacuation { zone: Arc::from(ZONES[zone]), is_active };
        match write {
            Write::Configuration => {
                self.version += 1;
                self.put(configuration(self.version));
            }
            Write::Evacuate(zone) => self.put(evacuation(zone, true)),
            Write::EndEvacuation(zone) => self.remove(evacuation(zone, false)),
            Write::Ready(number) => {
                // A searcher that drains is replaced by a later incarnation.
                self.born_ms += 1;
                let born_ms = match self.entry_of(number).filter(|entry| !entry.is_draining) {
                    Some(entry) => entry.born_ms,
                    None => self.born_ms,
                };
                let slots = (self.contents.count % 7) as u32;
                self.put(MirrorItem::Searcher {
                    entry: SearcherEntry { born_ms, slots, ..entry(&format!("s{number}"), false) },
                });
            }
            Write::Draining(number) => {
                if let Some(entry) = self.entry_of(number) {
                    self.put(MirrorItem::Searcher { entry: SearcherEntry { is_draining: true, ..entry } });
                }
            }
            Write::Gone(number) => self.remove(MirrorItem::SearcherGone { instance: Arc::from(format!("s{number}")) }),
            Write::Compact => {
                self.contents.compacted_at = self.contents.count;
                self.contents.history.clear();
            }
            Write::Copy => self.copy = Some(self.contents.clone()),
            Write::Restore => {
                if let Some(copy) = self.copy.clone() {
                    self.contents = copy;
                    self.returns += 1;
                }
            }
        }
    }

    /// Returns the reply to a call, or none while a watch has no changes to report.
    pub fn handle(&self, call: &StoreCall) -> Option<StoreReply> {
        match call {
            StoreCall::Probe => Some(StoreReply::Alive { revision: self.revision(self.contents.count) }),
            StoreCall::List { lane, after } => {
                let items = &self.contents.items;
                let is_later = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
                let keys: Vec<&String> =
                    items.keys().filter(|key| key.starts_with(key_prefix(*lane))).filter(is_later).collect();
                let page = keys.iter().take(PAGE).map(|key| &items[*key]);
                let next = (keys.len() > PAGE).then(|| keys[PAGE - 1].clone());
                let update = self.update(page.map(|(count, item)| (*count, item)));
                Some(StoreReply::Items { update, at: self.revision(self.contents.count), next })
            }
            StoreCall::Watch { after, .. }
                if after.count < self.contents.compacted_at || after.count > self.contents.count =>
            {
                Some(StoreReply::HistoryGone)
            }
            StoreCall::Watch { lane, after, .. } => {
                let is_new = |change: &&(u64, String, MirrorItem)| {
                    change.0 > after.count && change.1.starts_with(key_prefix(*lane))
                };
                let changes = self.contents.history.iter().filter(is_new);
                let update = self.update(changes.map(|(count, _, item)| (*count, item)));
                let at = self.revision(self.contents.count);
                (!update.items.is_empty()).then_some(StoreReply::Changes { update, at })
            }
        }
    }

    fn update<'a>(&self, items: impl Iterator<Item = (u64, &'a MirrorItem)>) -> MirrorUpdate {
        let items = items.map(|(count, item)| (self.revision(count), item.clone())).collect();
        MirrorUpdate { items, ..MirrorUpdate::default() }
    }
}
