//! Checks the names, labels and help texts of the metrics against a snapshot.

use staircross_node::metrics::Metrics;
use staircross_search::root::RootCounters;

#[test]
fn metrics_page_is_pinned() {
    let metrics = Metrics::new().expect("registers");
    // A metric with labels is rendered only once one of its label values has been used.
    metrics.requests.with_label_values(&["answer"]).inc();
    metrics.missing_shards.with_label_values(&["late"]).inc();
    metrics.dropped.with_label_values(&["session_copy"]).inc();
    metrics.peer_bytes.with_label_values(&["udp"]).inc_by(7);
    metrics.answer_seconds.observe(0.03);
    metrics.sessions.set(1);
    metrics.in_flight.set(2);
    metrics.members.set(3);
    metrics.owned_searchers.set(4);
    metrics.revision.set(5);
    let counted =
        RootCounters { primaries: 10, hedges: 11, retries: 12, reroutes: 13, foreign_replies: 14, late_replies: 15 };
    metrics.add_root_counters(RootCounters::default(), counted);
    insta::assert_snapshot!(metrics.render());
}
