//! Table tests of the fair-share rule without an engine: the demand of each tenant, and the fraction that is admitted.

use staircross_routing::decision::fair_share::FairShares;
use staircross_types::BootTime;
use std::sync::Arc;
use std::time::Duration;

fn at(seconds: u64) -> BootTime {
    BootTime::default() + Duration::from_secs(seconds)
}

/// Returns the shares after each tenant has sent the given number of requests at second 0.
fn shares_with_demand(demand: &[(&str, usize)]) -> FairShares {
    let mut shares = FairShares::default();
    for (tenant, requests) in demand {
        (0..*requests).for_each(|_| shares.count(at(0), Some(&Arc::from(*tenant))));
    }
    shares
}

fn admitted_fraction(shares: &mut FairShares, seconds: u64, tenant: &str, level: f64) -> f64 {
    shares.admitted_fraction(at(seconds), Some(&Arc::from(tenant)), level)
}

fn assert_close(found: f64, expected: f64, row: &str) {
    assert!((found - expected).abs() < 1e-4, "{row}: {found}, not {expected}");
}

#[test]
fn small_tenants_are_taken_whole_and_large_ones_get_what_is_left_but_no_less_than_the_floor() {
    let many = [("a", 2), ("b", 2), ("c", 2), ("d", 2), ("e", 2), ("f", 2), ("g", 2), ("h", 2), ("i", 2), ("j", 2)];
    let beside_many: Vec<_> = many.into_iter().chain([("large", 20)]).collect();
    // Inputs: requests by tenant, admission level. Expected: admitted fractions of the first and the last tenant.
    let rows = [
        ("alone", vec![("a", 10)], 0.5, [0.5, 0.5]),
        ("alike", vec![("a", 10), ("b", 10)], 0.5, [0.5, 0.5]),
        ("small beside large: 2 of 10, 8 of 18", vec![("a", 2), ("b", 18)], 0.5, [1.0, 0.4444]),
        ("14 of 18", vec![("a", 2), ("b", 18)], 0.8, [1.0, 0.7778]),
        ("the floor: 7.5 of 20, the rest is shared", beside_many, 0.5, [0.625, 0.375]),
        ("nothing is limited", vec![("a", 2), ("b", 18)], 1.0, [1.0, 1.0]),
    ];
    for (row, demand, level, expected) in rows {
        let first_and_last = [demand[0].0, demand[demand.len() - 1].0];
        for (tenant, expected) in first_and_last.iter().zip(expected) {
            assert_close(admitted_fraction(&mut shares_with_demand(&demand), 0, tenant, level), expected, row);
        }
    }
}

#[test]
fn what_was_taken_too_much_is_made_good_with_the_next_requests() {
    let mut shares = shares_with_demand(&[("a", 2), ("b", 18)]);
    // Three requests in order, at a level of 0.5. Inputs: tenant. Expected: admitted fraction. The requests owed before
    // each of them are 0, -0.5 and -0.3889.
    for (tenant, expected) in [("a", 1.0), ("b", 0.3889), ("b", 0.4012)] {
        assert_close(admitted_fraction(&mut shares, 0, tenant, 0.5), expected, tenant);
    }
}

#[test]
fn counts_halve_in_seven_seconds() {
    let mut shares = shares_with_demand(&[("a", 8)]);
    (0..4).for_each(|_| shares.count(at(7), Some(&Arc::from("b"))));
    assert_close(
        admitted_fraction(&mut shares.clone(), 7, "a", 0.5),
        0.5,
        "a tenant with eight requests, seven seconds old",
    );
    assert_close(admitted_fraction(&mut shares, 7, "b", 0.5), 0.5, "a tenant with four new requests");
}

#[test]
fn requests_without_a_tenant_count_as_one_tenant() {
    let mut shares = shares_with_demand(&[("a", 2)]);
    (0..18).for_each(|_| shares.count(at(0), None));
    assert_close(shares.admitted_fraction(at(0), None, 0.5), 0.4444, "without a tenant");
}
