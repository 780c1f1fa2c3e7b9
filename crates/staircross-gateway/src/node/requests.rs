//! Callers' requests: from their connection through the engine to searchers and back.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::outbound::{AnswerContext, OutboundRequest};
use crate::pool::PoolEvent;
use crate::server::{Endpoint, ServerEvent};
use crate::socket::SocketId;
use staircross_http::{Request, ServerFault};
use staircross_routing::admission::AdmissionChange;
use staircross_routing::engine::{RoutingAction, RoutingEvent, SendOrder, SendReason};
use staircross_routing::{Arrival, AttemptOutcome, CallerLink, RequestKey, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// A request whose caller waits.
pub(super) struct CallerRequest {
    connection: SocketId,
    outbound: OutboundRequest,
    route: Option<Arc<str>>,
    /// What was asked for, where no route was known when the request came.
    unrouted: Option<Target>,
    version: u64,
    arrived: BootTime,
    keeps_alive: bool,
    /// Attempts besides the first of each shard.
    extras: u32,
    trace: Trace,
}

/// What a route is found by.
struct Target {
    host: String,
    path: String,
}

/// Decisions within a request, kept until it ends.
#[derive(Default)]
struct Trace {
    lines: Vec<(BootTime, String)>,
}

/// Decisions kept for one request.
const MAX_TRACE: usize = 96;
/// Rest of connections to searchers at a node that serves no callers: others need them.
const RESERVE_REST: Duration = Duration::from_secs(2);

impl Trace {
    fn add(&mut self, now: BootTime, text: String) {
        if self.lines.len() < MAX_TRACE {
            self.lines.push((now, text));
        }
    }

    fn lines(&self) -> impl Iterator<Item = (BootTime, &str)> {
        self.lines.iter().map(|(time, text)| (*time, text.as_str()))
    }
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
            is_behind: self.fleet.is_version_behind(),
            knows_searchers: self.mirror.has_listing(),
            link,
        };
        let route = self.route_name(&arrival.host, &arrival.path);
        let unrouted = match route {
            Some(_) => None,
            None => Some(Target { host: arrival.host.clone(), path: arrival.path.clone() }),
        };
        let keeps_alive = head.keeps_alive();
        let pending = CallerRequest {
            connection,
            outbound,
            route,
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

    fn route_name(&self, host: &str, path: &str) -> Option<Arc<str>> {
        let table = self.engine.table()?;
        let index = table.find_index(host, path)?;
        Some(table.definition().routes[index].name.clone())
    }

    fn version(&self) -> u64 {
        self.engine.table().map_or(0, |table| table.version())
    }

    /// Names the route of a request that was held until it was known.
    fn name_held_route(&self, pending: &mut CallerRequest) {
        let Some(target) = pending.unrouted.take() else {
            return;
        };
        pending.route = self.route_name(&target.host, &target.path);
        pending.version = self.version();
    }

    fn on_caller_gone(&mut self, connection: SocketId) {
        let Some(key) = self.by_connection.remove(&connection) else {
            return;
        };
        self.metrics.caller_gone();
        if let Some(pending) = self.callers.remove(&key) {
            self.tell_trace(&pending, LineKind::AnsweredTrace);
            let took = self.now.since(pending.arrived).as_millis();
            self.log.line(
                self.now,
                LineKind::Request,
                format_args!(
                    "event=caller_gone request={} route={} version={} ms={took}",
                    pending.id(),
                    pending.route_name(),
                    pending.version
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
        let answer = context.refused(kind, kind.meaning());
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
            RoutingAction::NotAdmitted { request, group, part } => {
                self.note_decision(request, format_args!("event=not_admitted group={group} part={part:.2}"));
            }
            RoutingAction::Admission { group, change } => {
                let AdmissionChange { level, wait, tolerable } = change;
                let (wait, tolerable) = (wait.as_millis(), tolerable.as_millis());
                let line = format_args!(
                    "event=admission group={group} level={level:.2} wait_ms={wait} tolerable_ms={tolerable}"
                );
                self.log.line(self.now, LineKind::Belief, line);
            }
            RoutingAction::Finish { request, verdict } => self.finish(request, verdict),
        }
    }

    /// One line for a decision within a request: what, for which request, how long after its arrival.
    fn note_decision(&mut self, request: RequestKey, text: std::fmt::Arguments<'_>) {
        let Some(pending) = self.callers.get_mut(&request) else {
            return;
        };
        let after = self.now.since(pending.arrived).as_millis();
        let line = format!("{text} request={} after_ms={after}", pending.id());
        pending.trace.add(self.now, line);
    }

    fn send(&mut self, order: SendOrder) {
        let Some(pending) = self.callers.get_mut(&order.attempt.request) else {
            return;
        };
        let outbound = pending.outbound.clone();
        if order.reason != SendReason::First {
            pending.extras += 1;
            let (attempt, reason, instance) = (order.attempt.number, order.reason.name(), &order.instance);
            let text = format_args!("event=send attempt={attempt} reason={reason} searcher={instance}");
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
                        let text = format_args!("event=attempt_ended attempt={number} {what}");
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
            Verdict::Refused { kind, detail } => context.refused(*kind, detail),
        };
        self.note_finished(&pending, &verdict);
        self.respond(pending.connection, answer, closes);
    }

    fn tell_trace(&mut self, pending: &CallerRequest, kind: LineKind) {
        if !pending.trace.lines.is_empty() {
            self.log.trace(self.now, kind, pending.trace.lines());
        }
    }

    fn note_finished(&mut self, pending: &CallerRequest, verdict: &Verdict) {
        let is_whole = match verdict {
            Verdict::Merged(merged) => merged.missing == 0,
            Verdict::Passed(answer) => answer.status < 500,
            Verdict::Refused { .. } => false,
        };
        self.tell_trace(pending, if is_whole { LineKind::AnsweredTrace } else { LineKind::Trace });
        let took = self.now.since(pending.arrived);
        let (outcome, parts, missing) = match verdict {
            Verdict::Merged(merged) => ("merged", merged.stamps.len(), merged.missing),
            Verdict::Passed(_) => ("passed", 1, 0),
            Verdict::Refused { kind, .. } => (kind.name(), 0, 0),
        };
        match verdict {
            Verdict::Refused { kind, .. } => self.metrics.refused(*kind),
            Verdict::Merged(_) | Verdict::Passed(_) => self.metrics.answered(pending.route.as_ref(), took),
        }
        let status = match verdict {
            Verdict::Merged(_) => 200,
            Verdict::Passed(answer) => answer.status,
            Verdict::Refused { kind, .. } => kind.http_status(),
        };
        self.log.line(
            self.now,
            LineKind::Request,
            format_args!(
                "event=finish request={} route={} version={} outcome={outcome} status={status} parts={parts} \
                 missing={missing} extras={} ms={:.1}",
                pending.id(),
                pending.route_name(),
                pending.version,
                pending.extras,
                took.as_secs_f64() * 1000.0
            ),
        );
    }
}

impl CallerRequest {
    fn id(&self) -> &str {
        self.outbound.id.as_deref().and_then(|id| std::str::from_utf8(id).ok()).unwrap_or("-")
    }

    fn route_name(&self) -> &str {
        self.route.as_deref().unwrap_or("-")
    }
}

/// What is told of an attempt's end; an answer that counts is told by the request's own end.
fn notable_end(outcome: &AttemptOutcome) -> Option<String> {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status < 300 => None,
        AttemptOutcome::Answered(answer) => Some(format!("outcome=failed status={}", answer.status)),
        AttemptOutcome::NotRun(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Unknown(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Withdrawn => Some("outcome=withdrawn".to_owned()),
    }
}
