//! The endpoints that the node answers itself: readiness, directory, peers, metrics.
//!
//! Each request is answered at once from the node's present state. This module owns no state, and relies on the
//! dialect for the format of the readiness and directory endpoints.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::metrics::{ComponentMetrics, StoreSilence};
use crate::outbound::AnswerContext;
use crate::pull_request;
use crate::store_role::StoreRole;
use staircross_http::Request;
use staircross_routing::store_reader::Lane;
use staircross_routing::{AcceptedConfiguration, PeerKnowledge};
use staircross_transport::socket::SocketId;
use staircross_wire::frame::encode;

/// Maximum number of large answers to peers within a second. The narrowest links carry 14 Mbit/s. On days with a large
/// configuration, this limit, together with the reading of large configurations from the store, reduces answers with
/// status 502 from 3.5, 1.0 and 2.5 a day to 2.5, 0.5 and 1.5.
const MAX_LARGE_ANSWERS: usize = 2;

impl<D: Dialect> GatewayNode<D> {
    /// Answers a request to any endpoint but that of callers.
    pub(super) fn answer_own_endpoint(&mut self, connection: SocketId, endpoint: Endpoint, request: &Request) {
        let closes = !request.head.keeps_alive() || !self.server.is_listening(endpoint);
        let names = *self.dialect.headers();
        let context = AnswerContext { names: &names, id: None, closes, is_head: request.head.method == "HEAD" };
        let answer = match endpoint {
            Endpoint::Readiness => self.answer_readiness(&context, request),
            Endpoint::Directory => self.answer_directory(&context, request),
            Endpoint::Peers => self.answer_pull(&context, request),
            Endpoint::Metrics => context.plain(200, "text/plain; version=0.0.4", self.render_metrics().as_bytes()),
            Endpoint::Callers => context.plain(404, "text/plain", b""),
        };
        self.respond(connection, answer, closes);
    }

    fn answer_readiness(&self, context: &AnswerContext<'_>, request: &Request) -> Vec<u8> {
        if request.head.path() != self.dialect.readiness_path() {
            return context.plain(404, "text/plain", b"");
        }
        let status = if self.status.is_ready && self.stop.is_none() { 200 } else { 503 };
        context.plain(status, "text/plain", b"")
    }

    fn answer_directory(&mut self, context: &AnswerContext<'_>, request: &Request) -> Vec<u8> {
        let Some(query) = self.dialect.directory_query(&request.head.target) else {
            return context.plain(404, "text/plain", b"");
        };
        self.metrics.directory_questions += 1;
        let host = query.host.as_deref();
        let allowed = host.zip(self.engine.table()).map(|(host, table)| table.allowed_regions(host));
        let addresses = self.fleet.addresses_for(self.now, &query, &allowed.unwrap_or_default());
        if addresses.is_empty() {
            return context.plain(503, "text/plain", b"no node is ready\n");
        }
        let body = self.dialect.directory_answer(&addresses, self.directory_ttl());
        context.plain(200, body.content_type, &body.bytes)
    }

    /// Answers a peer's pull with the updates that the peer lacks.
    fn answer_pull(&mut self, context: &AnswerContext<'_>, request: &Request) -> Vec<u8> {
        let epochs = request.head.headers.text(pull_request::EPOCHS_FIELD);
        let assumed = self.mirror.known_revision().epoch;
        let Some(peer) = pull_request::parse(&request.head.target, epochs, assumed) else {
            return context.plain(404, "text/plain", b"");
        };
        let peer = PeerKnowledge { accepts: self.limit_to_link_capacity(peer.accepts), ..peer };
        match encode(&self.mirror.changes_for(peer)) {
            Ok(body) => {
                self.peer_answers.record(self.now, body.len());
                context.plain(200, "application/cbor", &body)
            }
            Err(error) => context.plain(500, "text/plain", error.to_string().as_bytes()),
        }
    }

    /// Returns the largest configuration that a peer may be sent now. A larger one would fill this node's link, which
    /// also carries callers' requests.
    fn limit_to_link_capacity(&mut self, wanted: AcceptedConfiguration) -> AcceptedConfiguration {
        let recent = self.peer_answers.recent(self.now);
        match wanted {
            _ if recent.bytes >= self.settings.max_peer_answer_bytes_per_s() => AcceptedConfiguration::None,
            AcceptedConfiguration::Any if recent.large >= MAX_LARGE_ANSWERS => AcceptedConfiguration::Small,
            wanted => wanted,
        }
    }

    /// Returns the milliseconds since the store's last reply to a lane's calls; 0 if the node makes none.
    fn store_silence_ms(&self, lane: Lane) -> u64 {
        self.store_reader.silence(self.now, lane).map_or(0, |silence| silence.as_millis() as u64)
    }

    fn render_metrics(&self) -> String {
        let (suspects, quarantined) = self.engine.suspicion_counts(self.now);
        let components = ComponentMetrics {
            suspects,
            quarantined,
            alarms: self.engine.alarm_count(),
            in_flight: self.engine.in_flight(),
            server_connections: self.server.connection_count(),
            searcher_connections: self.pool.connection_count(),
            config_version: self.mirror.version(),
            config_version_held: self.mirror.is_version_held() && !self.store.version.is_not_held(),
            store_revision: self.mirror.newest_revision().count,
            store_epoch: self.store_reader.epoch().number().unwrap_or_default(),
            store_silence_ms: StoreSilence {
                configuration: self.store_silence_ms(Lane::Configuration),
                searchers: self.store_silence_ms(Lane::Searchers),
            },
            store_reachable: self.store_reader.is_reachable(),
            reads_store: self.store_role.role() == StoreRole::Reader,
            serving: self.status.is_serving,
            members: self.fleet.live_count(),
            searchers: self.engine.serving_searchers(),
            ready: self.status.is_ready,
            connects: self.pool.counters.connects,
            skipped: self.pool.counters.skipped,
            broken: self.pool.counters.broken,
            connections_rejected: self.pool.counters.connections_rejected,
            datagrams: self.fleet.counters.datagrams,
            datagram_bytes: self.fleet.counters.bytes,
        };
        self.metrics.render(self.engine.counters, components, self.all_traffic())
    }
}
