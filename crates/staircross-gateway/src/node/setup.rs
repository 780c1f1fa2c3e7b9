//! Starts a node: reads its settings, binds its addresses and builds its components.
//!
//! Addresses are bound before anything is logged or recorded, so that a failed start leaves nothing behind. This
//! module owns no state. `reload` uses its bounds as well.

use super::caller_request::CallerRequests;
use super::error::{GatewayError, io_error};
use super::log_limits::LogLimits;
use super::operator::{Operator, Signals};
use super::status::NodeStatus;
use super::store_calls::StoreCalls;
use super::{GatewayNode, recording};
use crate::case_pushes::CasePushLimiter;
use crate::dialect::{Dialect, HeaderNames};
use crate::endpoint::Endpoint;
use crate::event_log::{EventLog, LineKind};
use crate::fleet::{Fleet, FleetIdentity, new_incarnation_id};
use crate::http_call::HttpClient;
use crate::load::LoadMeter;
use crate::metrics::Metrics;
use crate::peer_answers::RecentPeerAnswers;
use crate::pool::Pool;
use crate::settings::{GatewaySettings, SettingsFile};
use crate::store_role::StoreRoleSelector;
use crate::traffic::Traffic;
use mio::net::UdpSocket;
use mio::{Interest, Poll, Registry};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_quota::QuotaBound;
use staircross_routing::decision::extra_budget::ExtraBound;
use staircross_routing::decision::outdated_view::OutdatedView;
use staircross_routing::engine::{RoutingEngine, RoutingSettings};
use staircross_routing::store_reader::{ReadingMode, StoreReader};
use staircross_routing::{ColdBound, Mirror};
use staircross_transport::server::Server;
use staircross_transport::socket::{READ_CHUNK, SocketId, SocketKind};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after a restart during which fresh connections to searchers are proved, that is, the pool waits for a
/// possible reset before it sends a request on one. The machine may have lost power, and searchers may still hold
/// connections of the earlier incarnation; this time lets them notice. It doesn't apply to the first start of the
/// whole fleet.
const CONNECTION_PROOF_TIME: Duration = Duration::from_secs(20);
/// Time after a restart during which the node looks for searchers again soon after each update on them, since
/// searchers return one by one after a loss of power.
const READER_STARTUP_TIME: Duration = Duration::from_secs(3);
/// Maximum length of a searcher's answer, in bytes, so that one answer is a small share of the process's default
/// memory.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

impl<D: Dialect> GatewayNode<D> {
    /// Reads the settings, binds all addresses and builds the node. The node checks `signals` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or hold an invalid value, if an address can't be bound, or if
    /// the recording that the settings ask for can't be created.
    pub fn start(mut settings_file: SettingsFile, dialect: D, signals: Signals) -> Result<Self, GatewayError> {
        let settings = settings_file.load()?;
        let now = clock::now();
        let poll = Poll::new().map_err(io_error("poll"))?;
        let server = bind_server(&settings, poll.registry())?;
        let datagrams = bind_datagrams(&settings, poll.registry())?;
        let routing = routing_settings(now, &settings);
        Ok(GatewayNode {
            log: begin_log(now, routing.node, &settings),
            pool: build_pool(now, &settings, *dialect.headers()),
            fleet: build_fleet(now, routing.node, &settings, datagrams),
            store: StoreCalls::new(settings.store.address, settings.max_call_answer()),
            peer_client: HttpClient::new(SocketKind::Peer, 0, settings.listen.peers, settings.max_call_answer()),
            pulled_at: now,
            store_reader: build_store_reader(now, &settings),
            store_role: build_store_role(now, &settings),
            mirror: Mirror::default(),
            recorder: recording::begin(&settings, &routing)?,
            engine: RoutingEngine::new(routing),
            requests: CallerRequests::new(),
            operator: Operator::new(now, signals, settings_file),
            load: LoadMeter::new(now),
            outdated_view: OutdatedView::new(now, settings.outdated_view_settings()),
            status: NodeStatus::default(),
            stop: None,
            metrics: Metrics::default(),
            log_limits: LogLimits::new(now),
            case_pushes: CasePushLimiter::default(),
            peer_answers: RecentPeerAnswers::default(),
            traffic: Traffic::default(),
            random: ChaCha8Rng::seed_from_u64(rand::rng().random()),
            buffer: Box::new([0; READ_CHUNK]),
            next_tick: now,
            started: now,
            now,
            server,
            server_events: Vec::new(),
            poll,
            dialect,
            settings,
        })
    }
}

fn bind_server(settings: &GatewaySettings, registry: &Registry) -> Result<Server<Endpoint>, GatewayError> {
    let mut server = Server::new(settings.max_caller_connections()).with_max_bytes(settings.max_connection_bytes());
    for (endpoint, name, address) in listeners(settings) {
        server.listen(endpoint, address, registry).map_err(io_error(format!("{name} {address}")))?;
    }
    Ok(server)
}

