//! Periodic log lines with totals since the start: bytes sent and received, and calls to the store.
//!
//! This module adds up the byte counters of the components.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::traffic::Traffic;
use std::fmt::Write;
use std::time::Duration;

/// Interval between two summaries. It is long enough that summaries are a small share of the log lines, and short
/// enough to show how an hour went.
pub(super) const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

impl<D: Dialect> GatewayNode<D> {
    /// Returns the bytes sent and received since the start.
    pub(super) fn all_traffic(&self) -> Traffic {
        let mut traffic = self.traffic;
        traffic += self.pool.traffic;
        traffic += self.fleet.traffic;
        traffic
    }

    /// Writes the summary lines when they are due.
    pub(super) fn log_summary(&mut self) {
        if self.now < self.log_limits.next_summary {
            return;
        }
        self.log_limits.next_summary = self.now + SUMMARY_INTERVAL;
        let mut text = String::from("event=traffic");
        for (purpose, reach, bytes) in self.all_traffic().nonzero_counts() {
            // Writing to a string can't fail.
            let _infallible = write!(text, " {}_{}={bytes}", purpose.name(), reach.name());
        }
        self.log.line(self.now, LineKind::NodeEvent, format_args!("{text}"));
        let calls = self.metrics.store_calls;
        let line = format_args!(
            "event=store_calls reads={} lists={} watches={} probes={}",
            calls.reads, calls.lists, calls.watches, calls.probes
        );
        self.log.line(self.now, LineKind::NodeEvent, line);
    }
}
