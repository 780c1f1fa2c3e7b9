//! Callers' requests, from the arrival at the server to the answer.
//!
//! This module relies on the server for complete requests, on the engine for every decision, and on `attempts` for
//! everything that is sent to searchers. [`CallerRequests`](super::caller_request::CallerRequests) owns the state of
//! each request until it ends.

use super::GatewayNode;
use super::caller_request::{CallerRequest, RouteTarget, Trace};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::event_log::LineKind;
use crate::outbound::{AnswerContext, OutboundRequest};
use staircross_http::{Request, RequestHead, ServerFault};
use staircross_routing::engine::{RoutingAction, RoutingEvent};
use staircross_routing::{Arrival, CallerLink, Credential, RequestKey, RequestOutcome};
use staircross_transport::server::{ConnectionInfo, ServerEvent};
use staircross_transport::socket::{Readiness, SocketId};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// How the answer to a request is sent.
#[derive(Clone, Copy)]
struct ResponseOptions {
    /// Whether the connection is closed after the answer.
    closes: bool,
    /// Whether the answer has no body because the request's method is `HEAD`.
    is_head: bool,
}

impl<D: Dialect> GatewayNode<D> {
    pub(super) fn on_server_socket(&mut self, id: SocketId, readiness: Readiness) {
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.server.on_ready(id, readiness, &mut io, &mut self.server_events);
    }

    /// Takes the requests that had to wait for the next turn.
    pub(super) fn resume_server(&mut self) {
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.server.resume(&mut io, &mut self.server_events);
        self.handle_server_events();
    }

    pub(super) fn sweep_server(&mut self) {
        let timeouts = self.server_timeouts();
        self.server.sweep(self.now, timeouts, self.poll.registry(), &mut self.server_events);
        let count = self.server.take_stalled_count();
        if count > 0 {
            let line = format_args!("event=connections_ended cause=stalled count={count}");
            self.log.line(self.now, LineKind::Drop, line);
        }
    }

    /// Handles all events of the server, including those that the handling brings.
    pub(super) fn handle_server_events(&mut self) {
        while !self.server_events.is_empty() {
            for event in std::mem::take(&mut self.server_events) {
                self.on_server_event(event);
            }
        }
    }

    fn on_server_event(&mut self, event: ServerEvent<Endpoint>) {
        match event {
            ServerEvent::Request { connection, endpoint: Endpoint::Callers, request, info } => {
                self.on_request(connection, *request, info);
            }
            ServerEvent::Request { connection, endpoint, request, .. } => {
                self.answer_own_endpoint(connection, endpoint, &request);
            }
            ServerEvent::Fault { connection, fault } => self.on_fault(connection, fault),
            ServerEvent::RequestTimedOut { connection } => self.refuse_connection(connection, ErrorKind::CallerTooSlow),
            ServerEvent::RequestDropped { connection } => self.refuse_connection(connection, ErrorKind::Overloaded),
            ServerEvent::AnswerDropped { .. } => self.log.line(
                self.now,
                LineKind::Drop,
                format_args!("event=answer_dropped cause=unread connections={}", self.server.connection_count()),
            ),
            ServerEvent::Disconnected { connection } => self.on_caller_gone(connection),
        }
    }

    fn on_request(&mut self, connection: SocketId, request: Request, info: ConnectionInfo) {
        // The request may have arrived while this process stood still in the middle of a turn.
        self.advance_clock();
        let outbound = OutboundRequest::new(&request, self.dialect.headers());
        if outbound.id.is_none() {
            return self.refuse_connection(connection, ErrorKind::BadRequest);
        }
        let is_head = &*outbound.method == "HEAD";
        if self.is_refusing_requests() {
            return self.refuse_while_stopping(connection, is_head);
        }
        if self.requests.body_bytes() + outbound.body_length() > self.settings.max_request_bodies() {
            let options = ResponseOptions { closes: !request.head.keeps_alive(), is_head };
            return self.refuse_unread(connection, ErrorKind::Overloaded, options);
        }
        let key = self.requests.next_key();
        let arrival = self.build_arrival(key, &request.head, &outbound, info);
        let pending = self.build_caller_request(connection, &request.head, outbound, &arrival);
        if !self.server.is_open(connection) {
            // The close arrived together with the request. A searcher would work for nobody.
            self.metrics.count_caller_gone();
            return self.log_caller_gone(&pending);
        }
        self.requests.insert(key, pending);
        self.process_routing_event(RoutingEvent::Arrived(arrival));
    }

