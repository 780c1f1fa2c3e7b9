//! The node's metrics in the Prometheus text format.
//!
//! [`Metrics`] owns what is counted per request, and the counts of store calls, directory questions and unreadable
//! store items. The counters of the engine, the pool and the fleet, and all gauges, are passed in when the text is
//! rendered.

use crate::tenant_metrics::TenantMetrics;
use crate::traffic::Traffic;
use hashbrown::HashMap;
use staircross_routing::engine::RoutingCounters;
use staircross_routing::store_reader::{Lane, StoreCall};
use staircross_types::ErrorKind;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Upper bounds of the buckets of the answer histograms, in milliseconds. They cover answers from a few milliseconds to
/// ten seconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 75, 100, 150, 250, 500, 1000, 2500, 10_000];
/// Maximum number of routes with a histogram of their own; further routes share one. This bounds the length of the
/// text.
const MAX_ROUTE_HISTOGRAMS: usize = 64;
/// Name of the histogram that further routes share.
const OTHER_ROUTES_NAME: &str = "other";

#[derive(Clone, Debug, Default)]
struct RouteHistogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: f64,
}

/// Gauges and counters of the node's components, as read when the text is rendered.
#[derive(Clone, Copy, Debug, Default)]
pub struct ComponentMetrics {
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Number of open connections that the node's server has accepted, on all listeners.
    pub server_connections: usize,
    /// Number of connections to searchers.
    pub searcher_connections: usize,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether the store holds this version, as far as this node knows.
    pub config_version_held: bool,
    /// Store revision up to which searchers are known.
    pub store_revision: u64,
    /// Number of the store's epoch; 0 if the store tells none.
    pub store_epoch: u64,
    /// Milliseconds since the store last replied to a call for the configuration, and to one for searchers; 0 if the
    /// node doesn't read the store.
    pub store_silence_ms: StoreSilence,
    /// Whether the store answers.
    pub store_reachable: bool,
    /// Whether this node reads the store itself.
    pub reads_store: bool,
    /// Whether the directory sends callers to this node.
    pub serving: bool,
    /// Number of live nodes, as known to this node.
    pub members: usize,
    /// Number of searchers that may get requests.
    pub searchers: usize,
    /// Whether the node is ready to serve requests.
    pub ready: bool,
    /// Number of connection attempts to searchers.
    pub connects: u64,
    /// Number of skipped answers of searchers that belonged to other requests.
    pub skipped: u64,
    /// Number of connections to searchers that broke.
    pub broken: u64,
    /// Number of connections that searchers reset before anything was sent on them.
    pub connections_rejected: u64,
    /// Number of request contents that are sent to one searcher at a time, because searchers were lost while running
    /// requests with them.
    pub suspects: usize,
    /// Number of request contents that are sent to no searcher.
    pub quarantined: usize,
    /// Number of routes whose requests have ended searchers lately.
    pub alarms: usize,
    /// Number of datagrams sent to peers.
    pub datagrams: u64,
    /// Number of bytes in datagrams sent to peers.
    pub datagram_bytes: u64,
}

/// Milliseconds since the store's last reply to the calls for each kind of items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreSilence {
    /// Calls for what the operator writes.
    pub configuration: u64,
    /// Calls for searchers' entries.
    pub searchers: u64,
}

impl StoreSilence {
    fn render(self, text: &mut String) {
        text.push_str("# TYPE staircross_store_silence_ms gauge\n");
        for (lane, silence) in [(Lane::Configuration, self.configuration), (Lane::Searchers, self.searchers)] {
            // Writing to a string can't fail.
            let _infallible = writeln!(text, "staircross_store_silence_ms{{lane=\"{}\"}} {silence}", lane.name());
        }
    }
}

/// Numbers of calls to the store, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCallCounters {
    /// Listings of what the operator writes: the configuration and evacuations.
    pub reads: u64,
    /// Listings of pages of searchers' entries.
    pub lists: u64,
    /// Watches that were started.
    pub watches: u64,
    /// Liveness probes.
    pub probes: u64,
}

