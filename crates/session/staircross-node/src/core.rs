//! The core thread, which owns the sans-IO engines of a node.
//!
//! The engines make all decisions of the node, one event at a time, on this single thread. This
//! module only passes events to the engines and executes the actions that they return; it makes
//! no decisions about requests or configuration.

mod callers;
mod config;
mod outdated_view;
mod pending;
mod readiness;
mod requests;
mod session_replication;
mod sessions;
mod show;

use crate::event::CoreEvent;
use crate::front_message::{FrontMessage, FrontSender};
use crate::logs::Logs;
use crate::metrics::Metrics;
use crate::peers::PeerTransport;
use crate::platform::ReadTrigger;
use crate::searchers::SearcherConnections;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use hashbrown::HashMap;
use outdated_view::HeldCommand;
use pending::PendingRequest;
use session_replication::SessionReplication;
use sessions::{DelayedReply, SessionLookup};
use staircross_cluster::{ClusterEngine, ClusterEvent, ClusterSettings, Member, MemberState};
use staircross_config::{MachineList, MachineState, Settings};
use staircross_search::root::RootCounters;
use staircross_search::{
    Confirmation, LeafEngine, LeafEvent, LeafSettings, OutdatedView, RootEngine, RootEvent, RootSettings,
};
use staircross_types::boot_clock as clock;
use staircross_types::{AttemptId, BootTime, NodeId, SessionToken};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval between ticks of the engines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound of the queued events that are handled before the timers are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;
/// Time during which a stopping node still accepts requests of its sessions, so that callers learn from the
/// replies which node to use next.
const STOP_LINGER: Duration = Duration::from_millis(1500);
/// Longest time that a stopping node waits until the copies of its sessions are confirmed.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Consecutive ticks without any work in flight after which a stopping node stops listening. Ticks are counted
/// instead of time because after a pause of this process, its sockets may hold requests that it has
/// not read yet.
const IDLE_TICKS_TO_CLOSE: u32 = 6;

/// The engines of a node, the connections that they use, and the requests and sessions in progress.
pub struct Core {
    node: NodeId,
    settings: Settings,
    logs: Logs,
    metrics: Metrics,
    events: Receiver<CoreEvent>,
    peers: PeerTransport,
    searchers: SearcherConnections,
    root: RootEngine,
    leaf: LeafEngine,
    cluster: ClusterEngine,
    /// Sequence number of the next request.
    next_sequence: u64,
    /// Requests in progress, by sequence number.
    pending: HashMap<u64, PendingRequest>,
    delayed_replies: Vec<DelayedReply>,
    session_lookups: HashMap<SessionToken, SessionLookup>,
    session_replication: SessionReplication,
    /// Id of the next session lookup.
    next_lookup_id: u64,
    /// Attempts sent to other nodes, each with the peer address of the node to which it was sent.
    remote_attempts: HashMap<AttemptId, SocketAddr>,
    machines: MachineList,
    /// Whether this process has stood still and must read the platform first.
    outdated_view: OutdatedView,
    /// Commands that wait until what this node knows is current again.
    held_commands: Vec<HeldCommand>,
    platform: ReadTrigger,
    next_tick: BootTime,
    /// Time since which the node can serve requests.
    serves_since: Option<BootTime>,
    /// Whether callers may be directed to this node. It stays so until a planned stop begins.
    is_ready: bool,
    stopping_since: Option<BootTime>,
    /// Consecutive ticks at which a stopping node had nothing to wait for.
    idle_ticks: u32,
    /// The HTTP server, which sends the replies to callers.
    front: FrontSender,
    /// Whether the HTTP server has ended, so that no further command can come.
    has_front_ended: bool,
    /// Values of the root engine's counters that the metrics already include.
    last_counters: RootCounters,
    stop: Arc<AtomicBool>,
}

/// Arguments of [`Core::new`].
pub struct CoreParts {
    /// Id of this incarnation of the node.
    pub node: NodeId,
    /// Settings of the node.
    pub settings: Settings,
    /// Loggers of the node.
    pub logs: Logs,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Channel from which the core receives its events.
    pub events: Receiver<CoreEvent>,
    /// Connections to other nodes.
    pub peers: PeerTransport,
    /// Connections to searchers.
    pub searchers: SearcherConnections,
    /// Has the platform read at once.
    pub platform: ReadTrigger,
    /// Sends messages to the HTTP server.
    pub front: FrontSender,
    /// Flag that the core sets when it has ended, so that the node's other threads end too.
    pub stop: Arc<AtomicBool>,
}

