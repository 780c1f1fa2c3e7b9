//! The event loop of a gateway node: it passes events from sockets to the engines and carries out their actions.
//!
//! The loop has one thread and one poll. Each turn handles signals first, then socket events in the order of
//! `TURN_ORDER`, then everything that is due by the clock. Work without an exact due time is done every
//! `TICK_INTERVAL`.
//!
//! [`GatewayNode`] owns the sockets (server, searcher pool, calls to the store and to peers, datagrams) and the
//! engines, which make the decisions. The engines are sans-IO: they get the current time with each event and never
//! block. Each submodule handles one subject.

mod attempts;
mod caller_request;
mod change_log;
mod configuration_view;
mod endpoints;
mod error;
mod log_limits;
mod operator;
mod outdated_view;
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
mod updates;

pub use error::GatewayError;
pub use operator::Signals;

use crate::case_pushes::CasePushLimiter;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::event_log::{EventLog, LineKind};
use crate::fleet::Fleet;
use crate::http_call::HttpClient;
use crate::load::LoadMeter;
use crate::metrics::Metrics;
use crate::peer_answers::RecentPeerAnswers;
use crate::pool::Pool;
use crate::recorder::Recorder;
use crate::settings::GatewaySettings;
use crate::store_role::StoreRoleSelector;
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
use staircross_routing::decision::outdated_view::OutdatedView;
use staircross_routing::engine::{RoutingEngine, RoutingEvent};
use staircross_routing::store_reader::StoreReader;
use staircross_transport::server::{Server, ServerEvent, ServerTimeouts};
use staircross_transport::socket::{IoContext, READ_CHUNK, SocketId, SocketKind};
use staircross_types::BootTime;
use staircross_types::boot_clock as clock;
use status::NodeStatus;
use std::io::ErrorKind;
use std::time::Duration;
use stop::StopState;
use store_calls::StoreCalls;

/// Order in which the socket events of one turn are handled, by kind of socket. When the process wakes late, old and
/// new events arrive together in arbitrary order.
const TURN_ORDER: [&[SocketKind]; 3] = [
    // Updates from the store and from peers come first, so that every decision of this turn uses them.
    &[SocketKind::Store, SocketKind::Peer, SocketKind::Datagrams],
    // Searcher answers come next, so that requests in flight end and the reported load counts for the next requests.
    &[SocketKind::Searcher],
    // New requests come last.
    &[SocketKind::Listener, SocketKind::Inbound],
];
// Events of a kind that isn't in `TURN_ORDER` would never be handled.
const _: () = assert!(TURN_ORDER[0].len() + TURN_ORDER[1].len() + TURN_ORDER[2].len() == SocketKind::ALL.len());

/// Maximum number of events that one poll returns; the next turn gets the others. It matches the default number of
/// descriptors of a node (1024).
const EVENT_CAPACITY: usize = 1024;
/// Number of events after which the clock is read again, so that the time stays current in a long turn. The number is
/// large enough that reading the clock costs little beside the work.
const EVENTS_PER_CLOCK_READ: usize = 16;
/// Interval at which work without an exact due time is done: sweeps, readiness, store role, summaries. The interval is
/// short beside the timeouts that it checks, which are some hundred milliseconds and longer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the starts of two turns from which the process counts as stalled, which is logged. The interval is far
/// longer than the loop sleeps, which is at most [`TICK_INTERVAL`].
const STALL_INTERVAL: Duration = Duration::from_secs(1);

/// A gateway node: its sockets, its engines and the loop that connects them.
pub struct GatewayNode<D: Dialect> {
    dialect: D,
    settings: GatewaySettings,
    operator: Operator,
    stop: Option<StopState>,

    poll: Poll,
    /// Read buffer that all sockets share.
    buffer: Box<[u8; READ_CHUNK]>,
    /// Time of the event that is being handled.
    now: BootTime,
    started: BootTime,
    next_tick: BootTime,
    load: LoadMeter,
    outdated_view: OutdatedView,
    status: NodeStatus,
    random: ChaCha8Rng,

    server: Server<Endpoint>,
    /// Events of the server that haven't been handled yet. They are handled in a loop, because the answer to one request
    /// may bring the event of the next.
    server_events: Vec<ServerEvent<Endpoint>>,
    pool: Pool,
    requests: CallerRequests,
    engine: RoutingEngine,

    store: StoreCalls,
    store_reader: StoreReader,
    store_role: StoreRoleSelector,
    mirror: Mirror,

    fleet: Fleet,
    /// HTTP client for pulls from peers, one peer at a time.
    peer_client: HttpClient,
    /// Time of the last pull.
    pulled_at: BootTime,
    /// Sizes and times of the answers that were sent to peers within the last second.
    peer_answers: RecentPeerAnswers,
    /// Rate limit of the pushes of case records to peers.
    case_pushes: CasePushLimiter,

    log: EventLog,
    log_limits: LogLimits,
    metrics: Metrics,
    /// Bytes exchanged with the store, and with peers in pulls.
    traffic: Traffic,
    recorder: Option<Recorder>,
}