    /// Collects the facts by which the engine decides about a request.
    fn build_arrival(
        &self,
        key: RequestKey,
        head: &RequestHead,
        outbound: &OutboundRequest,
        info: ConnectionInfo,
    ) -> Arrival {
        let timeout_ms =
            head.headers.text(self.dialect.headers().deadline_ms).and_then(|text| text.parse::<u64>().ok());
        Arrival {
            key,
            host: head.headers.text("host").unwrap_or_default().to_owned(),
            path: head.path().to_owned(),
            caller_timeout: timeout_ms.map(Duration::from_millis),
            waited: self.load.max_event_delay(self.now),
            is_overloaded: self.load.is_overloaded(self.now),
            newest_version: self.fleet.newest_version(),
            configuration_view: self.configuration_view(),
            knows_searchers: self.mirror.has_listing() && !self.store_reader.may_lack_searchers(self.now),
            link: CallerLink { round_trip: info.round_trip, is_new_connection: info.is_new },
            content: outbound.content,
            credential: outbound.credential,
        }
    }

    /// Creates the state that the node keeps of a request until it ends.
    fn build_caller_request(
        &self,
        connection: SocketId,
        head: &RequestHead,
        outbound: OutboundRequest,
        arrival: &Arrival,
    ) -> CallerRequest {
        let (route, tenant) = self.find_route_and_tenant(&arrival.host, &arrival.path, arrival.credential);
        // A newer configuration may contain the route or the tenant.
        let is_tenant_unknown = tenant.is_none() && arrival.credential != Credential::Missing;
        let target = || RouteTarget { host: arrival.host.clone(), path: arrival.path.clone() };
        let unresolved_target = (route.is_none() || is_tenant_unknown).then(target);
        CallerRequest {
            connection,
            outbound,
            route,
            tenant,
            unresolved_target,
            version: self.version(),
            arrived: self.now,
            keeps_alive: head.keeps_alive(),
            extra_attempts: 0,
            trace: Trace::default(),
        }
    }

    /// Returns the names of a request's route and tenant, for logs and metrics.
    fn find_route_and_tenant(
        &self,
        host: &str,
        path: &str,
        credential: Credential,
    ) -> (Option<Arc<str>>, Option<Arc<str>>) {
        let found = self.engine.table().and_then(|table| Some((table, table.find_index(host, path)?)));
        let Some((table, index)) = found else {
            return (None, None);
        };
        let route = &table.definition().routes[index];
        let tenant = table.authenticate(route, credential).ok().flatten().and_then(|key| table.tenant(key));
        (Some(route.name.clone()), tenant.map(|tenant| tenant.name.clone()))
    }

    fn version(&self) -> u64 {
        self.engine.table().map_or(0, |table| table.version())
    }

    /// Sets the route and tenant names of a request that arrived before they were known.
    fn resolve_held_request(&self, pending: &mut CallerRequest) {
        let Some(target) = pending.unresolved_target.take() else {
            return;
        };
        (pending.route, pending.tenant) =
            self.find_route_and_tenant(&target.host, &target.path, pending.outbound.credential);
        pending.version = self.version();
    }

    fn on_caller_gone(&mut self, connection: SocketId) {
        let Some(key) = self.requests.key_of(connection) else {
            return;
        };
        self.metrics.count_caller_gone();
        if let Some(pending) = self.requests.remove(key) {
            self.log_caller_gone(&pending);
        }
        self.process_routing_event(RoutingEvent::CallerGone(key));
    }

    fn on_fault(&mut self, connection: SocketId, fault: ServerFault) {
        let kind = match fault {
            ServerFault::BadRequest => ErrorKind::BadRequest,
            ServerFault::BodyTooLong => ErrorKind::TooLarge,
            ServerFault::HeadTooLong => ErrorKind::HeadTooLarge,
        };
        self.refuse_connection(connection, kind);
    }

    /// Refuses a connection that sent no valid request in time, and closes it.
    fn refuse_connection(&mut self, connection: SocketId, kind: ErrorKind) {
        self.refuse_unread(connection, kind, ResponseOptions { closes: true, is_head: false });
    }

    /// Refuses a request that arrives too late in a planned stop.
    fn refuse_while_stopping(&mut self, connection: SocketId, is_head: bool) {
        let options = ResponseOptions { closes: self.closes_after_leaving(), is_head };
        self.refuse_unread(connection, ErrorKind::Leaving, options);
    }

