//! Tests that the number of tenants with metrics of their own is limited, and that the totals count all tenants.

use staircross_gateway::tenant_metrics::TenantMetrics;
use std::sync::Arc;

#[test]
fn the_largest_tenants_are_shown_and_the_sums_count_all() {
    let mut metrics = TenantMetrics::default();
    let mut text = String::new();
    metrics.render(&mut text);
    assert_eq!(text, "", "nothing is printed before the first request of a tenant");
    for number in 0..10_000_u64 {
        let name = Arc::from(format!("t{number}"));
        for request_index in 0..=(number / 9_990) {
            metrics.count(&name, request_index > 0);
        }
    }
    metrics.render(&mut text);
    assert!(text.contains("staircross_tenants_requests_total 10010\n"), "{text}");
    assert!(text.contains("staircross_tenants_refused_total 10\n"));
    for number in 9_990..10_000 {
        assert!(text.contains(&format!("staircross_tenant_requests_total{{tenant=\"t{number}\"}} 2\n")), "{text}");
        assert!(text.contains(&format!("staircross_tenant_refused_total{{tenant=\"t{number}\"}} 1\n")), "{text}");
    }
    assert!(text.lines().count() < 50, "{} lines", text.lines().count());
}