impl<D: Dialect> GatewayNode<D> {
    /// Runs the event loop until a planned stop is complete.
    pub fn run(mut self) -> Result<(), GatewayError> {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while !self.is_stopped() {
            match self.poll.poll(&mut events, Some(self.poll_timeout())) {
                Ok(()) => {}
                // A signal interrupted the poll; `handle_signals` handles it below.
                Err(error) if error.kind() == ErrorKind::Interrupted => events.clear(),
                Err(error) => return Err(io_error("poll")(error)),
            }
            self.now = clock::now();
            self.load.begin_turn(self.now);
            self.log_stall();
            self.detect_gap();
            self.handle_signals();
            for kinds in TURN_ORDER {
                self.handle_socket_events(kinds, &events);
            }
            self.resume_server();
            self.handle_timers();
            self.load.end_turn(clock::now());
        }
        self.log.line(
            self.now,
            LineKind::NodeEvent,
            format_args!("event=stopped in_flight={}", self.engine.in_flight()),
        );
        self.flush_recording();
        self.log.flush(self.now);
        Ok(())
    }

    /// Returns the time until the next timer or tick is due.
    fn poll_timeout(&self) -> Duration {
        if self.server.has_deferred() {
            return Duration::ZERO;
        }
        let wakes = [
            self.engine.next_wake(),
            self.store_reader.next_wake(),
            self.peer_client.next_wake(),
            self.pool.next_wake(),
            self.store.next_wake(),
        ];
        let due = wakes.into_iter().flatten().min();
        clock::now().until(due.map_or(self.next_tick, |due| due.min(self.next_tick)))
    }

    /// Logs and counts a long time between two turns. It means that this process was stalled, not its peers. The line
    /// says what the node knew by then.
    fn log_stall(&mut self) {
        let interval = self.load.turn_interval();
        if interval >= STALL_INTERVAL {
            self.metrics.process_gaps += 1;
            let (version, revision) = (self.mirror.version(), self.mirror.newest_revision());
            let gap_ms = interval.as_millis();
            let line = format_args!("event=woke_late gap_ms={gap_ms} version={version} revision={revision}");
            self.log.line(self.now, LineKind::NodeEvent, line);
        }
    }

    /// Handles the events of sockets of the given kinds.
    fn handle_socket_events(&mut self, kinds: &[SocketKind], events: &Events) {
        let decoded = events.iter().filter_map(|event| Some((SocketId::from_token(event.token())?, event)));
        let ours = decoded.filter(|(id, _)| kinds.contains(&id.kind));
        for (count, (id, event)) in ours.enumerate() {
            if count % EVENTS_PER_CLOCK_READ == EVENTS_PER_CLOCK_READ - 1 {
                self.advance_clock();
            }
            self.on_socket(id, event);
        }
    }

    fn on_socket(&mut self, id: SocketId, event: &Event) {
        match id.kind {
            SocketKind::Listener => self.server.accept_connections(self.now, id, self.poll.registry()),
            SocketKind::Inbound => self.on_server_socket(id, event.into()),
            SocketKind::Searcher => self.on_pool_socket(id, event.into()),
            SocketKind::Store => self.on_store_socket(id, event.into()),
            SocketKind::Peer => self.on_peer_socket(id, event.into()),
            SocketKind::Datagrams => self.on_datagrams(),
        }
        self.handle_server_events();
    }

    /// Handles everything that is due by the clock. This follows the socket events because they may have made a timer
    /// obsolete.
    fn handle_timers(&mut self) {
        self.advance_clock();
        self.give_up_view_if_due();
        self.process_routing_event(RoutingEvent::Tick);
        self.handle_pool_timers();
        self.handle_store_timers();
        // Pushed last, so that one push carries everything that this turn has brought.
        self.push_cases();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            self.handle_tick();
        }
        self.handle_server_events();
    }

    /// Does the work that has no exact due time.
    fn handle_tick(&mut self) {
        self.sweep_server();
        self.sweep_pool();
        // Which members are alive decides who reads the store, and the store role decides whether a peer is asked
        // instead.
        self.on_fleet_tick();
        self.decide_store_role();
        self.check_doubted_entries();
        self.settle_disputes();
        self.settle_return();
        self.pull_if_behind();
        // The node's own status is derived from the updates above.
        self.log_configuration_view();
        self.update_readiness();
        self.on_stop_tick();
        self.reload_changed_settings();
        // Log lines are written last, so that those of this tick are included.
        self.log_summary();
        self.log.on_tick(self.now);
    }

    /// Returns the context that the sockets need for one call.
    fn io_context<'a>(
        now: BootTime,
        poll: &'a Poll,
        buffer: &'a mut [u8; READ_CHUNK],
        engine: &RoutingEngine,
    ) -> IoContext<'a> {
        let limits = engine.table().map(|table| table.definition().limits.clone()).unwrap_or_default();
        let limits = ServerLimits { head_bytes: limits.head_bytes, body_bytes: limits.body_bytes };
        IoContext { now, registry: poll.registry(), buffer, limits }
    }

    /// Returns the timeouts that the configuration sets for callers' connections.
    fn server_timeouts(&self) -> ServerTimeouts {
        let limits = self.engine.table().map(|table| table.definition().limits.clone()).unwrap_or_default();
        ServerTimeouts {
            partial_request: Duration::from_millis(limits.head_timeout_ms),
            idle: Duration::from_millis(limits.idle_timeout_ms),
        }
    }

    fn handle_signals(&mut self) {
        if self.operator.take_stop_request() {
            self.begin_stop();
        }
        if self.operator.take_reload_request() {
            self.reload();
        }
    }
}
