//! Faults, configuration changes, drains, restarts and planned stops of the simulated fleet.
//!
//! The public functions take any number for a node, searcher or service and use it modulo the number that exist.

use super::{SimEvent, World, place_shards};
use crate::sim::network::Endpoint;
use crate::sim::records::UncleanStop;
use crate::sim::searcher::ReplyFault;
use rand::Rng;
use staircross_search::{LeafEvent, RootEvent, SubOutcome, SubReply, UnknownReason};
use staircross_types::{SearcherId, ShardMap, Snapshot};
use std::time::Duration;

/// Shortest time between the beginning of a planned stop and its end, during which the node still accepts requests. It
/// equals `STOP_LINGER` of the node's runtime.
const STOP_LINGER: Duration = Duration::from_millis(1500);
/// Number of consecutive ticks without anything in flight after which a stopping node ends, as in the node's runtime.
const IDLE_TICKS_TO_END: u32 = 6;

impl World {
    fn service_index(&self, service: usize) -> usize {
        service % self.services.len()
    }

    /// Lists a new snapshot of a service in the configuration. Each searcher loads it later, by
    /// [`World::load_listed_snapshots`].
    ///
    /// With `shards`, the index is repartitioned into that number of shards.
    pub fn publish_snapshot(&mut self, service: usize, shards: Option<u32>) {
        let index = self.service_index(service);
        let newest = self.services[index].shard_maps.iter().map(|map| map.snapshot).max();
        let Some(newest) = newest else {
            return;
        };
        let repartitioned = shards.is_some();
        let snapshot = Snapshot {
            version: newest.version + u64::from(!repartitioned),
            epoch: newest.epoch + u64::from(repartitioned),
            build: newest.build + 1,
        };
        let count = shards.unwrap_or(self.settings.services[index].shards);
        let replicas = self.settings.services[index].replicas;
        let mut ids: Vec<SearcherId> = self.services[index].searchers.iter().map(|searcher| searcher.id).collect();
        // Each snapshot gets another random placement, because a repartition also moves shards.
        let shift = self.random.random_range(0..ids.len());
        ids.rotate_left(shift);
        let map = place_shards(snapshot, count, replicas, &ids);
        self.history.maps.insert((self.services[index].name.clone(), snapshot), map.clone());
        self.services[index].shard_maps.push(map);
        self.announce_services(self.settings.update_delay);
    }

    /// Makes one searcher load its shards of every snapshot that the configuration lists.
    pub fn load_listed_snapshots(&mut self, searcher: usize) {
        let index = searcher % self.searchers.len();
        let id = self.searchers[index].id;
        let maps: Vec<ShardMap> = self
            .services
            .iter()
            .filter(|service| service.searchers.iter().any(|searcher| searcher.id == id))
            .flat_map(|service| service.shard_maps.iter().cloned())
            .collect();
        for map in maps {
            self.load_shards(index, &map);
        }
    }

    /// Makes one searcher drop its oldest snapshot, unless it is the only one.
    pub fn drop_oldest_snapshot(&mut self, searcher: usize) {
        let index = searcher % self.searchers.len();
        if self.searchers[index].shards_by_snapshot.len() > 1 {
            self.searchers[index].shards_by_snapshot.pop_first();
        }
    }

    /// Removes the oldest snapshot of a service from the configuration, unless it is the only one.
    pub fn unlist_oldest_snapshot(&mut self, service: usize) {
        let index = self.service_index(service);
        let maps = &mut self.services[index].shard_maps;
        if maps.len() > 1 {
            maps.sort_by_key(|map| map.snapshot);
            maps.remove(0);
            self.announce_services(self.settings.update_delay);
        }
    }

    /// Makes a searcher drain and refuse new work. With `hides_draining`, its state endpoint hides that.
    pub fn drain_searcher(&mut self, searcher: usize, hides_draining: bool) {
        let index = searcher % self.searchers.len();
        let now = self.now;
        let searcher = &mut self.searchers[index];
        if !searcher.is_up || searcher.is_draining {
            return;
        }
        searcher.is_draining = true;
        searcher.hides_draining = hides_draining;
        // If the state endpoint hides the drain, no node can know of it before the first refusal.
        if !searcher.hides_draining {
            searcher.leaving_since.get_or_insert(now);
        }
    }

    /// Makes the platform list a searcher as leaving. The searcher itself does not know of it and still accepts work.
    pub fn list_leaving(&mut self, searcher: usize) {
        let index = searcher % self.searchers.len();
        let now = self.now;
        self.searchers[index].leaving_since.get_or_insert(now);
        self.listed_as_leaving.insert(self.searchers[index].id);
        for node in 0..self.nodes.len() {
            let delay = self.draw_delay_up_to(Duration::from_secs(1));
            self.schedule(delay, SimEvent::ReadLeavingList { node });
        }
    }

