//! A journal of all actions that an engine requests, as lines of log names and numbers with a digest for each kind.
//!
//! The lines don't contain names of types, variants or fields, so renames don't change them.

use staircross_quota::{QuotaChange, QuotaMessage};
use staircross_routing::RoutingAction;
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::{AbandonCause, SendOrder};
use staircross_routing::{AttemptKey, RequestOutcome, SentIdentity};
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::fmt::Write;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Environment variable that names a directory. Each scenario writes its lines there, so that the first differing line
/// can be found.
const LINES_DIRECTORY_VARIABLE: &str = "PINNED_LINES";

/// Number and digest of the lines of one kind.
#[derive(Default)]
struct Kind {
    count: usize,
    digest: Xxh3,
}

/// The lines of one scenario.
#[derive(Default)]
pub struct Journal {
    kinds: BTreeMap<String, Kind>,
    all: Kind,
    lines: String,
}

impl Journal {
    /// Adds a line of a kind.
    pub fn record(&mut self, now: BootTime, kind: &str, text: &str) {
        let line = format!("{} {kind} {text}\n", now.0);
        for entry in [self.kinds.entry(kind.to_owned()).or_default(), &mut self.all] {
            entry.count += 1;
            entry.digest.update(line.as_bytes());
        }
        self.lines.push_str(&line);
    }

    /// Returns a table with one line for each kind: its name, count and digest. Writes the lines of the scenario if
    /// `PINNED_LINES` is set.
    pub fn table(&self, scenario: &str) -> String {
        if let Some(directory) = std::env::var_os(LINES_DIRECTORY_VARIABLE) {
            let path = std::path::Path::new(&directory).join(scenario);
            std::fs::write(path, &self.lines).expect("the directory can be written to");
        }
        let mut table = String::new();
        let kinds = self.kinds.iter().map(|(name, kind)| (name.as_str(), kind));
        for (name, kind) in kinds.chain([("all", &self.all)]) {
            writeln!(table, "{name:<32} {:>6} {:016x}", kind.count, kind.digest.digest())
                .expect("writing to a string doesn't fail");
        }
        table
    }

    pub fn record_action(&mut self, now: BootTime, action: &RoutingAction) {
        let (kind, text) = line(action);
        self.record(now, &kind, &text);
    }
}

fn key(attempt: AttemptKey) -> String {
    format!("{}.{}", attempt.request.0, attempt.number)
}

/// Returns the kind and the text of an action's line.
fn line(action: &RoutingAction) -> (String, String) {
    match action {
        RoutingAction::Send(order) => (format!("send {}", order.reason.name()), send(order)),
        RoutingAction::Abandon { attempt, answer_timeout, cause } => {
            let cause = match cause {
                AbandonCause::Superseded => "superseded",
                AbandonCause::CallerGone => "caller_gone",
                AbandonCause::Quarantined => "quarantined",
            };
            (format!("abandon {cause}"), format!("{} {}", key(*attempt), answer_timeout.as_micros()))
        }
        RoutingAction::Recall { attempt } => ("recall".into(), key(*attempt)),
        RoutingAction::Unsent { request, service, reason, cause } => {
            (format!("unsent {}", cause.name()), format!("{} {service} {}", request.0, reason.name()))
        }
        RoutingAction::LeftOut { request, service, asked, cause } => {
            (format!("left out {}", cause.name()), format!("{} {service} {}", request.0, asked.join(",")))
        }
        RoutingAction::Held { request, cause } => (format!("held {}", cause.name()), request.0.to_string()),
        RoutingAction::KeyRefused { request, cause } => {
            (format!("key {}", cause.name()), format!("{} {}", request.0, cause.detail()))
        }
        RoutingAction::NotAdmitted { request, group, fraction } => {
            ("not admitted".into(), format!("{} {group} {fraction}", request.0))
        }
        RoutingAction::Admission { group, change } => {
            let (wait, tolerable) = (change.wait.as_nanos(), change.tolerable.as_nanos());
            ("admission".into(), format!("{group} {wait} {tolerable} {}", change.level))
        }
        RoutingAction::Suspicion { change, is_from_peers } => {
            let text = format!("{} {} {} {is_from_peers}", change.content, change.losses, change.is_raised);
            (format!("suspicion {}", change.suspicion.name()), text)
        }
        RoutingAction::SendQuotas { to, messages } => {
            let messages: Vec<String> = messages.iter().map(quota_message).collect();
            ("quota sent".into(), format!("{} {}", to.0, messages.join(" ")))
        }
        RoutingAction::Quota(change) => ("quota changed".into(), quota_change(change)),
        RoutingAction::SearcherClosing { instance, service } => ("closing".into(), format!("{instance} {service}")),
        RoutingAction::Alarm { route, is_raised } => ("alarm".into(), format!("{route} {is_raised}")),
        RoutingAction::Probe { request, step } => ("probe".into(), format!("{} {}", request.0, step.name())),
        RoutingAction::Finish { request, outcome } => {
            let (kind, text) = finish(outcome);
            (kind, format!("{} {text}", request.0))
        }
    }
}