impl StoreCallCounters {
    /// Counts a call.
    pub fn count(&mut self, call: &StoreCall) {
        match call {
            StoreCall::List { lane: Lane::Configuration, .. } => self.reads += 1,
            StoreCall::List { .. } => self.lists += 1,
            StoreCall::Watch { .. } => self.watches += 1,
            StoreCall::Probe => self.probes += 1,
        }
    }

    fn render(&self, text: &mut String) {
        text.push_str("# TYPE staircross_store_calls_total counter\n");
        let all = [("read", self.reads), ("list", self.lists), ("watch", self.watches), ("probe", self.probes)];
        for (call, count) in all {
            // Writing to a string can't fail.
            let _infallible = writeln!(text, "staircross_store_calls_total{{call=\"{call}\"}} {count}");
        }
    }
}

fn render_metric(text: &mut String, name: &str, kind: &str, value: u64) {
    // Writing to a string can't fail.
    let _infallible = writeln!(text, "# TYPE staircross_{name} {kind}\nstaircross_{name} {value}");
}

fn render_gauges(components: ComponentMetrics, text: &mut String) {
    let mut line = |name: &str, value: u64| render_metric(text, name, "gauge", value);
    line("requests_in_flight", components.in_flight as u64);
    line("server_connections", components.server_connections as u64);
    line("searcher_connections", components.searcher_connections as u64);
    line("config_version", components.config_version);
    line("config_version_held", u64::from(components.config_version_held));
    line("store_revision", components.store_revision);
    line("store_epoch", components.store_epoch);
    line("store_reachable", u64::from(components.store_reachable));
    line("reads_store", u64::from(components.reads_store));
    line("serving", u64::from(components.serving));
    line("members", components.members as u64);
    line("searchers", components.searchers as u64);
    line("contents_suspect", components.suspects as u64);
    line("contents_quarantined", components.quarantined as u64);
    line("routes_alarmed", components.alarms as u64);
    line("ready", u64::from(components.ready));
}

fn render_traffic(traffic: Traffic, text: &mut String) {
    text.push_str("# TYPE staircross_bytes_total counter\n");
    for (purpose, reach, bytes) in traffic.nonzero_counts() {
        let (purpose, reach) = (purpose.name(), reach.name());
        // Writing to a string can't fail.
        let _infallible = writeln!(text, "staircross_bytes_total{{purpose=\"{purpose}\",reach=\"{reach}\"}} {bytes}");
    }
}

/// The counters of a node.
#[derive(Debug, Default)]
pub struct Metrics {
    routes: HashMap<Arc<str>, RouteHistogram>,
    refusals: HashMap<ErrorKind, u64>,
    answers: u64,
    callers_gone: u64,
    /// Requests and refusals by tenant.
    pub tenants: TenantMetrics,
    /// Calls to the store, by kind.
    pub store_calls: StoreCallCounters,
    /// Questions to the directory.
    pub directory_questions: u64,
    /// Number of times that this process stood still for a second or longer.
    pub process_gaps: u64,
    /// Number of times that a store item changed to a content that can't be used.
    pub unreadable_items: u64,
    /// Number of answers of the store that didn't tell the epoch although it is known, or told it in a wrong form.
    pub unreadable_epochs: u64,
}

impl Metrics {
    /// Counts an answer, and adds the time it took to the histogram of its route.
    pub fn count_answer(&mut self, route: Option<&Arc<str>>, took: Duration) {
        self.answers += 1;
        let is_known = route.is_some_and(|name| self.routes.contains_key(name));
        let name = match route {
            Some(name) if is_known || self.routes.len() < MAX_ROUTE_HISTOGRAMS => name.clone(),
            _ => Arc::from(OTHER_ROUTES_NAME),
        };
        let histogram = self.routes.entry(name).or_default();
        let millis = took.as_secs_f64() * 1000.0;
        for (bucket, bound) in histogram.buckets.iter_mut().zip(BUCKETS_MS) {
            if millis <= bound as f64 {
                *bucket += 1;
            }
        }
        histogram.count += 1;
        histogram.sum_ms += millis;
    }