fn bind_datagrams(settings: &GatewaySettings, registry: &Registry) -> Result<UdpSocket, GatewayError> {
    let address = settings.listen.peers;
    let mut socket = UdpSocket::bind(address).map_err(io_error(format!("listen.peers {address} (datagrams)")))?;
    let id = SocketId { kind: SocketKind::Datagrams, generation: 0, slot: 0 };
    registry.register(&mut socket, id.token(), Interest::READABLE).map_err(io_error("datagrams"))?;
    Ok(socket)
}

/// Creates the log and writes its first line.
fn begin_log(now: BootTime, node: NodeId, settings: &GatewaySettings) -> EventLog {
    let mut log = EventLog::new(&settings.node.name, settings.node.log);
    let (zone, store) = (&settings.node.zone, settings.store.address);
    let (callers, peers) = (settings.listen.callers, settings.listen.peers);
    let line = format_args!("event=start run={node} zone={zone} callers={callers} peers={peers} store={store}");
    log.line(now, LineKind::NodeEvent, line);
    log
}

fn build_pool(now: BootTime, settings: &GatewaySettings, names: HeaderNames) -> Pool {
    let proves_until = if settings.node.first_start { now } else { now + CONNECTION_PROOF_TIME };
    Pool::new(names, MAX_ANSWER_BYTES, proves_until)
        .with_max_buffered(settings.max_buffered_answers())
        .with_policy(settings.policy.node)
}

fn build_fleet(now: BootTime, node: NodeId, settings: &GatewaySettings, datagrams: UdpSocket) -> Fleet {
    let identity = FleetIdentity {
        node,
        peer_address: settings.listen.peers,
        caller_address: settings.listen.callers,
        region: settings.node.region.clone(),
        zone: settings.node.zone.clone(),
    };
    Fleet::new(identity, settings.node.seeds.clone(), datagrams, now).with_policy(settings.policy.node)
}

/// Creates the store reader. At the first start of a fleet, no node reads the store before it knows its region; after
/// a restart, each node reads the store once.
fn build_store_reader(now: BootTime, settings: &GatewaySettings) -> StoreReader {
    let reader = StoreReader::new(settings.store_reader_settings());
    if settings.node.first_start {
        return reader.with_mode(now, ReadingMode::Following);
    }
    reader.with_mode(now, ReadingMode::Once).with_starting_until(now + READER_STARTUP_TIME)
}

fn build_store_role(now: BootTime, settings: &GatewaySettings) -> StoreRoleSelector {
    let selector = StoreRoleSelector::new(now, settings.heartbeat_timeout());
    if settings.node.first_start { selector.with_first_start(now) } else { selector }
}

/// Returns the listener addresses, each with its endpoint and the name of its setting.
fn listeners(settings: &GatewaySettings) -> Vec<(Endpoint, &'static str, SocketAddr)> {
    let listen = &settings.listen;
    let mut all = vec![
        (Endpoint::Callers, "listen.callers", listen.callers),
        (Endpoint::Readiness, "listen.readiness", listen.readiness),
        (Endpoint::Directory, "listen.directory", listen.directory),
        (Endpoint::Peers, "listen.peers", listen.peers),
    ];
    all.extend(listen.metrics.map(|address| (Endpoint::Metrics, "listen.metrics", address)));
    all
}

pub(super) fn extra_bound(settings: &GatewaySettings) -> ExtraBound {
    ExtraBound {
        ratio: settings.bounds.extra_ratio,
        window: Duration::from_secs_f64(settings.bounds.extra_window_s),
        slack: settings.bounds.extra_slack,
    }
}

pub(super) fn cold_bound(settings: &GatewaySettings) -> ColdBound {
    ColdBound { factor: settings.bounds.cold_factor, slack: settings.bounds.cold_slack }
}

pub(super) fn quota_bound(settings: &GatewaySettings) -> QuotaBound {
    QuotaBound {
        window: Duration::from_secs_f64(settings.bounds.quota_window_s),
        over: settings.bounds.quota_over,
        slack: settings.bounds.quota_slack,
    }
}

/// Returns the engine's settings. They include the random seed and the new node id of this incarnation.
fn routing_settings(now: BootTime, settings: &GatewaySettings) -> RoutingSettings {
    let node = new_incarnation_id(settings, rand::rng().random());
    let regions = settings.zones.iter();
    RoutingSettings {
        extra: extra_bound(settings),
        zone: Arc::from(settings.node.zone.as_str()),
        regions: regions.map(|(zone, region)| (Arc::from(zone.as_str()), Arc::from(region.as_str()))).collect(),
        lapse_grace: settings.lapse_grace(),
        cold: cold_bound(settings),
        max_requests: settings.max_requests(),
        node,
        quota: quota_bound(settings),
        started_at: now,
        policy: settings.policy.routing,
        restarted_at: (!settings.node.first_start).then_some(now),
        seed: rand::rng().random(),
    }
}
