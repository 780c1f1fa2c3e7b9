//! What is logged of callers' requests: their decisions, kept until they end, and their ends.
//!
//! A `note_…` function adds to the trace of its request, which is logged when the request ends and only where its end
//! warrants that; a `log_…` function writes a line at once. Relies on `caller_request` for the traces.

use super::GatewayNode;
use super::caller_request::CallerRequest;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_quota::QuotaChange;
use staircross_routing::configuration::tenants::KeyRefusal;
use staircross_routing::decision::admission::AdmissionChange;
use staircross_routing::engine::{
    HoldCause, LastLoadReport, LeftOutCause, ProbeStep, SendOrder, SendReason, UnsentCause,
};
use staircross_routing::{AttemptKey, AttemptOutcome, RequestKey, SearcherKey, Verdict};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

impl<D: Dialect> GatewayNode<D> {
    /// One line for a decision within a request: what, for which request, how long after its arrival.
    pub(super) fn note_decision(&mut self, request: RequestKey, text: fmt::Arguments<'_>) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let after = self.now.since(pending.arrived).as_millis();
        let line = format!("{text} request={} after_ms={after}", pending.id());
        pending.trace.add(self.now, line);
    }

    /// An attempt besides the first of a shard is sent.
    pub(super) fn note_sent(&mut self, order: &SendOrder) {
        let (attempt, reason, instance) = (order.attempt.number, order.reason.name(), &order.instance);
        let reported = Reported(order.reported);
        let text = format_args!("event=send attempt={attempt} reason={reason} searcher={instance}{reported}");
        self.note_decision(order.attempt.request, text);
    }

    /// An attempt that was wanted isn't made.
    pub(super) fn note_unsent(&mut self, request: RequestKey, service: &str, reason: SendReason, cause: UnsentCause) {
        let (reason, cause) = (reason.name(), cause.name());
        self.note_decision(request, format_args!("event=unsent service={service} reason={reason} cause={cause}"));
    }

    /// A request ends without a part of a shard.
    pub(super) fn note_left_out(
        &mut self,
        request: RequestKey,
        service: &str,
        asked: &[Arc<str>],
        cause: LeftOutCause,
    ) {
        let (asked, cause) = (asked.join(","), cause.name());
        self.note_decision(request, format_args!("event=left_out service={service} asked={asked} cause={cause}"));
    }

    /// A request waits until this node knows what it needs.
    pub(super) fn note_held(&mut self, request: RequestKey, cause: HoldCause) {
        self.note_decision(request, format_args!("event=held cause={}", cause.name()));
    }

    /// A request came while its route was on alarm, or its first probe has moved on.
    pub(super) fn note_probe(&mut self, request: RequestKey, step: ProbeStep) {
        let name = step.name();
        match step.alarm_age() {
            Some(age) => {
                let age = age.as_millis();
                self.note_decision(request, format_args!("event=probe step={name} alarm_age_ms={age}"));
            }
            None => self.note_decision(request, format_args!("event=probe step={name}")),
        }
    }

    /// A request's key lets nobody in.
    pub(super) fn note_key_refused(&mut self, request: RequestKey, cause: KeyRefusal) {
        self.note_decision(request, format_args!("event=key_refused cause={}", cause.name()));
    }

    /// A request is refused because too much waits at its services.
    pub(super) fn note_not_admitted(&mut self, request: RequestKey, group: &str, fraction: f64) {
        self.note_decision(request, format_args!("event=not_admitted group={group} part={fraction:.2}"));
    }

    /// An attempt has ended; an answer that counts is in the line of the request's own end.
    pub(super) fn note_attempt_ended(&mut self, attempt: AttemptKey, outcome: &AttemptOutcome) {
        let Some(what) = notable_end(outcome) else {
            return;
        };
        let number = attempt.number;
        // Only an attempt that the engine has forgotten has no searcher: its line goes without the name.
        let searcher = self.engine.instance_of(attempt).cloned().unwrap_or_default();
        let text = format_args!("event=attempt_ended attempt={number} searcher={searcher} {what}");
        self.note_decision(attempt.request, text);
    }

    /// A searcher's answer belonged to another request.
    pub(super) fn log_skipped(&mut self, searcher: SearcherKey) {
        let line = format_args!("event=answer_skipped searcher={} reason=other_id", searcher.0);
        self.log.line(self.now, LineKind::Drop, line);
    }