    /// Counts a refusal by its kind.
    pub fn count_refusal(&mut self, kind: ErrorKind) {
        *self.refusals.entry(kind).or_default() += 1;
    }

    /// Counts a caller that closed its connection before it got its answer.
    pub fn count_caller_gone(&mut self) {
        self.callers_gone += 1;
    }

    /// Renders all metrics as text.
    pub fn render(&self, counters: RoutingCounters, components: ComponentMetrics, traffic: Traffic) -> String {
        let mut text = String::with_capacity(4096);
        self.render_counters(counters, components, &mut text);
        render_gauges(components, &mut text);
        components.store_silence_ms.render(&mut text);
        self.store_calls.render(&mut text);
        render_traffic(traffic, &mut text);
        self.render_refusals(&mut text);
        self.tenants.render(&mut text);
        self.render_histograms(&mut text);
        text
    }

    fn render_counters(&self, counters: RoutingCounters, components: ComponentMetrics, text: &mut String) {
        let mut line = |name: &str, value: u64| render_metric(text, name, "counter", value);
        line("answers_total", self.answers);
        line("callers_gone_total", self.callers_gone);
        line("attempts_first_total", counters.first_attempts);
        line("attempts_hedge_total", counters.hedges);
        line("attempts_retry_total", counters.retries);
        line("attempts_reroute_total", counters.reroutes);
        line("attempts_over_budget_total", counters.over_budget);
        line("searchers_closing_total", counters.closing_searchers);
        line("requests_not_admitted_total", counters.not_admitted);
        line("requests_over_quota_total", counters.over_quota);
        line("quota_messages_total", counters.quota_messages);
        line("answers_partial_total", counters.partial_answers);
        line("searcher_connects_total", components.connects);
        line("searcher_answers_skipped_total", components.skipped);
        line("searcher_connections_broken_total", components.broken);
        line("searcher_connections_turned_away_total", components.connections_rejected);
        line("peer_datagrams_total", components.datagrams);
        line("peer_datagram_bytes_total", components.datagram_bytes);
        line("directory_questions_total", self.directory_questions);
        line("process_gaps_total", self.process_gaps);
        line("store_items_unreadable_total", self.unreadable_items);
        line("store_epochs_unreadable_total", self.unreadable_epochs);
    }

    fn render_refusals(&self, text: &mut String) {
        text.push_str("# TYPE staircross_refusals_total counter\n");
        for (kind, count) in &self.refusals {
            // Writing to a string can't fail.
            let _infallible = writeln!(text, "staircross_refusals_total{{kind=\"{kind}\"}} {count}");
        }
    }

    fn render_histograms(&self, text: &mut String) {
        text.push_str("# TYPE staircross_answer_seconds histogram\n");
        for (route, histogram) in &self.routes {
            for (count, bound) in histogram.buckets.iter().zip(BUCKETS_MS) {
                let seconds = bound as f64 / 1000.0;
                // Writing to a string can't fail.
                let _infallible =
                    writeln!(text, "staircross_answer_seconds_bucket{{route=\"{route}\",le=\"{seconds}\"}} {count}");
            }
            let count = histogram.count;
            let sum = histogram.sum_ms / 1000.0;
            let _infallible = write!(
                text,
                "staircross_answer_seconds_bucket{{route=\"{route}\",le=\"+Inf\"}} {count}\n\
                 staircross_answer_seconds_sum{{route=\"{route}\"}} {sum}\n\
                 staircross_answer_seconds_count{{route=\"{route}\"}} {count}\n"
            );
        }
    }
}
