//! The event loop that carries events and actions between sockets and engines.
//!
//! One thread, one poll. A turn takes signals, then the events of sockets in `TURN_ORDER`, then what is due
//! by the clock; every `TICK` it looks besides at what has no exact time of its own.
//!
//! [`GatewayNode`] owns the sockets (server, pool, calls to the store and to peers, datagrams) and the engines that
//! decide; it carries what comes in to the engines, and carries out what they order. It relies on the engines being
//! sans-IO: they get the time with each event and never block. The modules below carry one subject each.

mod attempts;
mod caller_request;
mod change_log;
mod configuration_view;
mod endpoints;
mod error;
mod knowledge;
mod log_limits;
mod operator;
mod recording;
mod reload;
mod request_log;
mod requests;
mod setup;
mod status;
mod stop;
mod store_calls;
mod summary;
mod unreadable;

pub use error::GatewayError;
pub use operator::Signals;

use crate::case_pushes::CasePushes;
use crate::dialect::Dialect;
use crate::event_log::{EventLog, LineKind};
use crate::fleet::Fleet;
use crate::http_call::HttpCaller;
use crate::load::LoadMeter;
use crate::metrics::Metrics;
use crate::peer_answers::RecentPeerAnswers;
use crate::pool::Pool;
use crate::recorder::Recorder;
use crate::server::{Server, ServerTimes};
use crate::settings::GatewaySettings;
use crate::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use crate::store_role::RoleKeeper;
use crate::traffic::Traffic;
use caller_request::CallerRequests;
use error::io_error;
use log_limits::LogLimits;
use mio::event::Event;
use mio::{Events, Poll};
use operator::Operator;
use rand_chacha::ChaCha8Rng;
use staircross_http::ServerLimits;
use staircross_routing::Mirror;
use staircross_routing::engine::{RoutingEngine, RoutingEvent};
use staircross_routing::store_reader::StoreReader;
use staircross_types::BootTime;
use staircross_types::boot_clock as clock;
use status::NodeStatus;
use std::io::ErrorKind;
use std::time::Duration;
use stop::StopState;
use store_calls::StoreCalls;

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
// A kind without a place would never be handled.
const _: () = assert!(TURN_ORDER[0].len() + TURN_ORDER[1].len() + TURN_ORDER[2].len() == SocketKind::ALL.len());

/// Events taken from the poll at once; those beyond come with the next turn. For the descriptors that a node has by default.
const EVENTS: usize = 1024;
/// Events handled before the clock is read again, so that a long turn doesn't take its start for now. So that reading the clock costs little beside
/// the work.
const EVENTS_PER_CLOCK: usize = 16;
/// Time between looks at what has no exact time of its own: sweeps, readiness, roles, summaries. Short beside what it looks at, which takes some
/// hundred milliseconds and more.
const TICK: Duration = Duration::from_millis(50);
/// Gap between two turns from which it is logged that the process stood still. Far above what the loop sleeps, which is at most [`TICK`].
const LATE_TURN: Duration = Duration::from_secs(1);

/// A node.
pub struct GatewayNode<D: Dialect> {
    dialect: D,
    settings: GatewaySettings,
    operator: Operator,
    stop: Option<StopState>,

    poll: Poll,
    /// Room that all sockets read into.
    buffer: Box<[u8; READ_CHUNK]>,
    /// Time of the event that is being handled.
    now: BootTime,
    started: BootTime,
    next_tick: BootTime,
    load: LoadMeter,
    status: NodeStatus,
    random: ChaCha8Rng,

    server: Server,
    pool: Pool,
    requests: CallerRequests,
    engine: RoutingEngine,

    store: StoreCalls,
    reader: StoreReader,
    role: RoleKeeper,
    mirror: Mirror,

    fleet: Fleet,
    /// Pulls from one peer at a time.
    peer: HttpCaller,
    /// Answers sent to peers lately.
    peer_answers: RecentPeerAnswers,
    /// Whether requests under which searchers were lost are to be sent to peers at once, and when they may be.
    case_pushes: CasePushes,

    log: EventLog,
    log_limits: LogLimits,
    metrics: Metrics,
    /// Bytes to and from store and peers.
    traffic: Traffic,
    recorder: Option<Recorder>,
}

impl<D: Dialect> GatewayNode<D> {
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

    /// Time until something is due.
    fn time_to_wait(&self) -> Duration {
        let wakes = [
            self.engine.next_wake(),
            self.reader.next_wake(),
            self.peer.next_wake(),
            self.pool.next_wake(),
            self.store.next_wake(),
        ];
        let due = wakes.into_iter().flatten().min();
        clock::now().until(due.map_or(self.next_tick, |due| due.min(self.next_tick)))
    }

    /// Logs a gap between turns: then this process, not the others, stood still.
    fn note_pause(&mut self) {
        let gap = self.load.gap();
        if gap >= LATE_TURN {
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

    /// What is due by the clock, after all that came in: what came may have made it undue.
    fn on_time(&mut self) {
        self.now = clock::now();
        self.engine_event(RoutingEvent::Tick);
        self.on_pool_time();
        self.on_store_time();
        // All that this turn brought goes out together.
        self.push_cases();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.on_coarse_tick();
        }
    }

    /// What has no exact time of its own.
    fn on_coarse_tick(&mut self) {
        self.sweep_server();
        self.sweep_pool();
        // Who of the members lives decides who reads the store, and that whether a peer is asked instead.
        self.on_fleet_tick();
        self.decide_store_role();
        self.ask_better_informed();
        // What the node finds of itself follows from what it knows now.
        self.note_configuration_view();
        self.update_readiness();
        self.on_stop_tick();
        self.look_at_settings();
        // Lines last, so that this tick's are among those written.
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

    /// Times that the configuration gives callers.
    fn server_times(&self) -> ServerTimes {
        let limits = self.engine.table().map(|table| table.definition().limits.clone()).unwrap_or_default();
        ServerTimes {
            head: Duration::from_millis(limits.head_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
        }
    }

    fn take_signals(&mut self) {
        if self.operator.take_stop() {
            self.begin_stop();
        }
        if self.operator.take_reload() {
            self.reload();
        }
    }
}
