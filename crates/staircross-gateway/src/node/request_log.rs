//! Log lines on callers' requests: the decisions for each, and its end.
//!
//! A `trace_…` function adds a line to its request's trace. The trace is written when the request ends. A `log_…`
//! function writes a line at once. This module relies on `caller_request` for the traces.

use super::GatewayNode;
use super::caller_request::CallerRequest;
use crate::connection_reuse::Evidence;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_quota::QuotaChange;
use staircross_routing::configuration::tenants::KeyRefusal;
use staircross_routing::decision::admission::AdmissionChange;
use staircross_routing::engine::{
    HoldCause, LastLoadReport, LeftOutCause, ProbeStep, SendOrder, SendReason, UnsentCause,
};
use staircross_routing::{AttemptKey, AttemptOutcome, RequestKey, RequestOutcome, SearcherKey};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

impl<D: Dialect> GatewayNode<D> {
    /// Adds a decision to its request's trace, with the request's id and the time since its arrival.
    pub(super) fn trace_decision(&mut self, request: RequestKey, text: fmt::Arguments<'_>) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let after = self.now.since(pending.arrived).as_millis();
        let line = format!("{text} request={} after_ms={after}", pending.id());
        pending.trace.add(self.now, line);
    }

    /// Traces an attempt that is sent in addition to the first one of its shard.
    pub(super) fn trace_sent(&mut self, order: &SendOrder) {
        let (attempt, reason, instance) = (order.attempt.number, order.reason.name(), &order.instance);
        let reported = ReportedLoad(order.reported);
        let text = format_args!("event=send attempt={attempt} reason={reason} searcher={instance}{reported}");
        self.trace_decision(order.attempt.request, text);
    }

    /// Traces an attempt that was wanted but isn't made.
    pub(super) fn trace_unsent(&mut self, request: RequestKey, service: &str, reason: SendReason, cause: UnsentCause) {
        let (reason, cause) = (reason.name(), cause.name());
        self.trace_decision(request, format_args!("event=unsent service={service} reason={reason} cause={cause}"));
    }

    /// Traces that a request ends without a shard's part.
    pub(super) fn trace_left_out(
        &mut self,
        request: RequestKey,
        service: &str,
        asked: &[Arc<str>],
        cause: LeftOutCause,
    ) {
        let (asked, cause) = (asked.join(","), cause.name());
        self.trace_decision(request, format_args!("event=left_out service={service} asked={asked} cause={cause}"));
    }

    /// Traces that a request waits until this node has the state that it needs.
    pub(super) fn trace_held(&mut self, request: RequestKey, cause: HoldCause) {
        self.trace_decision(request, format_args!("event=held cause={}", cause.name()));
    }

    /// Traces that a request arrived while an alarm was raised for its route, or that its first probe has advanced.
    pub(super) fn trace_probe(&mut self, request: RequestKey, step: ProbeStep) {
        let name = step.name();
        match step.alarm_age() {
            Some(age) => {
                let age = age.as_millis();
                self.trace_decision(request, format_args!("event=probe step={name} alarm_age_ms={age}"));
            }
            None => self.trace_decision(request, format_args!("event=probe step={name}")),
        }
    }

    /// Traces that a request's key was rejected.
    pub(super) fn trace_key_refused(&mut self, request: RequestKey, cause: KeyRefusal) {
        self.trace_decision(request, format_args!("event=key_refused cause={}", cause.name()));
    }

    /// Traces that a request is refused because too much work waits at its services.
    pub(super) fn trace_not_admitted(&mut self, request: RequestKey, group: &str, fraction: f64) {
        self.trace_decision(request, format_args!("event=not_admitted group={group} part={fraction:.2}"));
    }

    /// Traces the end of an attempt. A successful answer has no line here: the line of the request's own end covers
    /// it.
    pub(super) fn trace_attempt_ended(&mut self, attempt: AttemptKey, outcome: &AttemptOutcome) {
        let Some(what) = describe_failed_attempt(outcome) else {
            return;
        };
        let number = attempt.number;
        // Only an attempt that the engine no longer knows has no searcher; its line has an empty name.
        let searcher = self.engine.instance_of(attempt).cloned().unwrap_or_default();
        let text = format_args!("event=attempt_ended attempt={number} searcher={searcher} {what}");
        self.trace_decision(attempt.request, text);
    }

