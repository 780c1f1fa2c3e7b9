//! Handles the events of the simulation.

use super::{SimEvent, TICK_INTERVAL, World};
use staircross_search::{LeafEvent, RootEvent};
use staircross_types::BootTime;

impl World {
    pub(super) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(node) => self.handle_tick(node),
            SimEvent::Wake(node) => {
                self.nodes[node].wake_at = BootTime::FAR_FUTURE;
                if self.nodes[node].is_up {
                    self.handle_root_event(node, RootEvent::Tick);
                }
            }
            SimEvent::Submit { node, generation, submission } => {
                if self.is_current_generation(node, generation) {
                    self.handle_root_event(node, RootEvent::Submit(*submission));
                }
            }
            SimEvent::BeginStop { node, generation } => {
                if self.is_current_generation(node, generation) {
                    self.begin_stop(node);
                }
            }
            SimEvent::LeafRequest { node, generation, from, request } => {
                if self.is_current_generation(node, generation) {
                    let from = self.nodes[from].id;
                    self.handle_leaf_event(node, LeafEvent::Request { from, request });
                }
            }
            SimEvent::LeafCancel { node, generation, from, attempt } => {
                if self.is_current_generation(node, generation) {
                    let from = self.nodes[from].id;
                    self.handle_leaf_event(node, LeafEvent::Cancel { from, attempt });
                }
            }
            SimEvent::RootReply { node, generation, reply } => {
                if self.is_current_generation(node, generation) {
                    self.nodes[node].attempt_targets.remove(&reply.attempt);
                    self.handle_root_event(node, RootEvent::Reply(reply));
                }
            }
            SimEvent::WorkerSend { node, generation, request, send_before } => {
                if self.is_current_generation(node, generation) {
                    self.handle_worker_send(node, request, send_before);
                }
            }
            SimEvent::SearcherArrival { node, generation, request, has_waited } => {
                self.handle_searcher_arrival(node, generation, request, has_waited);
            }
            SimEvent::SearcherDone { searcher, incarnation, node, generation, request } => {
                if self.searchers[searcher].incarnation.0 == incarnation && self.searchers[searcher].is_up {
                    self.handle_searcher_done(searcher, node, generation, request);
                }
            }
            SimEvent::CallResult { node, generation, reply, incarnation } => {
                if self.is_current_generation(node, generation)
                    && self.nodes[node].open_calls.remove(&reply.attempt).is_some()
                {
                    self.set_leaving_on_refusal(&reply, incarnation);
                    self.handle_leaf_event(node, LeafEvent::Reply { reply, incarnation });
                }
            }
            SimEvent::CallTimeout { node, generation, attempt } => self.handle_call_timeout(node, generation, attempt),
            SimEvent::ProbeArrival { node, generation, searcher, asked_at } => {
                self.handle_probe_arrival(node, generation, searcher, asked_at);
            }
            SimEvent::Probed { node, generation, event } => {
                if self.is_current_generation(node, generation) {
                    self.handle_leaf_event(node, event);
                }
            }
            SimEvent::View { node, view } => {
                if self.nodes[node].is_up {
                    self.handle_leaf_event(node, LeafEvent::PeerView(view.clone()));
                    self.handle_root_event(node, RootEvent::View(view));
                }
            }
            SimEvent::Services { node, services } => {
                if self.nodes[node].is_up {
                    self.handle_root_event(node, RootEvent::Services(services));
                }
            }
            SimEvent::Members { node, members } => self.handle_members(node, &members),
            SimEvent::ReadLeavingList { node } => {
                if self.nodes[node].is_up {
                    let listed = self.listed_as_leaving.clone();
                    self.handle_leaf_event(node, LeafEvent::ListedAsLeaving(listed));
                }
            }
        }
    }

    /// Returns whether the node is up and still in this generation. Messages to an earlier generation are dropped.
    pub(super) fn is_current_generation(&self, node: usize, generation: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].generation == generation
    }

    pub(super) fn handle_tick(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.handle_root_event(node, RootEvent::Tick);
            self.handle_leaf_event(node, LeafEvent::Tick);
            self.finish_stop_if_idle(node);
        }
        self.schedule(TICK_INTERVAL, SimEvent::Tick(node));
    }

    /// Computes from the members which node owns which searchers. Passes the node's shares and the platform's list of
    /// leaving searchers to its leaf.
    pub(super) fn handle_members(&mut self, node: usize, members: &[staircross_cluster::Member]) {
        if !self.nodes[node].is_up {
            return;
        }
        let services = &self.services;
        let ownership = staircross_cluster::ownership::OwnershipMap::compute(members.iter(), services.iter());
        let shares = ownership.shares_of(self.nodes[node].id);
        self.nodes[node].ownership = ownership;
        self.handle_leaf_event(node, LeafEvent::Owned(shares));
        let listed = self.listed_as_leaving.clone();
        self.handle_leaf_event(node, LeafEvent::ListedAsLeaving(listed));
    }
}