impl Core {
    /// Creates the engines with the node's settings and random seeds.
    pub fn new(parts: CoreParts) -> Self {
        let me = Member {
            node: parts.node,
            peer_address: parts.settings.node.peer_listen,
            caller_address: parts.settings.node.listen,
            region: parts.settings.node.region.clone(),
            zone: parts.settings.node.zone.clone(),
            state: MemberState::Alive,
            version: 1,
            is_ready: true,
        };
        let seeds = match parts.settings.node.seeds.as_slice() {
            [] => vec![parts.settings.node.peer_listen],
            seeds => seeds.to_vec(),
        };
        let root_settings = RootSettings { sessions: parts.settings.limits.sessions, ..RootSettings::default() };
        Core {
            node: parts.node,
            root: RootEngine::new(parts.node, root_settings, rand::random()),
            leaf: LeafEngine::new(LeafSettings::default()),
            cluster: ClusterEngine::new(ClusterSettings::new(me, seeds), rand::random()),
            settings: parts.settings,
            logs: parts.logs,
            metrics: parts.metrics,
            events: parts.events,
            peers: parts.peers,
            searchers: parts.searchers,
            next_sequence: 1,
            pending: HashMap::new(),
            delayed_replies: Vec::new(),
            session_lookups: HashMap::new(),
            session_replication: SessionReplication::default(),
            next_lookup_id: 1,
            remote_attempts: HashMap::new(),
            machines: MachineList::default(),
            outdated_view: OutdatedView::new(clock::now()),
            held_commands: Vec::new(),
            platform: parts.platform,
            next_tick: BootTime::default(),
            serves_since: None,
            is_ready: false,
            stopping_since: None,
            idle_ticks: 0,
            front: parts.front,
            has_front_ended: false,
            last_counters: RootCounters::default(),
            stop: parts.stop,
        }
    }

