//! Handles the events of the simulation.

use super::{SimEvent, TICK, World};
use staircross_search::{LeafEvent, RootEvent};
use staircross_types::BootTime;

impl World {
    pub(super) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(node) => self.tick(node),
            SimEvent::Wake(node) => {
                self.nodes[node].wake_at = BootTime::FAR_FUTURE;
                if self.nodes[node].is_up {
                    self.root_event(node, RootEvent::Tick);
                }
            }
            SimEvent::Submit { node, run, submission } => {
                if self.is_run(node, run) {
                    self.root_event(node, RootEvent::Submit(*submission));
                }
            }
            SimEvent::BeginStop { node, run } => {
                if self.is_run(node, run) {
                    self.begin_stop(node);
                }
            }
            SimEvent::LeafRequest { node, run, from, request } => {
                if self.is_run(node, run) {
                    let from = self.nodes[from].id;
                    self.leaf_event(node, LeafEvent::Request { from, request });
                }
            }
            SimEvent::LeafCancel { node, run, from, attempt } => {
                if self.is_run(node, run) {
                    let from = self.nodes[from].id;
                    self.leaf_event(node, LeafEvent::Cancel { from, attempt });
                }
            }
            SimEvent::RootReply { node, run, reply } => {
                if self.is_run(node, run) {
                    self.nodes[node].routes.remove(&reply.attempt);
                    self.root_event(node, RootEvent::Reply(reply));
                }
            }
            SimEvent::WorkerSend { node, run, request, send_before } => {
                if self.is_run(node, run) {
                    self.worker_send(node, request, send_before);
                }
            }
            SimEvent::SearcherArrival { node, run, request, has_waited } => {
                self.searcher_arrival(node, run, request, has_waited);
            }
            SimEvent::SearcherDone { searcher, incarnation, node, run, request } => {
                if self.searchers[searcher].incarnation.0 == incarnation && self.searchers[searcher].is_up {
                    self.searcher_done(searcher, node, run, request);
                }
            }
            SimEvent::LeafReply { node, run, reply, incarnation } => {
                if self.is_run(node, run) && self.nodes[node].sends.remove(&reply.attempt).is_some() {
                    self.note_refusal_heard(&reply, incarnation);
                    self.leaf_event(node, LeafEvent::Reply { reply, run: incarnation });
                }
            }
            SimEvent::SendTimeout { node, run, attempt } => self.send_timeout(node, run, attempt),
            SimEvent::ProbeArrival { node, run, searcher, asked_at } => {
                self.probe_arrival(node, run, searcher, asked_at);
            }
            SimEvent::Probed { node, run, event } => {
                if self.is_run(node, run) {
                    self.leaf_event(node, event);
                }
            }
            SimEvent::View { node, view } => {
                if self.nodes[node].is_up {
                    self.leaf_event(node, LeafEvent::PeerView(view.clone()));
                    self.root_event(node, RootEvent::View(view));
                }
            }
            SimEvent::Services { node, services } => {
                if self.nodes[node].is_up {
                    self.root_event(node, RootEvent::Services(services));
                }
            }
            SimEvent::Members { node, members } => self.take_members(node, &members),
            SimEvent::ReadList { node } => {
                if self.nodes[node].is_up {
                    let listed = self.listed.clone();
                    self.leaf_event(node, LeafEvent::ListedAsLeaving(listed));
                }
            }
        }
    }

    /// Returns whether the node is up and in its start number `run`. Messages to an earlier start are dropped.
    pub(super) fn is_run(&self, node: usize, run: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].runs == run
    }

    pub(super) fn tick(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.root_event(node, RootEvent::Tick);
            self.leaf_event(node, LeafEvent::Tick);
            self.finish_stop_if_idle(node);
        }
        self.schedule(TICK, SimEvent::Tick(node));
    }

    pub(super) fn take_members(&mut self, node: usize, members: &[staircross_cluster::Member]) {
        if !self.nodes[node].is_up {
            return;
        }
        let services = &self.services;
        let ownership = staircross_cluster::ownership::OwnershipMap::compute(members.iter(), services.iter());
        let shares = ownership.shares_of(self.nodes[node].id);
        self.nodes[node].ownership = ownership;
        self.leaf_event(node, LeafEvent::Owned(shares));
        let listed = self.listed.clone();
        self.leaf_event(node, LeafEvent::ListedAsLeaving(listed));
    }
}
