//! Prometheus metrics of a node.

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use staircross_search::root::RootCounters;

/// All metrics of a node.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Number of requests ended, by outcome: `answer`, `acted` or an error kind.
    pub requests: IntCounterVec,
    /// Number of sub-requests sent, by reason.
    pub sub_requests: IntCounterVec,
    /// Number of shards missing from answers, by cause.
    pub missing_shards: IntCounterVec,
    /// Number of replies, messages, frames, datagrams and connections dropped, and of session copies that weren't
    /// confirmed in time, by kind.
    pub dropped: IntCounterVec,
    /// Time from a request to its answer, in seconds.
    pub answer_seconds: Histogram,
    /// Number of sessions that the node holds.
    pub sessions: IntGauge,
    /// Number of requests in flight.
    pub in_flight: IntGauge,
    /// Number of members that accept work.
    pub members: IntGauge,
    /// Number of searchers that the node owns.
    pub owned_searchers: IntGauge,
    /// Revision of the document that the node holds.
    pub revision: IntGauge,
    /// Number of bytes sent to other nodes, by transport.
    pub peer_bytes: IntCounterVec,
}

/// Upper bounds of the buckets of the answer time histogram, in seconds.
const ANSWER_BUCKETS: &[f64] = &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0];

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| -> Result<IntCounterVec, prometheus::Error> {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let options =
            HistogramOpts::new("staircross_answer_seconds", "Time to an answer").buckets(ANSWER_BUCKETS.to_vec());
        let answer_seconds = Histogram::with_opts(options)?;
        registry.register(Box::new(answer_seconds.clone()))?;
        Ok(Metrics {
            requests: counter("staircross_requests_total", "Requests ended, by outcome", "outcome")?,
            sub_requests: counter("staircross_sub_requests_total", "Sub-requests sent, by reason", "reason")?,
            missing_shards: counter("staircross_missing_shards_total", "Shards missing from answers", "cause")?,
            dropped: counter("staircross_dropped_total", "Replies, frames and datagrams dropped", "what")?,
            sessions: gauge("staircross_sessions", "Sessions held")?,
            in_flight: gauge("staircross_requests_in_flight", "Requests in flight")?,
            members: gauge("staircross_members", "Members that take work")?,
            owned_searchers: gauge("staircross_owned_searchers", "Searchers owned")?,
            revision: gauge("staircross_config_revision", "Revision of the configuration held")?,
            peer_bytes: counter("staircross_peer_bytes_total", "Bytes sent to other nodes", "transport")?,
            answer_seconds,
            registry,
        })
    }

    /// Adds the differences between two states of the root engine's counters to the metrics.
    pub fn add_root_counters(&self, before: RootCounters, after: RootCounters) {
        let add = |counter: &IntCounterVec, label: &str, before: u64, after: u64| {
            counter.with_label_values(&[label]).inc_by(after - before);
        };
        add(&self.sub_requests, "primary", before.primaries, after.primaries);
        add(&self.sub_requests, "hedge", before.hedges, after.hedges);
        add(&self.sub_requests, "retry", before.retries, after.retries);
        add(&self.sub_requests, "reroute", before.reroutes, after.reroutes);
        add(&self.dropped, "foreign_reply", before.foreign_replies, after.foreign_replies);
        add(&self.dropped, "late_reply", before.late_replies, after.late_replies);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
