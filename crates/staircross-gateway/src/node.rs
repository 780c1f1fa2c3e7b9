//! The event loop that carries events and actions between sockets and engines.
//!
//! One thread, one poll. A turn takes signals, then the events of sockets in [`TURN_ORDER`], then what is due
//! by the clock; every [`TICK`] it looks besides at what has no exact time of its own.
//!
//! [`GatewayNode`] owns the sockets (server, pool, calls to the store and to peers, datagrams) and the engines that
//! decide; it carries what comes in to the engines, and carries out what they order. It relies on the engines being
//! sans-IO: they get the time with each event and never block. The modules below carry one subject each.

mod attempts;
mod caller_request;
mod change_log;
mod endpoints;
mod knowledge;
mod recording;
mod reload;
mod request_log;
mod requests;
mod setup;
mod stop;
mod summary;
mod unreadable;
mod view;

use crate::case_pushes::CasePushes;
use crate::dialect::Dialect;
use crate::event_log::{EventLog, LineKind};
use crate::fleet::{Fleet, FleetIdentity};
use crate::http_call::HttpCaller;
use crate::load::LoadMeter;
use crate::metrics::Metrics;
use crate::peer_answers::RecentPeerAnswers;
use crate::pool::Pool;
use crate::recorder::Recorder;
use crate::server::{Server, ServerTimes};
use crate::settings::{GatewaySettings, SettingsError, SettingsFile};
use crate::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use crate::store_role::RoleKeeper;
use crate::traffic::Traffic;
use crate::unreadable_log::UnreadableLog;
use caller_request::CallerRequests;
use change_log::MemberLog;
use mio::event::Event;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll};
use quick_error::quick_error;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use setup::{listeners, routing_settings};
use staircross_http::ServerLimits;
use staircross_routing::Mirror;
use staircross_routing::engine::{RoutingEngine, RoutingEvent};
use staircross_routing::store_reader::{ReadingMode, StoreCall, StoreReader};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, NodeId};
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use stop::StopState;
use summary::SUMMARY_EVERY;

/// Order in which the events of one turn are handled, by kind of socket. A process that wakes late finds old
/// and new events side by side in any order.
const TURN_ORDER: [&[SocketKind]; 3] = [
    // What has changed, so that whatever is decided in this turn is decided by it.
    &[SocketKind::Store, SocketKind::Peer, SocketKind::Datagrams],
    // Answers of searchers, so that requests in flight end, and what searchers report counts for the next ones.
    &[SocketKind::Searcher],
    // New requests, last.
    &[SocketKind::Listener, SocketKind::Inbound],
];

/// Events taken from the poll at once; those beyond come with the next turn. Not measured; chosen for the
/// descriptors that a node has by default.
const EVENTS: usize = 1024;
/// Events handled before the clock is read again, so that a long turn doesn't take its start for now. Not
/// measured; chosen so that reading the clock costs little beside the work.
const EVENTS_PER_CLOCK: usize = 16;
/// Time between looks at what has no exact time of its own: sweeps, readiness, roles, summaries. Not measured;
/// chosen short beside what it looks at, which takes some hundred milliseconds and more.
const TICK: Duration = Duration::from_millis(50);
/// Life of a process that isn't the fleet's first during which fresh connections to searchers are proved:
/// its machine may have lost power, and searchers still hold the connections of its run before.
const STARTUP: Duration = Duration::from_secs(20);
/// Life of such a process during which it looks for searchers again soon after each update on them.
const READER_STARTUP: Duration = Duration::from_secs(3);
/// Longest answer of a searcher, in bytes. Not measured; chosen so that one answer is a small share of a
/// process's default memory.
const MAX_ANSWER: usize = 8 * 1024 * 1024;

quick_error! {
    /// Why a gateway node can't start.
    #[derive(Debug)]
    pub enum GatewayError {
        /// A setting is invalid.
        Settings(error: SettingsError) {
            from()
            display("{error}")
        }
        /// An address can't be listened on, or the system lacks something.
        Io { what: String, error: io::Error } {
            display("{what}: {error}")
        }
    }
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
    let what = what.into();
    move |error| GatewayError::Io { what, error }
}

/// What the outside asks of a running node.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Stop as planned.
    pub stop: Arc<AtomicBool>,
    /// Read the settings again.
    pub reload: Arc<AtomicBool>,
}

