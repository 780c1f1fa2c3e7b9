//! Callers' requests: from their connection through the engine to searchers and back.

use super::GatewayNode;
use super::caller_request::{CallerRequest, Target, Trace};
use super::request_log::{Reported, notable_end};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::outbound::{AnswerContext, OutboundRequest};
use crate::pool::PoolEvent;
use crate::server::{Endpoint, ServerEvent};
use crate::socket::SocketId;
use staircross_http::{Request, ServerFault};
use staircross_quota::QuotaChange;
use staircross_routing::decision::admission::AdmissionChange;
use staircross_routing::engine::{RoutingAction, RoutingEvent, SendOrder, SendReason};
use staircross_routing::{Arrival, CallerLink, Credential, RequestKey, Verdict};
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

/// Rest of connections to searchers at a node that serves no callers: others need them.
const RESERVE_REST: Duration = Duration::from_secs(2);

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
        let names = self.dialect.headers();
        let outbound = OutboundRequest::new(&request, names);
        if outbound.id.is_none() {
            return self.refuse_connection(connection, ErrorKind::BadRequest);
        }
        if self.is_closed_to_requests() {
            return self.refuse_connection(connection, ErrorKind::Leaving);
        }
        let key = RequestKey(self.next_request);
        self.next_request += 1;
        let head = &request.head;
        let patience = head.headers.text(names.deadline_ms).and_then(|text| text.parse::<u64>().ok());
        let waited = self.load.longest_wait(self.now);
        let arrival = Arrival {
            key,
            host: head.headers.text("host").unwrap_or_default().to_owned(),
            path: head.path().to_owned(),
            patience: patience.map(Duration::from_millis),
            waited,
            is_overloaded: self.load.is_overloaded(self.now),
            newest_version: self.fleet.newest_version(),
            view: self.configuration_view(),
            knows_searchers: self.mirror.has_listing() && !self.reader.may_lack_searchers(self.now),
            link,
            content: outbound.content,
            credential: outbound.credential,
        };
        let (route, tenant) = self.identify(&arrival.host, &arrival.path, arrival.credential);
        // A newer configuration may know what this one doesn't.
        let is_nobodys = tenant.is_none() && arrival.credential != Credential::Missing;
        let target = || Target { host: arrival.host.clone(), path: arrival.path.clone() };
        let unrouted = (route.is_none() || is_nobodys).then(target);
        let keeps_alive = head.keeps_alive();
        let pending = CallerRequest {
            connection,
            outbound,
            route,
            tenant,
            unrouted,
            version: self.version(),
            arrived: self.now,
            keeps_alive,
            extras: 0,
            trace: Trace::default(),
        };
        self.callers.insert(key, pending);
        self.by_connection.insert(connection, key);
        self.engine_event(RoutingEvent::Arrived(arrival));
    }

    /// Names of the route and the tenant of a request, for the log.
    fn identify(&self, host: &str, path: &str, credential: Credential) -> (Option<Arc<str>>, Option<Arc<str>>) {
        let found = self.engine.table().and_then(|table| Some((table, table.find_index(host, path)?)));
        let Some((table, index)) = found else {
            return (None, None);
        };
        let route = &table.definition().routes[index];
        let tenant = table.judge(route, credential).ok().flatten().and_then(|key| table.tenant(key));
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
        let Some(key) = self.by_connection.remove(&connection) else {
            return;
        };
        self.metrics.caller_gone();
        if let Some(pending) = self.callers.remove(&key) {
            self.log_trace(&pending, LineKind::AnsweredTrace);
            let took = self.now.since(pending.arrived).as_millis();
            self.log.line(
                self.now,
                LineKind::Request,
                format_args!(
                    "event=caller_gone request={} route={} tenant={} version={} content={} ms={took}",
                    pending.id(),
                    pending.route_name(),
                    pending.tenant_name(),
                    pending.version,
                    pending.content()
                ),
            );
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
        self.metrics.refused(kind);
        self.log.line(self.now, LineKind::Drop, format_args!("event=refused_unread kind={kind}"));
        let context = AnswerContext { names: self.dialect.headers(), id: None, closes: true, is_head: false };
        let answer = context.refused(kind, kind.meaning(), None);
        self.respond(connection, answer, true);
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
            RoutingAction::Abandon { attempt, patience, cause } => {
                let mut events = Vec::new();
                self.pool.abandon(self.now, attempt, patience, cause, &mut events);
                self.take_pool_events(events);
            }
            RoutingAction::Recall { attempt } => {
                let mut events = Vec::new();
                self.pool.recall(attempt, &mut events);
                self.take_pool_events(events);
            }
            RoutingAction::Unsent { request, service, reason, cause } => {
                let (reason, cause) = (reason.name(), cause.name());
                self.note_decision(
                    request,
                    format_args!("event=unsent service={service} reason={reason} cause={cause}"),
                );
            }
            RoutingAction::LeftOut { request, service, asked, cause } => {
                let (asked, cause) = (asked.join(","), cause.name());
                let text = format_args!("event=left_out service={service} asked={asked} cause={cause}");
                self.note_decision(request, text);
            }
            RoutingAction::Held { request, cause } => {
                self.note_decision(request, format_args!("event=held cause={}", cause.name()));
            }
            RoutingAction::KeyRefused { request, cause } => {
                self.note_decision(request, format_args!("event=key_refused cause={}", cause.name()));
            }
            RoutingAction::NotAdmitted { request, group, fraction } => {
                self.note_decision(request, format_args!("event=not_admitted group={group} part={fraction:.2}"));
            }
            RoutingAction::Admission { group, change } => {
                let AdmissionChange { level, wait, tolerable } = change;
                let (wait, tolerable) = (wait.as_millis(), tolerable.as_millis());
                let line = format_args!(
                    "event=admission group={group} level={level:.2} wait_ms={wait} tolerable_ms={tolerable}"
                );
                self.log.line(self.now, LineKind::Belief, line);
            }
            RoutingAction::Alarm { route, is_raised } => self.note_alarm(&route, is_raised),
            RoutingAction::Suspicion { change, is_by_peers } => self.note_suspicion(change, is_by_peers),
            RoutingAction::SendQuotas { to, messages } => self.fleet.send_quotas(to, messages),
            RoutingAction::Quota(change) => {
                let QuotaChange { tenant, is_limited, pass, is_stranded } = change;
                let line = format_args!(
                    "event=quota tenant={tenant} limited={is_limited} pass={pass:.2} owner_silent={is_stranded}"
                );
                self.log.line(self.now, LineKind::Belief, line);
            }
            RoutingAction::Finish { request, verdict } => self.finish(request, verdict),
        }
    }

    fn send(&mut self, order: SendOrder) {
        let Some(pending) = self.callers.get_mut(&order.attempt.request) else {
            return;
        };
        let outbound = pending.outbound.clone();
        if order.reason != SendReason::First {
            pending.extras += 1;
            let (attempt, reason, instance) = (order.attempt.number, order.reason.name(), &order.instance);
            let reported = Reported(order.reported);
            let text = format_args!("event=send attempt={attempt} reason={reason} searcher={instance}{reported}");
            self.note_decision(order.attempt.request, text);
        }
        let mut events = Vec::new();
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.send(order, outbound, &mut io, &mut events);
        self.take_pool_events(events);
    }

    pub(super) fn on_pool_socket(&mut self, id: SocketId, is_writable: bool) {
        let mut events = Vec::new();
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.on_ready(id, is_writable, &mut io, &mut events);
        self.take_pool_events(events);
    }

    pub(super) fn on_pool_time(&mut self) {
        let mut events = Vec::new();
        let mut io = Self::io(self.now, &self.poll, &mut self.buffer, &self.engine);
        self.pool.on_tick(&mut io, &mut events);
        self.take_pool_events(events);
    }

    pub(super) fn sweep_pool(&mut self) {
        let mut events = Vec::new();
        let most_rest = if self.is_serving { Duration::MAX } else { RESERVE_REST };
        self.pool.sweep(self.now, most_rest, &mut events);
        self.take_pool_events(events);
    }

    fn take_pool_events(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            match event {
                PoolEvent::Connected { searcher, took } => {
                    self.engine_event(RoutingEvent::Connected { searcher, took });
                }
                PoolEvent::Begun { attempt } => self.engine_event(RoutingEvent::Begun { attempt }),
                PoolEvent::Skipped { searcher } => {
                    let line = format_args!("event=answer_skipped searcher={} reason=other_id", searcher.0);
                    self.log.line(self.now, LineKind::Drop, line);
                }
                PoolEvent::Ended { attempt, outcome } => {
                    if let Some(what) = notable_end(&outcome) {
                        let number = attempt.number;
                        let searcher = self.engine.instance_of(attempt).cloned().unwrap_or_default();
                        let text = format_args!("event=attempt_ended attempt={number} searcher={searcher} {what}");
                        self.note_decision(attempt.request, text);
                    }
                    self.engine_event(RoutingEvent::Ended { attempt, outcome });
                }
            }
        }
    }

    fn finish(&mut self, key: RequestKey, verdict: Verdict) {
        let Some(mut pending) = self.callers.remove(&key) else {
            return;
        };
        self.name_held_route(&mut pending);
        self.by_connection.remove(&pending.connection);
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
        self.note_finished(&pending, &verdict);
        self.respond(pending.connection, answer, closes);
    }
}