    /// Returns whether the refusal of a request as leaving closes its connection. It stays open while callers can still
    /// connect: otherwise a caller that goes on sending would make a new connection for each request, and one that is
    /// made just as the listener closes is reset.
    fn closes_after_leaving(&self) -> bool {
        !self.server.is_listening(Endpoint::Callers)
    }

    /// Refuses a request, or a connection without a valid one, without passing anything to the engine.
    fn refuse_unread(&mut self, connection: SocketId, kind: ErrorKind, options: ResponseOptions) {
        self.metrics.count_refusal(kind);
        self.log.line(self.now, LineKind::Drop, format_args!("event=refused_unread kind={kind}"));
        let ResponseOptions { closes, is_head } = options;
        let context = AnswerContext { names: self.dialect.headers(), id: None, closes, is_head };
        let answer = context.refused(kind, kind.meaning(), None);
        self.respond(connection, answer, closes);
    }

    pub(super) fn respond(&mut self, connection: SocketId, answer: Vec<u8>, closes: bool) {
        let mut io = Self::io_context(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.server.respond(connection, answer, closes, &mut io, &mut self.server_events);
    }

    /// Passes an event to the engine, records it if a recording is in progress, and carries out the engine's actions.
    pub(super) fn process_routing_event(&mut self, event: RoutingEvent) {
        let mut actions = Vec::new();
        let recorded = self.recorded_event(&event);
        self.engine.on_event(self.now, event, &mut actions);
        if let Some(recorded) = recorded {
            self.record(recorded, &actions);
        }
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: RoutingAction) {
        match action {
            RoutingAction::Send(order) => self.send_attempt(order),
            RoutingAction::Abandon { attempt, answer_timeout, cause } => {
                self.abandon_attempt(attempt, answer_timeout, cause)
            }
            RoutingAction::Recall { attempt } => self.recall_attempt(attempt),
            RoutingAction::Finish { request, outcome } => self.finish_request(request, outcome),
            RoutingAction::SendQuotas { to, messages } => self.fleet.send_quotas(to, messages),
            RoutingAction::Suspicion { change, is_from_peers } => self.on_suspicion_change(change, is_from_peers),
            RoutingAction::Unsent { request, service, reason, cause } => {
                self.trace_unsent(request, &service, reason, cause);
            }
            RoutingAction::LeftOut { request, service, asked, cause } => {
                self.trace_left_out(request, &service, &asked, cause);
            }
            RoutingAction::Held { request, cause } => self.trace_held(request, cause),
            RoutingAction::KeyRefused { request, cause } => self.trace_key_refused(request, cause),
            RoutingAction::NotAdmitted { request, group, fraction } => {
                self.trace_not_admitted(request, &group, fraction);
            }
            RoutingAction::Admission { group, change } => self.log_admission(&group, &change),
            RoutingAction::Quota(change) => self.log_quota(&change),
            RoutingAction::SearcherClosing { instance, service } => self.log_searcher_closing(&instance, &service),
            RoutingAction::Alarm { route, is_raised } => self.log_alarm(&route, is_raised),
            RoutingAction::Probe { request, step } => self.trace_probe(request, step),
        }
    }

    /// Removes a request, logs its outcome and writes the answer to the caller.
    pub(super) fn finish_request(&mut self, key: RequestKey, outcome: RequestOutcome) {
        let Some(mut pending) = self.requests.remove(key) else {
            return;
        };
        self.resolve_held_request(&mut pending);
        let is_leaving = matches!(outcome, RequestOutcome::Refused { kind: ErrorKind::Leaving, .. });
        let closes_for_stop = self.stop.is_some() && (!is_leaving || self.closes_after_leaving());
        let closes = !pending.keeps_alive || closes_for_stop;
        let context = AnswerContext {
            names: self.dialect.headers(),
            id: pending.outbound.id.as_deref(),
            closes,
            is_head: &*pending.outbound.method == "HEAD",
        };
        let answer = match &outcome {
            RequestOutcome::Merged(merged) => context.merged(merged),
            RequestOutcome::Passed(passed) => context.passed(passed),
            RequestOutcome::Refused { kind, detail, retry_after } => context.refused(*kind, detail, *retry_after),
        };
        self.log_finished(&pending, &outcome);
        self.respond(pending.connection, answer, closes);
    }
}