    /// Crashes a searcher.
    pub fn crash_searcher(&mut self, searcher: usize) {
        let index = searcher % self.searchers.len();
        self.searchers[index].is_up = false;
    }

    /// Restarts a searcher as a new, cold incarnation, and removes it from the platform's list of leaving searchers.
    pub fn restart_searcher(&mut self, searcher: usize) {
        let index = searcher % self.searchers.len();
        let now = self.now;
        let id = self.searchers[index].id;
        self.listed_as_leaving.remove(&id);
        self.searchers[index].restart(now);
        for node in 0..self.nodes.len() {
            self.schedule(Duration::from_millis(500), SimEvent::ReadLeavingList { node });
        }
    }

    /// Pauses the process of a searcher for `span`.
    pub fn pause_searcher(&mut self, searcher: usize, span: Duration) {
        let index = searcher % self.searchers.len();
        let until = self.now + span;
        self.searchers[index].paused_until = self.searchers[index].paused_until.max(until);
    }

    /// Applies a fault to the next `count` replies of a searcher, after the faults that are queued already.
    pub fn add_reply_faults(&mut self, searcher: usize, fault: ReplyFault, count: usize) {
        let index = searcher % self.searchers.len();
        for _ in 0..count {
            self.searchers[index].reply_faults.push_back(fault);
        }
    }

    /// Makes a searcher's replica of the first shard of its newest snapshot slower by `factor`. A factor of 1 or less
    /// returns all replicas at the searcher to normal speed.
    pub fn slow_replica(&mut self, searcher: usize, factor: f64) {
        let index = searcher % self.searchers.len();
        let newest_shards = self.searchers[index].shards_by_snapshot.values().next_back();
        let shard = newest_shards.and_then(|shards| shards.iter().next().copied());
        match shard {
            Some(shard) if factor > 1.0 => {
                self.searchers[index].work_time.slow_replicas.insert(shard, factor);
            }
            _ => self.searchers[index].work_time.slow_replicas.clear(),
        }
    }

    /// Pauses the process of a node for `span`, and extends the due times of its open requests.
    pub fn pause_node(&mut self, node: usize, span: Duration) {
        let index = node % self.nodes.len();
        let until = self.now + span;
        if !self.nodes[index].is_up {
            return;
        }
        self.nodes[index].paused_until = self.nodes[index].paused_until.max(until);
        let id = self.nodes[index].id;
        let own = self.history.requests.values_mut().filter(|record| record.request.node == id);
        for record in own.filter(|record| record.outcomes.is_empty()) {
            record.outcome_due = record.outcome_due + span;
        }
    }

    /// Crashes a node. All its state is lost.
    pub fn crash_node(&mut self, node: usize) {
        let index = node % self.nodes.len();
        if !self.nodes[index].is_up {
            return;
        }
        self.nodes[index].is_up = false;
        let id = self.nodes[index].id;
        for record in self.history.requests.values_mut().filter(|record| record.request.node == id) {
            record.node_crashed |= record.outcomes.is_empty();
        }
        self.open_requests.retain(|(node, _), _| *node != index);
        self.break_connections_to(index);
        self.clear_unobserved_leaving();
        let updates = self.settings.update_delay + Duration::from_secs(3);
        self.announce_members(updates);
    }

    /// Clears the leaving time of each searcher that hides its drain and that no remaining node knows to be leaving.
    /// The next refusal sets it again.
    fn clear_unobserved_leaving(&mut self) {
        for index in 0..self.searchers.len() {
            let id = self.searchers[index].id;
            let knows =
                |node: &super::SimNode| node.is_up && node.root.views().any(|view| view.searcher == id && view.leaving);
            let is_known = self.nodes.iter().any(knows) || self.listed_as_leaving.contains(&id);
            if self.searchers[index].hides_draining && !is_known {
                self.searchers[index].leaving_since = None;
            }
        }
    }

    /// Breaks connections to a crashed node. The roots of other nodes learn that the outcomes of the sub-requests that
    /// they sent there are unknown.
    fn break_connections_to(&mut self, dead: usize) {
        for node in 0..self.nodes.len() {
            let lost: Vec<_> = {
                let attempt_targets = self.nodes[node].attempt_targets.iter();
                attempt_targets.filter(|(_, target)| **target == dead).map(|(attempt, _)| *attempt).collect()
            };
            for attempt in lost {
                let Some((searcher, snapshot)) = self.nodes[node].root.attempt_target(attempt) else {
                    continue;
                };
                // Some connections break at once. On the others no reply and no error ever comes.
                if self.random.random_bool(0.7) {
                    let outcome = SubOutcome::Unknown(UnknownReason::Broken);
                    let reply = SubReply { attempt, searcher, snapshot, outcome, worked: Default::default() };
                    let generation = self.nodes[node].generation;
                    let delay = self.draw_delay_up_to(Duration::from_millis(5));
                    self.schedule(delay, SimEvent::RootReply { node, generation, reply });
                }
            }
        }
    }