    /// Handles events until the HTTP server has ended, which it does at the end of a planned stop. Then announces to the
    /// other nodes that this one has left.
    pub fn run(mut self) {
        while !self.has_front_ended {
            let wait = self.time_until_wake();
            match self.events.recv_timeout(wait) {
                Ok(event) => {
                    self.on_event(event);
                    self.handle_queued_events();
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.run_timers();
        }
        let mut actions = Vec::new();
        self.cluster.on_event(clock::now(), ClusterEvent::Left, &mut actions);
        self.execute_cluster_actions(actions);
        self.stop.store(true, Ordering::Release);
    }

    fn handle_queued_events(&mut self) {
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.on_event(event);
        }
    }

    fn time_until_wake(&self) -> Duration {
        let now = clock::now();
        let tick = now.until(self.next_tick);
        self.root.next_wake().map_or(tick, |wake| now.until(wake).min(tick))
    }

    fn on_event(&mut self, event: CoreEvent) {
        // The clock is read for each event because the process may have been paused since the previous one.
        let now = self.read_clock();
        match event {
            CoreEvent::Caller { command, reply } => self.hold_or_execute(now, command, reply),
            CoreEvent::Peer(message) => self.on_peer_message(now, message),
            CoreEvent::PeerBroken(address) => self.on_peer_broken(now, address),
            CoreEvent::Undelivered { request, partly_written } => self.on_undelivered(now, &request, partly_written),
            CoreEvent::SearcherReplied { reply, incarnation } => {
                self.handle_leaf_event(now, LeafEvent::Reply { reply, incarnation });
            }
            CoreEvent::Probed { searcher, asked_at, report } => {
                self.handle_leaf_event(now, LeafEvent::Probed { searcher, asked_at, report });
            }
            CoreEvent::Platform { document, asked_at } => {
                self.handle_cluster_event(now, ClusterEvent::Platform(document));
                self.record_confirmation(now, Confirmation::Document, asked_at);
            }
            CoreEvent::Machines { list, asked_at } => {
                self.machines = list;
                self.update_leaving_searchers(now);
                self.record_confirmation(now, Confirmation::Machines, asked_at);
            }
            CoreEvent::Stop => self.begin_stop(now),
            CoreEvent::FrontEnded => self.has_front_ended = true,
        }
    }

    /// Runs the root engine's timers, and every [`TICK_INTERVAL`] those of the other engines and of this module.
    fn run_timers(&mut self) {
        let now = self.read_clock();
        self.recover_view(now);
        self.handle_root_event(now, RootEvent::Tick);
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.handle_cluster_event(now, ClusterEvent::Tick);
        self.handle_leaf_event(now, LeafEvent::Tick);
        self.expire_delayed_replies(now);
        self.expire_session_lookups(now);
        self.resend_unconfirmed_copies(now);
        self.update_readiness(now);
        self.update_metrics();
        self.idle_ticks = if self.is_idle(now) { self.idle_ticks + 1 } else { 0 };
        if self.idle_ticks == IDLE_TICKS_TO_CLOSE {
            self.front.send(FrontMessage::StopListening);
        }
    }

    fn handle_root_event(&mut self, now: BootTime, event: RootEvent) {
        let mut actions = Vec::new();
        self.root.on_event(now, event, &mut actions);
        self.execute_root_actions(now, actions);
    }

    fn handle_leaf_event(&mut self, now: BootTime, event: LeafEvent) {
        let mut actions = Vec::new();
        self.leaf.on_event(now, event, &mut actions);
        self.execute_leaf_actions(now, actions);
    }

    fn handle_cluster_event(&mut self, now: BootTime, event: ClusterEvent) {
        let mut actions = Vec::new();
        self.cluster.on_event(now, event, &mut actions);
        self.execute_cluster_actions(actions);
    }

    /// Begins a planned stop. If one has begun, this only writes a log line.
    fn begin_stop(&mut self, now: BootTime) {
        if self.stopping_since.is_some() {
            spdlog::info!(logger: self.logs.cluster, "event=stop_again in_flight={}", self.root.in_flight());
            return;
        }
        spdlog::info!(logger: self.logs.cluster, "event=stop_begins in_flight={}", self.root.in_flight());
        self.stopping_since = Some(now);
        self.front.send(FrontMessage::StopBegun);
        self.handle_cluster_event(now, ClusterEvent::Leave);
        self.handle_leaf_event(now, LeafEvent::Stop);
    }

    /// Returns whether a planned stop began at least [`STOP_LINGER`] ago, so that the node refuses further requests.
    fn is_lingering_over(&self, now: BootTime) -> bool {
        self.stopping_since.is_some_and(|since| now.since(since) >= STOP_LINGER)
    }

    /// Returns whether the node is stopping and has nothing left to wait for at this moment.
    ///
    /// The wait for requests in flight ends because each request has a bounded wait time.
    fn is_idle(&self, now: BootTime) -> bool {
        if self.stopping_since.is_none() {
            return false;
        }
        let is_busy = self.root.in_flight() > 0
            || self.leaf.in_flight() > 0
            || !self.held_commands.is_empty()
            || !self.delayed_replies.is_empty()
            || !self.session_lookups.is_empty();
        !is_busy && self.is_lingering_over(now) && self.has_handed_sessions_over(now)
    }

    /// Returns whether the keepers of this node's sessions have confirmed their copies, or have had enough time to.
    fn has_handed_sessions_over(&self, now: BootTime) -> bool {
        let is_time_over = self.stopping_since.is_some_and(|since| now.since(since) >= HANDOVER_TIMEOUT);
        is_time_over || self.session_replication.is_complete()
    }

    /// Passes to the leaf engine which searchers the machine list marks as leaving or operators have drained.
    fn update_leaving_searchers(&mut self, now: BootTime) {
        let leaving_addresses: BTreeSet<SocketAddr> = self
            .machines
            .machines
            .iter()
            .filter(|machine| machine.state == MachineState::Leaving)
            .map(|machine| machine.address)
            .collect();
        let Some(document) = self.cluster.config() else {
            return;
        };
        let mut leaving_or_drained = document.drained.clone();
        let searchers = document.services.iter().flat_map(|service| &service.searchers);
        let on_leaving_machines = searchers.filter(|searcher| leaving_addresses.contains(&searcher.address));
        leaving_or_drained.extend(on_leaving_machines.map(|searcher| searcher.id));
        self.handle_leaf_event(now, LeafEvent::ListedAsLeaving(leaving_or_drained));
    }

    fn update_metrics(&mut self) {
        let counters = self.root.counters;
        self.metrics.add_root_counters(self.last_counters, counters);
        self.last_counters = counters;
        self.metrics.sessions.set(self.root.sessions.len() as i64);
        self.metrics.in_flight.set(self.root.in_flight() as i64);
        self.metrics.revision.set(self.cluster.revision() as i64);
        let members = self.cluster.members().filter(|member| member.takes_work()).count();
        self.metrics.members.set(members as i64);
    }
}