/// A node.
pub struct GatewayNode<D: Dialect> {
    dialect: D,
    settings: GatewaySettings,
    signals: Signals,
    settings_file: SettingsFile,
    next_file_look: BootTime,
    poll: Poll,
    buffer: Box<[u8; READ_CHUNK]>,
    now: BootTime,
    started: BootTime,
    server: Server,
    pool: Pool,
    fleet: Fleet,
    store: [HttpCaller; 3],
    store_calls: [Option<StoreCall>; 3],
    /// When the last call of each lane was made.
    store_called_at: [BootTime; 3],
    peer: HttpCaller,
    reader: StoreReader,
    role: RoleKeeper,
    mirror: Mirror,
    unreadable_log: UnreadableLog,
    engine: RoutingEngine,
    requests: CallerRequests,
    next_tick: BootTime,
    load: LoadMeter,
    is_ready: bool,
    is_pressed: bool,
    is_serving: bool,
    /// Whether the configuration hasn't been confirmed for longer than it may be.
    is_view_old: bool,
    stop: Option<StopState>,
    recorder: Option<Recorder>,
    log: EventLog,
    metrics: Metrics,
    member_log: MemberLog,
    /// Whether peers are to be told at once under which requests searchers were lost, and when they may be.
    case_pushes: CasePushes,
    /// Answers sent to peers lately.
    peer_answers: RecentPeerAnswers,
    /// Bytes to and from store and peers.
    traffic: Traffic,
    next_summary: BootTime,
    random: ChaCha8Rng,
}

impl<D: Dialect> GatewayNode<D> {
    /// Reads the settings and binds all addresses. `signals` are looked at while the node runs.
    pub fn start(mut settings_file: SettingsFile, dialect: D, signals: Signals) -> Result<Self, GatewayError> {
        let settings = settings_file.load()?;
        let now = clock::now();
        let poll = Poll::new().map_err(io_error("poll"))?;
        let mut server = Server::new(settings.caller_connections());
        for (endpoint, name, address) in listeners(&settings) {
            server.listen(endpoint, address, poll.registry()).map_err(io_error(format!("{name} {address}")))?;
        }
        let peers = settings.listen.peers;
        let mut socket = UdpSocket::bind(peers).map_err(io_error(format!("listen.peers {peers} (datagrams)")))?;
        let id = SocketId { kind: SocketKind::Datagrams, generation: 0, slot: 0 };
        poll.registry().register(&mut socket, id.token(), Interest::READABLE).map_err(io_error("datagrams"))?;
        let node = NodeId(rand::rng().random());
        let identity = FleetIdentity {
            node,
            peers,
            callers: settings.listen.callers,
            region: settings.node.region.clone(),
            zone: settings.node.zone.clone(),
        };
        let proves_until = if settings.node.first_start { now } else { now + STARTUP };
        let store = settings.store.address;
        let mut role = RoleKeeper::new(now, settings.longest_silence());
        let mut reader = StoreReader::new(settings.reader());
        if settings.node.first_start {
            role = role.with_first_start(now);
            reader = reader.with_mode(now, ReadingMode::Following);
        } else {
            reader = reader.with_mode(now, ReadingMode::Once).with_starting_until(now + READER_STARTUP);
        }
        let routing = routing_settings(now, node, &settings);
        let mut log = EventLog::new(&settings.node.name, settings.node.log);
        log.line(
            now,
            LineKind::Belief,
            format_args!(
                "event=start run={node} zone={} callers={} peers={peers} store={store}",
                settings.node.zone, settings.listen.callers
            ),
        );
        Ok(GatewayNode {
            pool: Pool::new(*dialect.headers(), MAX_ANSWER, proves_until).with_policy(settings.policy.node),
            fleet: Fleet::new(identity, settings.node.seeds.clone(), socket, now).with_policy(settings.policy.node),
            store: [0, 1, 2].map(|slot| HttpCaller::new(SocketKind::Store, slot, store)),
            store_calls: [const { None }; 3],
            store_called_at: [BootTime::default(); 3],
            is_view_old: false,
            peer: HttpCaller::new(SocketKind::Peer, 0, peers),
            reader,
            role,
            mirror: Mirror::default(),
            unreadable_log: UnreadableLog::default(),
            recorder: recording::begin(&settings, &routing)?,
            engine: RoutingEngine::new(routing),
            requests: CallerRequests::new(),
            next_tick: now,
            load: LoadMeter::new(now),
            is_ready: false,
            is_pressed: false,
            is_serving: false,
            stop: None,
            metrics: Metrics::default(),
            member_log: MemberLog::default(),
            case_pushes: CasePushes::default(),
            peer_answers: RecentPeerAnswers::default(),
            traffic: Traffic::default(),
            next_summary: now + SUMMARY_EVERY,
            random: ChaCha8Rng::seed_from_u64(rand::rng().random()),
            buffer: Box::new([0; READ_CHUNK]),
            log,
            now,
            started: now,
            server,
            poll,
            dialect,
            signals,
            settings_file,
            next_file_look: now,
            settings,
        })
    }

