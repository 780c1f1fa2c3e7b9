//! What is logged of callers' requests: their decisions, kept until they end, and their ends.

use super::GatewayNode;
use super::caller_request::CallerRequest;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::engine::ReportedAt;
use staircross_routing::{AttemptOutcome, RequestKey, Verdict};
use std::fmt;

impl<D: Dialect> GatewayNode<D> {
    /// One line for a decision within a request: what, for which request, how long after its arrival.
    pub(super) fn note_decision(&mut self, request: RequestKey, text: fmt::Arguments<'_>) {
        let Some(pending) = self.callers.get_mut(&request) else {
            return;
        };
        let after = self.now.since(pending.arrived).as_millis();
        let line = format!("{text} request={} after_ms={after}", pending.id());
        pending.trace.add(self.now, line);
    }

    pub(super) fn log_trace(&mut self, pending: &CallerRequest, kind: LineKind) {
        if !pending.trace.is_empty() {
            self.log.trace(self.now, kind, pending.trace.lines());
        }
    }

    pub(super) fn note_finished(&mut self, pending: &CallerRequest, verdict: &Verdict) {
        let is_whole = match verdict {
            Verdict::Merged(merged) => merged.missing == 0,
            Verdict::Passed(answer) => answer.status < 500,
            Verdict::Refused { .. } => false,
        };
        self.log_trace(pending, if is_whole { LineKind::AnsweredTrace } else { LineKind::Trace });
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
        if let Some(tenant) = &pending.tenant {
            self.metrics.tenants.count(tenant, matches!(verdict, Verdict::Refused { .. }));
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
}

/// What a searcher reported last of its load, as the end of a line.
pub(super) struct Reported(pub Option<ReportedAt>);

impl fmt::Display for Reported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(reported) => write!(f, " load={} load_age_ms={}", reported.load, reported.age.as_millis()),
            None => Ok(()),
        }
    }
}

/// What is logged of an attempt's end; an answer that counts is in the line of the request's own end.
pub(super) fn notable_end(outcome: &AttemptOutcome) -> Option<String> {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status < 300 => None,
        AttemptOutcome::Answered(answer) => Some(format!("outcome=failed status={}", answer.status)),
        AttemptOutcome::NotRun(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Unknown(reason) => Some(format!("outcome={}", reason.name())),
        AttemptOutcome::Cancelled => Some("outcome=withdrawn".to_owned()),
    }
}
