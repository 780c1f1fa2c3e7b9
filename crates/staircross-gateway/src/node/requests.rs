//! Callers' requests: from their connection to the engine, and from its verdict to the answer.
//!
//! Relies on the server for whole requests, on the engine for every decision, and on `attempts` for what is sent to
//! searchers. What is kept of a request until its end is owned by [`CallerRequests`](super::caller_request::CallerRequests).

use super::GatewayNode;
use super::caller_request::{CallerRequest, Target, Trace};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::outbound::{AnswerContext, OutboundRequest};
use crate::server::{Endpoint, ServerEvent};
use crate::socket::SocketId;
use staircross_http::{Request, RequestHead, ServerFault};
use staircross_routing::engine::{RoutingAction, RoutingEvent};
use staircross_routing::{Arrival, CallerLink, Credential, RequestKey, Verdict};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// How the answer to a request ends.
#[derive(Clone, Copy)]
struct Ending {
    /// Whether the connection ends with it.
    closes: bool,
    /// Whether it goes without its body.
    is_head: bool,
}

impl<D: Dialect> GatewayNode<D> {
    pub(super) fn on_server_socket(&mut self, id: SocketId, is_writable: bool) {
        let mut events = Vec::new();
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.server.on_ready(id, is_writable, &mut io, &mut events);
        self.take_server_events(events);
    }

    pub(super) fn sweep_server(&mut self) {
        let mut events = Vec::new();
        let times = self.server_times();
        self.server.sweep(self.now, times, &mut events);
        self.take_server_events(events);
    }

    fn take_server_events(&mut self, events: Vec<ServerEvent>) {
        for event in events {
            match event {
                ServerEvent::Request { connection, endpoint: Endpoint::Callers, request, link } => {
                    self.on_request(connection, *request, link);
                }
                ServerEvent::Request { connection, endpoint, request, .. } => {
                    self.on_own_endpoint(connection, endpoint, &request);
                }
                ServerEvent::Fault { connection, fault } => self.on_fault(connection, fault),
                ServerEvent::Late { connection } => self.refuse_connection(connection, ErrorKind::CallerTooSlow),
                ServerEvent::Gone { connection } => self.on_caller_gone(connection),
            }
        }
    }

    fn on_request(&mut self, connection: SocketId, request: Request, link: CallerLink) {
        let outbound = OutboundRequest::new(&request, self.dialect.headers());
        if outbound.id.is_none() {
            return self.refuse_connection(connection, ErrorKind::BadRequest);
        }
        if self.is_closed_to_requests() {
            return self.refuse_leaving(connection, &*outbound.method == "HEAD");
        }
        let key = self.requests.next_key();
        let arrival = self.arrival(key, &request.head, &outbound, link);
        let pending = self.caller_request(connection, &request.head, outbound, &arrival);
        self.requests.insert(key, pending);
        self.engine_event(RoutingEvent::Arrived(arrival));
    }

    /// What the engine decides a request by.
    fn arrival(&self, key: RequestKey, head: &RequestHead, outbound: &OutboundRequest, link: CallerLink) -> Arrival {
        let patience = head.headers.text(self.dialect.headers().deadline_ms).and_then(|text| text.parse::<u64>().ok());
        Arrival {
            key,
            host: head.headers.text("host").unwrap_or_default().to_owned(),
            path: head.path().to_owned(),
            caller_timeout: patience.map(Duration::from_millis),
            waited: self.load.longest_wait(self.now),
            is_overloaded: self.load.is_overloaded(self.now),
            newest_version: self.fleet.newest_version(),
            view: self.configuration_view(),
            knows_searchers: self.mirror.has_listing() && !self.reader.may_lack_searchers(self.now),
            link,
            content: outbound.content,
            credential: outbound.credential,
        }
    }

    /// What the node keeps of a request until its end.
    fn caller_request(
        &self,
        connection: SocketId,
        head: &RequestHead,
        outbound: OutboundRequest,
        arrival: &Arrival,
    ) -> CallerRequest {
        let (route, tenant) = self.identify(&arrival.host, &arrival.path, arrival.credential);
        // A newer configuration may know what this one doesn't.
        let is_nobodys = tenant.is_none() && arrival.credential != Credential::Missing;
        let target = || Target { host: arrival.host.clone(), path: arrival.path.clone() };
        let unrouted = (route.is_none() || is_nobodys).then(target);
        CallerRequest {
            connection,
            outbound,
            route,
            tenant,
            unrouted,
            version: self.version(),
            arrived: self.now,
            keeps_alive: head.keeps_alive(),
            extras: 0,
            trace: Trace::default(),
        }
    }

