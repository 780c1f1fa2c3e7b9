//! A restarted node that knows no other node yet. All nodes may have been restarted, so that all callers come back at
//! once.

use staircross_quota::{FleetRateLimiter, QuotaBound};
use staircross_types::{BootTime, NodeId, Quota};
use std::sync::Arc;
use std::time::Duration;

const TENANTS: usize = 100;

/// Returns for how many of 100 tenants a restarted node admits the first request before it knows any other node.
fn admitted_at_once(rate_per_s: f64) -> usize {
    let bound = QuotaBound { window: Duration::from_secs(5), over: 0.25, slack: 20.0 };
    let now = BootTime::from_millis(1000);
    let mut node = FleetRateLimiter::new(bound, NodeId(7), now, false);
    let name = |number: usize| Arc::from(format!("tenant-{number}"));
    let quota = Quota { rate_per_s, burst: rate_per_s };
    node.set_quotas(now, (0..TENANTS).map(|number| (name(number), quota)));
    (0..TENANTS).filter(|number| node.try_admit(now, &format!("tenant-{number}")).is_ok()).count()
}

#[test]
fn a_tenant_that_may_ask_little_is_served_right_after_a_restart_of_all_nodes() {
    let admitted = admitted_at_once(2.0);
    assert!(admitted >= 95, "{admitted} of {TENANTS}");
}

#[test]
fn one_that_may_ask_much_is_held_to_what_the_excess_bears() {
    let admitted = admitted_at_once(100.0);
    assert!((18..=38).contains(&admitted), "{admitted} of {TENANTS}: 0.8 of 170 requests for 480 that may come");
}
