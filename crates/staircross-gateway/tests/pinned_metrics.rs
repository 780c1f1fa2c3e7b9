//! Tests that the metrics page keeps its names, types and labels.

use staircross_gateway::metrics::{ComponentMetrics, Metrics, StoreCallCounters};
use staircross_gateway::traffic::{Purpose, Reach, Traffic};
use staircross_routing::engine::RoutingCounters;
use staircross_types::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn names_types_and_labels() {
    let mut metrics = Metrics::default();
    metrics.count_answer(Some(&Arc::from("one")), Duration::from_millis(30));
    metrics.count_answer(None, Duration::from_millis(300));
    ErrorKind::ALL.iter().for_each(|kind| metrics.count_refusal(*kind));
    metrics.count_caller_gone();
    metrics.tenants.count(&Arc::from("kami"), true);
    metrics.store_calls = StoreCallCounters { reads: 1, lists: 2, watches: 3, probes: 4 };
    metrics.directory_questions = 5;
    metrics.unreadable_items = 6;
    metrics.process_gaps = 7;
    let mut traffic = Traffic::default();
    for purpose in Purpose::ALL {
        Reach::ALL.iter().for_each(|reach| traffic.count(purpose, *reach, 1000));
    }
    let page = metrics.render(RoutingCounters::default(), ComponentMetrics::default(), traffic);
    // Refusals and routes are printed in the order of a hash map, so their lines are sorted here.
    insta::assert_snapshot!(with_sorted_runs(&page));
}

/// Returns the page with the lines between any two `#` lines sorted.
fn with_sorted_runs(page: &str) -> String {
    let mut text = String::new();
    let mut run: Vec<&str> = Vec::new();
    for line in page.lines().chain(["# end"]) {
        if line.starts_with('#') {
            run.sort_unstable();
            run.drain(..).for_each(|line| text.push_str(&format!("{line}\n")));
            text.push_str(&format!("{line}\n"));
        } else {
            run.push(line);
        }
    }
    text
}