    /// Runs until a planned stop is done.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Events::with_capacity(EVENTS);
        while !self.is_stopped() {
            match self.poll.poll(&mut events, Some(self.time_to_wait())) {
                Ok(()) => {}
                // A signal; whatever it asks for is looked at below.
                Err(error) if error.kind() == ErrorKind::Interrupted => events.clear(),
                Err(error) => return Err(io_error("poll")(error)),
            }
            self.now = clock::now();
            self.load.begin_turn(self.now);
            self.note_pause();
            self.take_signals();
            for kinds in TURN_ORDER {
                self.on_sockets(kinds, &events);
            }
            self.on_time();
            self.load.end_turn(clock::now());
        }
        self.log.line(self.now, LineKind::Belief, format_args!("event=stopped in_flight={}", self.engine.in_flight()));
        self.flush_recording();
        self.log.flush(self.now);
        Ok(())
    }

    fn time_to_wait(&self) -> Duration {
        let wakes = [self.engine.next_wake(), self.reader.next_wake(), self.peer.next_wake(), self.pool.next_wake()];
        let calls = self.store.iter().map(HttpCaller::next_wake);
        let due = wakes.into_iter().chain(calls).flatten().min();
        clock::now().until(due.map_or(self.next_tick, |due| due.min(self.next_tick)))
    }

    /// A gap between turns says that the process, not the others, stood still.
    fn note_pause(&mut self) {
        let gap = self.load.gap();
        if gap >= Duration::from_millis(1000) {
            self.log.line(self.now, LineKind::Belief, format_args!("event=woke_late gap_ms={}", gap.as_millis()));
        }
    }

    /// Handles the events of sockets of these kinds.
    fn on_sockets(&mut self, kinds: &[SocketKind], events: &Events) {
        let decoded = events.iter().filter_map(|event| Some((SocketId::from_token(event.token())?, event)));
        let ours = decoded.filter(|(id, _)| kinds.contains(&id.kind));
        for (count, (id, event)) in ours.enumerate() {
            if count % EVENTS_PER_CLOCK == EVENTS_PER_CLOCK - 1 {
                self.now = clock::now();
            }
            self.on_socket(id, event);
        }
    }

    fn on_socket(&mut self, id: SocketId, event: &Event) {
        match id.kind {
            SocketKind::Listener => self.server.on_acceptable(self.now, id, self.poll.registry()),
            SocketKind::Inbound => self.on_server_socket(id, event.is_writable()),
            SocketKind::Searcher => self.on_pool_socket(id, event.is_writable()),
            SocketKind::Store => self.on_store_socket(id, event.is_writable()),
            SocketKind::Peer => self.on_peer_socket(id, event.is_writable()),
            SocketKind::Datagrams => self.on_datagrams(),
        }
    }

    fn on_time(&mut self) {
        self.now = clock::now();
        self.engine_event(RoutingEvent::Tick);
        self.on_pool_time();
        self.on_store_time();
        self.push_cases();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.on_coarse_tick();
        }
    }

    fn on_coarse_tick(&mut self) {
        self.sweep_server();
        self.sweep_pool();
        self.on_fleet_tick();
        self.decide_store_role();
        self.ask_better_informed();
        self.note_view();
        self.update_readiness();
        self.on_stop_tick();
        self.look_at_settings();
        self.log_summary();
        self.log.on_tick(self.now);
    }

    /// Sockets' context for one call.
    fn io<'a>(
        now: BootTime,
        poll: &'a Poll,
        buffer: &'a mut [u8; READ_CHUNK],
        engine: &RoutingEngine,
    ) -> IoContext<'a> {
        let limits = engine.table().map(|table| table.definition().limits.clone()).unwrap_or_default();
        let limits = ServerLimits { head_bytes: limits.head_bytes, body_bytes: limits.body_bytes };
        IoContext { now, registry: poll.registry(), buffer, limits }
    }

    fn server_times(&self) -> ServerTimes {
        let limits = self.engine.table().map(|table| table.definition().limits.clone()).unwrap_or_default();
        ServerTimes {
            head: Duration::from_millis(limits.head_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
        }
    }

    fn take_signals(&mut self) {
        if self.signals.stop.swap(false, Ordering::AcqRel) {
            self.begin_stop();
        }
        if self.signals.reload.swap(false, Ordering::AcqRel) {
            self.reload();
        }
    }
}
