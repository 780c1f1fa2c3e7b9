//! Maintains the engine's table of searchers and the list of searchers of each service.

use super::{RoutingAction, RoutingEngine};
use crate::configuration::definition::ColdStart;
use crate::keys::{Incarnation, SearcherKey};
use crate::state::mirror::SearcherEntry;
use crate::state::searcher::Searcher;
use staircross_types::BootTime;
use std::sync::Arc;

/// Connections that a searcher is assumed to accept when the configuration doesn't name its service.
const DEFAULT_MAX_CONNECTIONS: u32 = 32;

impl RoutingEngine {
    pub(super) fn set_searchers(
        &mut self,
        now: BootTime,
        entries: Vec<SearcherEntry>,
        actions: &mut Vec<RoutingAction>,
    ) {
        let mut services: Vec<Arc<str>> = entries.iter().map(|entry| entry.service.clone()).collect();
        entries.into_iter().for_each(|entry| self.set_searcher(now, entry));
        services.sort_unstable();
        services.dedup();
        services.iter().for_each(|service| self.send_waiting_shards(now, service, actions));
    }

    /// Adds or updates a searcher. An unknown incarnation becomes a new searcher, and the previous incarnation with
    /// the same id is no longer asked. The mirror of the store decides which of two incarnations is the current one;
    /// the engine takes its entries in order.
    fn set_searcher(&mut self, now: BootTime, entry: SearcherEntry) {
        let service = entry.service.clone();
        let instance = entry.instance.clone();
        let predecessor = self.by_instance.get(&instance).copied();
        let incarnation = Incarnation { instance: instance.clone(), born_ms: entry.born_ms };
        let key = match self.by_incarnation.get(&incarnation).copied() {
            Some(key) => {
                // The new entry may name another service than the old one.
                self.remove_from_service(key);
                self.searchers[key.0 as usize].update(now, entry);
                key
            }
            None => self.add_searcher(now, incarnation, entry, predecessor),
        };
        if let Some(predecessor) = predecessor.filter(|predecessor| *predecessor != key) {
            self.mark_searcher_gone(predecessor);
        }
        self.by_instance.insert(instance, key);
        let listed = self.by_service.entry(service).or_default();
        listed.retain(|known| self.searchers[known.0 as usize].is_listed(now));
        if self.searchers[key.0 as usize].is_serving() {
            listed.push(key);
        }
    }

    fn add_searcher(
        &mut self,
        now: BootTime,
        incarnation: Incarnation,
        entry: SearcherEntry,
        predecessor: Option<SearcherKey>,
    ) -> SearcherKey {
        let key = SearcherKey(self.searchers.len() as u32);
        let cold_sends = predecessor.map(|predecessor| self.searchers[predecessor.0 as usize].cold_sends().clone());
        let searcher = self.new_searcher(now, entry).with_cold_sends(cold_sends.unwrap_or_default());
        self.searchers.push(searcher);
        self.by_incarnation.insert(incarnation, key);
        key
    }

    fn new_searcher(&self, now: BootTime, entry: SearcherEntry) -> Searcher {
        let service = self.services.get(&entry.service);
        let is_evacuated = self.evacuated_zones.contains(&entry.zone);
        let max_connections = service.map_or(DEFAULT_MAX_CONNECTIONS, |service| service.max_connections);
        let mut searcher = Searcher::new(now, entry, max_connections);
        searcher.cold_start = service.map_or(ColdStart::default(), |service| service.cold_start);
        searcher.set_evacuated(now, is_evacuated);
        searcher
    }

    /// Replaces the set of evacuated zones, whose searchers get no new work, and tries the waiting shards again,
    /// since a zone may have become available.
    pub(super) fn set_evacuated(&mut self, now: BootTime, zones: Vec<Arc<str>>, actions: &mut Vec<RoutingAction>) {
        self.evacuated_zones = zones;
        for searcher in &mut self.searchers {
            let is_evacuated = self.evacuated_zones.contains(&searcher.entry.zone);
            searcher.set_evacuated(now, is_evacuated);
        }
        let services = self.services_with_waiting_shards();
        services.iter().for_each(|service| self.send_waiting_shards(now, service, actions));
    }

    /// Marks a searcher whose entry has gone from the store. It is asked until `until` if no other can be.
    pub(super) fn mark_searcher_lapsed(&mut self, now: BootTime, instance: &Arc<str>, until: BootTime) {
        let Some(key) = self.by_instance.get(instance).copied() else {
            return;
        };
        let searcher = &mut self.searchers[key.0 as usize];
        searcher.mark_lapsed(until);
        let service = searcher.entry.service.clone();
        if let Some(listed) = self.by_service.get_mut(&service) {
            listed.retain(|known| self.searchers[known.0 as usize].is_listed(now));
        }
    }

    /// Excludes a searcher from further requests, since another process has its address or a newer incarnation has
    /// replaced it.
    pub(crate) fn mark_searcher_gone(&mut self, key: SearcherKey) {
        self.searchers[key.0 as usize].mark_gone();
        self.remove_from_service(key);
    }

    fn remove_from_service(&mut self, key: SearcherKey) {
        let service = &self.searchers[key.0 as usize].entry.service;
        if let Some(listed) = self.by_service.get_mut(service) {
            listed.retain(|known| *known != key);
        }
    }
}