    /// Logs that a searcher sent an answer with another request's id, which was skipped.
    pub(super) fn log_skipped_answer(&mut self, searcher: SearcherKey) {
        let line = format_args!("event=answer_skipped searcher={} reason=other_id", searcher.0);
        self.log.line(self.now, LineKind::Drop, line);
    }

    /// Logs that connections to the searchers of a service carry one request each from now on.
    pub(super) fn log_reuse_ended(&mut self, service: &str, evidence: Evidence) {
        let line = format_args!("event=reuse_ended service={service} evidence={}", evidence.name());
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs a change of the fraction of work that is admitted to a group of services.
    pub(super) fn log_admission(&mut self, group: &str, change: &AdmissionChange) {
        let AdmissionChange { level, wait, tolerable } = change;
        let (wait, tolerable) = (wait.as_millis(), tolerable.as_millis());
        let line =
            format_args!("event=admission group={group} level={level:.2} wait_ms={wait} tolerable_ms={tolerable}");
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs that a tenant has become limited by its quota at this node, or no longer is.
    pub(super) fn log_quota(&mut self, change: &QuotaChange) {
        let QuotaChange { tenant, is_limited, admit_fraction, is_deciding_locally, substitute } = change;
        let substitute = substitute.map_or_else(|| "-".to_owned(), |node| node.to_string());
        let line = format_args!(
            "event=quota tenant={tenant} limited={is_limited} pass={admit_fraction:.2} owner_silent={is_deciding_locally} substitute={substitute}"
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }

    /// Logs that a caller disconnected before its request was answered.
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

    /// Logs and counts the end of a request.
    pub(super) fn log_finished(&mut self, pending: &CallerRequest, outcome: &RequestOutcome) {
        let is_complete = match outcome {
            RequestOutcome::Merged(merged) => merged.missing == 0,
            RequestOutcome::Passed(answer) => answer.status < 500,
            RequestOutcome::Refused { .. } => false,
        };
        self.log_trace(pending, if is_complete { LineKind::AnsweredTrace } else { LineKind::Trace });
        let took = self.now.since(pending.arrived);
        self.count_finished(pending, outcome, took);
        let (outcome, status, parts, missing) = match outcome {
            RequestOutcome::Merged(merged) => ("merged", 200, merged.stamps.len(), merged.missing),
            RequestOutcome::Passed(answer) => ("passed", answer.status, 1, 0),
            RequestOutcome::Refused { kind, .. } => (kind.name(), kind.http_status(), 0, 0),
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
                pending.extra_attempts,
                pending.content(),
                took.as_secs_f64() * 1000.0
            ),
        );
    }

    fn count_finished(&mut self, pending: &CallerRequest, outcome: &RequestOutcome, took: Duration) {
        match outcome {
            RequestOutcome::Refused { kind, .. } => self.metrics.count_refusal(*kind),
            RequestOutcome::Merged(_) | RequestOutcome::Passed(_) => {
                self.metrics.count_answer(pending.route.as_ref(), took)
            }
        }
        if let Some(tenant) = &pending.tenant {
            self.metrics.tenants.count(tenant, matches!(outcome, RequestOutcome::Refused { .. }));
        }
    }
}

/// Formats the load that a searcher last reported, as the end of a log line.
struct ReportedLoad(Option<LastLoadReport>);

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(reported) => write!(f, " load={} load_age_ms={}", reported.load, reported.age.as_millis()),
            None => Ok(()),
        }
    }
}

/// Describes an attempt's end for the trace; `None` for a successful answer, which the line of the request's own end
/// covers.
fn describe_failed_attempt(outcome: &AttemptOutcome) -> Option<String> {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status < 300 => None,
        AttemptOutcome::Answered(answer) => Some(format!("outcome=failed status={}", answer.status)),
        AttemptOutcome::NotRun(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Unknown(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Cancelled => Some("outcome=withdrawn".to_owned()),
    }
}