    /// What is taken of the work offered to a group of services has changed.
    pub(super) fn log_admission(&mut self, group: &str, change: &AdmissionChange) {
        let AdmissionChange { level, wait, tolerable } = change;
        let (wait, tolerable) = (wait.as_millis(), tolerable.as_millis());
        let line =
            format_args!("event=admission group={group} level={level:.2} wait_ms={wait} tolerable_ms={tolerable}");
        self.log.line(self.now, LineKind::Belief, line);
    }

    /// A tenant has become limited at this node, or is free again.
    pub(super) fn log_quota(&mut self, change: &QuotaChange) {
        let QuotaChange { tenant, is_limited, pass, is_stranded, substitute } = change;
        let substitute = substitute.map_or_else(|| "-".to_owned(), |node| node.to_string());
        let line = format_args!(
            "event=quota tenant={tenant} limited={is_limited} pass={pass:.2} owner_silent={is_stranded} substitute={substitute}"
        );
        self.log.line(self.now, LineKind::Belief, line);
    }

    /// A caller left before its request had an answer.
    pub(super) fn log_caller_gone(&mut self, pending: &CallerRequest) {
        self.log_trace(pending, LineKind::AnsweredTrace);
        let took = self.now.since(pending.arrived).as_millis();
        let (id, route, tenant) = (pending.id(), pending.route_name(), pending.tenant_name());
        let (version, content) = (pending.version, pending.content());
        let line = format_args!(
            "event=caller_gone request={id} route={route} tenant={tenant} version={version} content={content} ms={took}"
        );
        self.log.line(self.now, LineKind::Request, line);
    }

    fn log_trace(&mut self, pending: &CallerRequest, kind: LineKind) {
        if !pending.trace.is_empty() {
            self.log.trace(self.now, kind, pending.trace.lines());
        }
    }

    /// A request has its verdict.
    pub(super) fn log_finished(&mut self, pending: &CallerRequest, verdict: &Verdict) {
        let is_whole = match verdict {
            Verdict::Merged(merged) => merged.missing == 0,
            Verdict::Passed(answer) => answer.status < 500,
            Verdict::Refused { .. } => false,
        };
        self.log_trace(pending, if is_whole { LineKind::AnsweredTrace } else { LineKind::Trace });
        let took = self.now.since(pending.arrived);
        self.count_finished(pending, verdict, took);
        let (outcome, status, parts, missing) = match verdict {
            Verdict::Merged(merged) => ("merged", 200, merged.stamps.len(), merged.missing),
            Verdict::Passed(answer) => ("passed", answer.status, 1, 0),
            Verdict::Refused { kind, .. } => (kind.name(), kind.http_status(), 0, 0),
        };
        self.log.line(
            self.now,
            LineKind::Request,
            format_args!(
                "event=finish request={} route={} tenant={} version={} outcome={outcome} status={status} parts={parts} \
                 missing={missing} extras={} content={} ms={:.1}",
                pending.id(),
                pending.route_name(),
                pending.tenant_name(),
                pending.version,
                pending.extras,
                pending.content(),
                took.as_secs_f64() * 1000.0
            ),
        );
    }

    fn count_finished(&mut self, pending: &CallerRequest, verdict: &Verdict, took: Duration) {
        match verdict {
            Verdict::Refused { kind, .. } => self.metrics.refused(*kind),
            Verdict::Merged(_) | Verdict::Passed(_) => self.metrics.answered(pending.route.as_ref(), took),
        }
        if let Some(tenant) = &pending.tenant {
            self.metrics.tenants.count(tenant, matches!(verdict, Verdict::Refused { .. }));
        }
    }
}

/// What a searcher reported last of its load, as the end of a line.
struct Reported(Option<LastLoadReport>);

impl fmt::Display for Reported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(reported) => write!(f, " load={} load_age_ms={}", reported.load, reported.age.as_millis()),
            None => Ok(()),
        }
    }
}

/// What is logged of an attempt's end; an answer that counts is in the line of the request's own end.
fn notable_end(outcome: &AttemptOutcome) -> Option<String> {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status < 300 => None,
        AttemptOutcome::Answered(answer) => Some(format!("outcome=failed status={}", answer.status)),
        AttemptOutcome::NotRun(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Unknown(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Cancelled => Some("outcome=withdrawn".to_owned()),
    }
}