    /// Names of the route and the tenant of a request, for the log.
    fn identify(&self, host: &str, path: &str, credential: Credential) -> (Option<Arc<str>>, Option<Arc<str>>) {
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

    /// Names the route and the tenant of a request that was held until they were known.
    fn name_held_route(&self, pending: &mut CallerRequest) {
        let Some(target) = pending.unrouted.take() else {
            return;
        };
        (pending.route, pending.tenant) = self.identify(&target.host, &target.path, pending.outbound.credential);
        pending.version = self.version();
    }

    fn on_caller_gone(&mut self, connection: SocketId) {
        let Some(key) = self.requests.key_of(connection) else {
            return;
        };
        self.metrics.caller_gone();
        if let Some(pending) = self.requests.take(key) {
            self.log_caller_gone(&pending);
        }
        self.engine_event(RoutingEvent::CallerGone(key));
    }

    fn on_fault(&mut self, connection: SocketId, fault: ServerFault) {
        let kind = match fault {
            ServerFault::BadRequest => ErrorKind::BadRequest,
            ServerFault::BodyTooLong => ErrorKind::TooLarge,
            ServerFault::HeadTooLong => ErrorKind::HeadTooLarge,
        };
        self.refuse_connection(connection, kind);
    }

    /// Refuses what never became a request, and ends the connection.
    fn refuse_connection(&mut self, connection: SocketId, kind: ErrorKind) {
        self.refuse_unread(connection, kind, Ending { closes: true, is_head: false });
    }

    /// Refuses a request that comes too late in a planned stop. Its connection is kept for as long as callers can connect: whoever goes on asking
    /// would make a new one for each request, and one that is made as the listener closes is reset.
    fn refuse_leaving(&mut self, connection: SocketId, is_head: bool) {
        let ending = Ending { closes: !self.is_listening_to_callers(), is_head };
        self.refuse_unread(connection, ErrorKind::Leaving, ending);
    }

    fn refuse_unread(&mut self, connection: SocketId, kind: ErrorKind, ending: Ending) {
        self.metrics.refused(kind);
        self.log.line(self.now, LineKind::Drop, format_args!("event=refused_unread kind={kind}"));
        let Ending { closes, is_head } = ending;
        let context = AnswerContext { names: self.dialect.headers(), id: None, closes, is_head };
        let answer = context.refused(kind, kind.meaning(), None);
        self.respond(connection, answer, closes);
    }

    pub(super) fn respond(&mut self, connection: SocketId, answer: Vec<u8>, closes: bool) {
        let mut events = Vec::new();
        let io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.server.respond(connection, answer, closes, &io, &mut events);
        self.take_server_events(events);
    }

    pub(super) fn engine_event(&mut self, event: RoutingEvent) {
        let mut actions = Vec::new();
        let recorded = self.to_record(&event);
        self.engine.on_event(self.now, event, &mut actions);
        if let Some(recorded) = recorded {
            self.record(recorded, &actions);
        }
        for action in actions {
            self.take_action(action);
        }
    }

    fn take_action(&mut self, action: RoutingAction) {
        match action {
            RoutingAction::Send(order) => self.send(order),
            RoutingAction::Abandon { attempt, patience, cause } => self.abandon(attempt, patience, cause),
            RoutingAction::Recall { attempt } => self.recall(attempt),
            RoutingAction::Finish { request, verdict } => self.finish(request, verdict),
            RoutingAction::SendQuotas { to, messages } => self.fleet.send_quotas(to, messages),
            RoutingAction::Suspicion { change, is_by_peers } => self.note_suspicion(change, is_by_peers),
            RoutingAction::Unsent { request, service, reason, cause } => {
                self.note_unsent(request, &service, reason, cause);
            }
            RoutingAction::LeftOut { request, service, asked, cause } => {
                self.note_left_out(request, &service, &asked, cause);
            }
            RoutingAction::Held { request, cause } => self.note_held(request, cause),
            RoutingAction::KeyRefused { request, cause } => self.note_key_refused(request, cause),
            RoutingAction::NotAdmitted { request, group, fraction } => {
                self.note_not_admitted(request, &group, fraction);
            }
            RoutingAction::Admission { group, change } => self.log_admission(&group, &change),
            RoutingAction::Quota(change) => self.log_quota(&change),
            RoutingAction::Alarm { route, is_raised } => self.note_alarm(&route, is_raised),
            RoutingAction::Probe { request, step } => self.note_probe(request, step),
        }
    }

    pub(super) fn finish(&mut self, key: RequestKey, verdict: Verdict) {
        let Some(mut pending) = self.requests.take(key) else {
            return;
        };
        self.name_held_route(&mut pending);
        let closes = !pending.keeps_alive || self.stop.is_some();
        let context = AnswerContext {
            names: self.dialect.headers(),
            id: pending.outbound.id.as_deref(),
            closes,
            is_head: &*pending.outbound.method == "HEAD",
        };
        let answer = match &verdict {
            Verdict::Merged(merged) => context.merged(merged),
            Verdict::Passed(passed) => context.passed(passed),
            Verdict::Refused { kind, detail, retry_after } => context.refused(*kind, detail, *retry_after),
        };
        self.log_finished(&pending, &verdict);
        self.respond(pending.connection, answer, closes);
    }
}