    /// Starts a node that is down, with empty state and a new id.
    pub fn start_node(&mut self, node: usize) {
        let index = node % self.nodes.len();
        if self.nodes[index].is_up {
            return;
        }
        let generation = self.nodes[index].generation + 1;
        let zone = self.nodes[index].zone;
        self.nodes[index] = self.new_node(index, zone, generation);
        self.announce_members(self.settings.update_delay);
        self.announce_services(self.settings.update_delay);
        self.resend_views(index);
    }

    /// Sends all views that live nodes have of searchers to one node.
    fn resend_views(&mut self, node: usize) {
        let mut views: Vec<_> = self
            .nodes
            .iter()
            .filter(|other| other.is_up)
            .flat_map(|other| other.root.views().cloned())
            .filter(|view| view.report.is_some())
            .collect();
        // The engine keeps views in a hash map, and the simulation must not depend on its iteration order.
        views.sort_by_key(|view| view.searcher);
        for view in views {
            let delay = self.draw_delay_up_to(self.settings.update_delay);
            self.schedule(delay, SimEvent::View { node, view });
        }
    }

    /// Begins a planned stop of a node, unless it is the last one that is up and not stopping.
    pub fn stop_node(&mut self, node: usize) {
        let index = node % self.nodes.len();
        let staying = self.nodes.iter().filter(|node| node.is_up && !node.is_stopping).count();
        if !self.nodes[index].is_up || self.nodes[index].is_stopping || staying < 2 {
            return;
        }
        // A paused process handles the signal when it wakes, so the stop begins through an event.
        self.nodes[index].is_stopping = true;
        let generation = self.nodes[index].generation;
        self.schedule(Duration::ZERO, SimEvent::BeginStop { node: index, generation });
    }

    /// Marks a node as stopping, passes the stop to its leaf engine and announces the change to all nodes.
    pub(super) fn begin_stop(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].stopping_since = Some(now);
        self.handle_leaf_event(node, LeafEvent::Stop);
        self.announce_members(self.settings.update_delay);
    }

    /// Ends a stopping node once its engines have reported for long enough that nothing is in flight.
    pub(super) fn finish_stop_if_idle(&mut self, node: usize) {
        let since = self.nodes[node].stopping_since;
        if since.is_none_or(|since| self.now.since(since) < STOP_LINGER) {
            return;
        }
        let is_idle = self.nodes[node].root.in_flight() == 0 && self.nodes[node].leaf.in_flight() == 0;
        self.nodes[node].idle_ticks = if is_idle { self.nodes[node].idle_ticks + 1 } else { 0 };
        if self.nodes[node].idle_ticks < IDLE_TICKS_TO_END {
            return;
        }
        // The engines may be wrong about what is in flight, so the simulation's own records decide.
        let id = self.nodes[node].id;
        let unfinished = self
            .history
            .requests
            .values()
            .filter(|record| record.request.node == id && record.outcomes.is_empty() && !record.node_crashed);
        let requests = unfinished.count();
        let sub_requests = self.nodes[node].open_calls.len();
        if requests + sub_requests > 0 {
            self.history.unclean_stops.push(UncleanStop { requests, sub_requests });
        }
        self.nodes[node].is_up = false;
        self.nodes[node].is_stopping = false;
        self.nodes[node].stopping_since = None;
        self.clear_unobserved_leaving();
        self.announce_members(self.settings.update_delay);
    }

    /// Drops all messages from `from` to `to`, and with `both` also those in the other direction.
    pub fn cut_network(&mut self, from: Endpoint, to: Endpoint, both: bool) {
        self.network.cut(from, to);
        if both {
            self.network.cut(to, from);
        }
    }

    /// Removes all network cuts.
    pub fn heal_network(&mut self) {
        self.network.heal();
    }

    /// Reports to a node that the caller of its oldest open request has disconnected, unless the node is down or
    /// paused.
    pub fn disconnect_oldest_caller(&mut self, node: usize) {
        let index = node % self.nodes.len();
        let id = self.nodes[index].id;
        let oldest = self
            .history
            .requests
            .values()
            .find(|record| record.request.node == id && record.outcomes.is_empty())
            .map(|record| record.request);
        let is_awake = self.nodes[index].is_up && self.now >= self.nodes[index].paused_until;
        if let Some(request) = oldest.filter(|_| is_awake) {
            self.handle_root_event(index, RootEvent::CallerGone(request));
        }
    }

    /// Returns the number of nodes, including those that are down.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of searchers, including those that are down.
    pub fn searcher_count(&self) -> usize {
        self.searchers.len()
    }
}