fn send(order: &SendOrder) -> String {
    let distance = match order.distance {
        Distance::OwnZone => 0,
        Distance::SameRegion => 1,
        Distance::OtherRegion => 2,
    };
    let identity = match &order.identity {
        SentIdentity::Unmanaged => "unmanaged",
        SentIdentity::Anonymous => "anonymous",
        SentIdentity::Tenant(name) => name,
    };
    let reported = order.reported.as_ref().map(|at| format!("{} {}", at.load, at.age.as_micros()));
    format!(
        "{} {} {} {identity} {distance} {} {} {} {} {}",
        key(order.attempt),
        order.searcher.0,
        order.instance,
        order.deadline.0,
        order.connect_timeout.as_micros(),
        order.is_idempotent,
        order.address,
        reported.unwrap_or_default(),
    )
}

pub fn quota_change(change: &QuotaChange) -> String {
    format!("{} {} {} {}", change.tenant, change.is_limited, change.admit_fraction, change.is_deciding_locally)
}

pub fn quota_message(message: &QuotaMessage) -> String {
    match message {
        QuotaMessage::Report(report) => {
            let (counts, confirmed) = (report.counts, report.confirmed);
            let former = report.former_owner.map_or(0, |former| former.0);
            let counts = [counts.offered, counts.admitted, confirmed.offered, confirmed.admitted];
            format!("r {:x} {} {} {former:x}", report.tenant.0, report.epoch, counts.map(|it| it.to_string()).join(" "))
        }
        QuotaMessage::Grant(grant) => {
            let confirmed =
                grant.confirmation.map(|it| format!("{} {} {}", it.epoch, it.counts.offered, it.counts.admitted));
            format!(
                "w {:x} {} {} {}",
                grant.tenant.0,
                grant.granted_at,
                grant.admit_fraction,
                confirmed.unwrap_or_default()
            )
        }
    }
}

fn finish(outcome: &RequestOutcome) -> (String, String) {
    match outcome {
        RequestOutcome::Merged(merged) => {
            let stamps: Vec<_> = merged.stamps.iter().map(|stamp| String::from_utf8_lossy(stamp)).collect();
            let text = format!("{} {} {:x}", merged.missing, stamps.join(","), xxh3_64(&merged.body));
            ("merged".into(), text)
        }
        RequestOutcome::Passed(answer) => {
            let stamp = answer.stamp.as_deref().map(String::from_utf8_lossy);
            ("passed".into(), format!("{} {} {:x}", answer.status, stamp.unwrap_or_default(), xxh3_64(&answer.body)))
        }
        RequestOutcome::Refused { kind, detail, retry_after } => {
            let retry_after = retry_after.map_or(0, |after| after.as_micros());
            (format!("refused {}", kind.name()), format!("{detail} {retry_after}"))
        }
    }
}
