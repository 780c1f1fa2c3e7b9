//! Requests of tenants: revoked keys, allowed regions, ranks, quarantined contents, outdated configurations and quotas.

mod common;

use common::{Driver, answer, definition, gather, records, route, searcher};
use staircross_routing::decision::quarantine::Quarantine;
use staircross_routing::engine::{RoutingEvent, SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    Arrival, AttemptOutcome, ConfigurationView, ContentKey, Credential, InstanceKey, KeyDigest, LostAttempt, NotRun,
    RequestKey, RequestOutcome, RouteDigest, RouteTable, RouteTarget, RoutingDefinition, SearcherEntry, SentIdentity,
    TenantDefinition,
};
use staircross_types::{ErrorKind, Quota};
use std::sync::Arc;

const KEY: &str = "n8hkcaac6dnvhz6prvnz";
const OTHER_KEY: &str = "qjynjcfv8nmpby256b5c";
/// Region of the zones `a` and `b`.
const NORTH: &str = "north";
/// Region of the zone `c`.
const SOUTH: &str = "south";

fn credential(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key.as_bytes()).expect("a key"))
}

fn tenant(name: &str, keys: &[&str]) -> TenantDefinition {
    let digest = |key: &&str| KeyDigest::of(key.as_bytes()).expect("a key");
    let keys = keys.iter().map(digest).collect();
    TenantDefinition { name: Arc::from(name), keys, priority: 0, quota: None, allowed_regions: Vec::new() }
}

fn restricted_to(tenant: TenantDefinition, regions: &[&str]) -> TenantDefinition {
    TenantDefinition { allowed_regions: regions.iter().map(|region| Arc::from(*region)).collect(), ..tenant }
}

fn service_target(name: &str) -> RouteTarget {
    RouteTarget::Service(Arc::from(name))
}

/// Returns a configuration of this version with these tenants. Its routes are `both` (a gather of two shards that needs
/// both), `any` (a gather that needs one of them) and `one` (a single service).
fn definition_with(version: u64, tenants: &[TenantDefinition]) -> RoutingDefinition {
    let routes = vec![
        route("both", gather(&["x", "y"], 2, 1.0)),
        route("any", gather(&["x", "y"], 2, 0.5)),
        route("one", service_target("x")),
    ];
    RoutingDefinition { tenants: tenants.to_vec(), ..definition(version, routes, &["x", "y"]) }
}

fn searchers() -> Vec<SearcherEntry> {
    [("x-1", "x", "a"), ("x-2", "x", "a"), ("y-1", "y", "a"), ("y-2", "y", "a")]
        .map(|(instance, service, zone)| searcher(instance, service, zone))
        .to_vec()
}

fn driver_with_two_tenants() -> Driver {
    Driver::with(definition_with(1, &[tenant("kami", &[KEY]), tenant("nuro", &[OTHER_KEY])]), searchers())
}

/// Returns a configuration of this version in which `KEY` is withdrawn.
fn definition_without_key(version: u64) -> RoutingDefinition {
    definition_with(version, &[tenant("kami", &[]), tenant("nuro", &[OTHER_KEY])])
}

/// Lets a request with this API key arrive.
fn request_with_key(driver: &mut Driver, path: &str, key: &str) -> RequestKey {
    let mut arrival = driver.arrival(path);
    arrival.credential = credential(key);
    let request = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    request
}

/// Ends all attempts that were sent for a request so far with the same outcome.
fn end_attempts(driver: &mut Driver, request: RequestKey, outcome: &AttemptOutcome) {
    let attempts: Vec<_> = driver.sent_for(request).iter().map(|order| order.attempt).collect();
    attempts.into_iter().for_each(|attempt| driver.end(attempt, outcome.clone()));
}

#[test]
fn a_request_whose_key_goes_while_it_waits_is_refused_right_then_as_not_run() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/one/1", KEY);
    for _ in 0..3 {
        end_attempts(&mut driver, request, &AttemptOutcome::NotRun(NotRun::ConnectionRejected));
    }
    assert_eq!(driver.outcome(request), None, "the request waits for a searcher that accepts a connection");
    let sent = driver.sent_for(request).len();
    driver.configure(definition_without_key(2));
    assert_eq!(driver.refusal(request), Some(ErrorKind::Unauthorized));
    driver.advance_ms(5000);
    assert_eq!(driver.sent_for(request).len(), sent);
}

#[test]
fn a_key_that_moves_keeps_the_tenant_that_its_request_began_with() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/one/1", KEY);
    driver.configure(definition_with(2, &[tenant("nuro", &[KEY])]));
    end_attempts(&mut driver, request, &AttemptOutcome::Unknown(Unknown::Broken));
    let identities: Vec<SentIdentity> = driver.sent_for(request).iter().map(|order| order.identity.clone()).collect();
    assert_eq!(identities, vec![SentIdentity::Tenant(Arc::from("kami")); 2]);
}

#[test]
fn a_request_goes_on_when_there_are_no_tenants_any_more() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/one/1", KEY);
    driver.configure(definition_with(2, &[]));
    end_attempts(&mut driver, request, &AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.reasons(request), [SendReason::First, SendReason::Retry]);
}

#[test]
fn neither_retries_nor_hedges_are_sent_for_a_key_that_is_withdrawn() {
    let mut driver = driver_with_two_tenants();
    let (failed, unfinished) =
        (request_with_key(&mut driver, "/one/1", KEY), request_with_key(&mut driver, "/one/2", KEY));
    driver.configure(definition_without_key(2));
    assert!(driver.finished.is_empty(), "running attempts may finish");
    end_attempts(&mut driver, failed, &AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.unsent, [(failed, UnsentCause::KeyRevoked)]);
    assert_eq!(driver.refusal(failed), Some(ErrorKind::BackEndsFailed), "the request may have run");
    driver.advance_ms(3000);
    assert_eq!(driver.reasons(unfinished), [SendReason::First]);
    end_attempts(&mut driver, unfinished, &answer(200, "p", Vec::new()));
    assert!(matches!(driver.outcome(unfinished), Some(RequestOutcome::Passed(_))));
}

#[test]
fn a_withdrawn_key_whose_first_attempt_surely_did_not_run_is_refused_as_such() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/one/1", KEY);
    driver.configure(definition_without_key(2));
    end_attempts(&mut driver, request, &AttemptOutcome::NotRun(NotRun::Stale));
    assert_eq!(driver.refusal(request), Some(ErrorKind::Unauthorized));
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_taken_back_when_its_key_goes() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/both/1", KEY);
    driver.configure(definition_without_key(2));
    let sent: Vec<_> = driver.sent_for(request).iter().map(|order| order.attempt).collect();
    assert_eq!(driver.recalled, sent);
    for attempt in sent {
        driver.end(attempt, AttemptOutcome::Cancelled);
    }
    assert_eq!(driver.refusal(request), Some(ErrorKind::Unauthorized));
}

#[test]
fn parts_under_way_are_delivered_when_the_key_of_their_request_goes() {
    let mut driver = driver_with_two_tenants();
    let request = request_with_key(&mut driver, "/any/1", KEY);
    let (waiting, running) = (driver.sends[0].attempt, driver.sends[1].attempt);
    driver.end(waiting, AttemptOutcome::NotRun(NotRun::ConnectionRejected));
    let retry = driver.sends[2].attempt;
    driver.end(retry, AttemptOutcome::NotRun(NotRun::ConnectionRejected));
    assert_eq!(driver.sends.len(), 3, "one shard waits for a searcher that accepts a connection");
    driver.configure(definition_without_key(2));
    assert!(driver.finished.is_empty(), "the other shard's attempt is running");
    driver.end(running, answer(200, "p", records(&[7])));
    assert_eq!(driver.sends.len(), 3);
    let outcome = driver.outcome(request);
    assert!(matches!(outcome, Some(RequestOutcome::Merged(merged)) if merged.missing == 1), "{outcome:?}");
}

#[test]
fn a_held_request_whose_key_is_gone_from_the_configuration_that_it_waited_for_is_never_sent() {
    let mut driver = driver_with_two_tenants();
    let mut arrival = driver.arrival("/added/1");
    (arrival.credential, arrival.newest_version) = (credential(KEY), 2);
    let request = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    let mut next = definition_without_key(2);
    next.routes.push(route("added", service_target("x")));
    driver.configure(next);
    assert_eq!(driver.refusal(request), Some(ErrorKind::Unauthorized));
    assert!(driver.sends.is_empty());
}

#[test]
fn a_tenants_regions_bind_beside_its_routes() {
    let mut south_only = route("south", service_target("x"));
    south_only.allowed_regions = vec![Arc::from(SOUTH)];
    let mut definition =
        definition_with(1, &[restricted_to(tenant("kami", &[KEY]), &[NORTH]), tenant("nuro", &[OTHER_KEY])]);
    definition.routes.push(south_only);
    let searchers_in_both_regions = vec![searcher("near", "x", "a"), searcher("far", "x", "c")];
    let mut driver = Driver::with(definition, searchers_in_both_regions);
    // No searcher may ever be asked for this request, so it isn't held although not all searchers are known.
    let mut arrival = driver.arrival("/south/1");
    (arrival.credential, arrival.knows_searchers) = (credential(KEY), false);
    let unservable = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.refusal(unservable), Some(ErrorKind::NoAllowedReplica));
    let other = request_with_key(&mut driver, "/south/2", OTHER_KEY);
    assert_eq!(driver.instances(other), ["far"]);
    let restricted = request_with_key(&mut driver, "/one/1", KEY);
    assert_eq!(driver.instances(restricted), ["near"]);
    end_attempts(&mut driver, restricted, &AttemptOutcome::Unknown(Unknown::Broken));
    assert_eq!(driver.instances(restricted), ["near"], "a retry stays within the tenant's regions too");
    assert_eq!(driver.refusal(restricted), Some(ErrorKind::BackEndsFailed));
}

#[test]
fn a_tenants_rank_comes_before_its_routes() {
    let tenant_with_priority = |name: &str, key: &str, priority| TenantDefinition { priority, ..tenant(name, &[key]) };
    let mut definition =
        definition_with(1, &[tenant_with_priority("low", OTHER_KEY, 700), tenant_with_priority("high", KEY, 3)]);
    for (index, priority) in [(0, 2), (1, 4), (2, 5)] {
        definition.routes[index].priority = priority;
    }
    definition.routes.push(common::route("more", service_target("x")));
    definition.routes.last_mut().expect("a route").priority = 2;
    let routes = definition.routes.clone();
    let table = RouteTable::new(Arc::new(definition));
    let rank = |key: &str, route: usize| {
        let tenant_key = table.authenticate(&routes[route], credential(key)).expect("a known key");
        table.rank(tenant_key, &routes[route])
    };
    let ranks = [rank(KEY, 0), rank(KEY, 1), rank(KEY, 2), rank(OTHER_KEY, 0), rank(OTHER_KEY, 1), rank(OTHER_KEY, 2)];
    assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    assert_eq!(rank(KEY, 0), rank(KEY, 3));
    // The routes of the group have the priorities 2 to 5. The steps of a tenant begin after all steps of the tenant
    // with the next higher priority.
    let steps: Vec<u32> = ranks.iter().map(|rank| rank.steps(2..=5)).collect();
    assert_eq!(steps, [0, 2, 3, 4, 6, 7]);
}

#[test]
fn without_tenants_a_rank_is_its_routes() {
    let mut definition = definition_with(1, &[]);
    definition.routes[2].priority = 9;
    let route = definition.routes[2].clone();
    let table = RouteTable::new(Arc::new(definition));
    assert_eq!(table.rank(None, &route).steps(1..=9), 8);
}

#[test]
fn whoever_is_nobodys_comes_after_all_tenants() {
    let mut definition =
        definition_with(1, &[tenant("kami", &[KEY]), TenantDefinition { priority: 1, ..tenant("nuro", &[]) }]);
    definition.routes[2].is_public = true;
    let route = definition.routes[2].clone();
    let table = RouteTable::new(Arc::new(definition));
    let lowest_tenant_rank = table.rank(Some(staircross_routing::TenantKey(1)), &route);
    assert!(table.rank(None, &route) > lowest_tenant_rank);
}

#[test]
fn like_requests_of_two_tenants_are_two_contents() {
    let content = ContentKey(77);
    assert_eq!(content.of_tenant(None), content);
    assert_ne!(content.of_tenant(Some("kami")), content);
    assert_ne!(content.of_tenant(Some("kami")), content.of_tenant(Some("nuro")));
    let mut driver = driver_with_two_tenants();
    // One tenant's request crashes its searchers until its content is quarantined.
    for number in 0..4 {
        let mut arrival = driver.arrival("/one/deadly");
        (arrival.credential, arrival.content) = (credential(KEY), content);
        driver.event(RoutingEvent::Searchers(vec![searcher(&format!("x-new-{number}"), "x", "a")]));
        let request = arrival.key;
        driver.event(RoutingEvent::Arrived(arrival));
        end_attempts(&mut driver, request, &AttemptOutcome::Unknown(Unknown::Broken));
        driver.advance_ms(300);
        end_attempts(&mut driver, request, &AttemptOutcome::Unknown(Unknown::Broken));
    }
    let mut arrival = driver.arrival("/one/deadly");
    (arrival.credential, arrival.content) = (credential(KEY), content);
    let again = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_eq!(driver.refusal(again), Some(ErrorKind::Quarantined));
    let mut arrival = driver.arrival("/one/deadly");
    (arrival.credential, arrival.content) = (credential(OTHER_KEY), content);
    let other = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    assert_ne!(driver.refusal(other), Some(ErrorKind::Quarantined));
}

/// Raises the alarm of the route `both`: a peer reports that one content has crashed three searchers, one after the
/// other.
fn raise_alarm(driver: &mut Driver) {
    let mut peer = Quarantine::default();
    for number in 0..3 {
        let sent_at = driver.now;
        driver.advance_ms(10);
        let (content, route, searcher) = (ContentKey(66), RouteDigest::of("both"), InstanceKey(number));
        peer.note_lost(driver.now, LostAttempt { content, route, searcher, sent_at });
    }
    driver.event(RoutingEvent::PeerCases(peer.next_records(driver.now)));
}

/// Guards against first probes of contents that have just been answered. During an alarm each request of a tenant was
/// sent to one shard first (`probe step=begun` instead of `step=needless`), because answers are recorded under the
/// content of the tenant but were looked up under the content without a tenant.
#[test]
fn what_was_answered_for_a_tenant_goes_to_all_shards_at_once_during_an_alarm() {
    let mut driver = driver_with_two_tenants();
    raise_alarm(&mut driver);
    let mut repeat_request = || {
        let mut arrival = driver.arrival("/both/harmless");
        (arrival.credential, arrival.content) = (credential(KEY), ContentKey(77));
        let request = arrival.key;
        driver.event(RoutingEvent::Arrived(arrival));
        let sent = driver.sent_for(request).len();
        while driver.outcome(request).is_none() {
            let orders: Vec<_> = driver.sent_for(request).into_iter().cloned().collect();
            orders.iter().for_each(|order| driver.end(order.attempt, answer(200, &order.instance, records(&[1]))));
        }
        sent
    };
    assert_eq!(repeat_request(), 1, "the content hasn't been answered yet");
    assert_eq!(repeat_request(), 2, "the content was answered");
}

/// Lets a request with this API key arrive at a node with this view of the configuration. A peer is known to have
/// version 2 of it.
fn request_in_view(driver: &mut Driver, path: &str, key: &str, view: ConfigurationView) -> RequestKey {
    let arrival =
        Arrival { credential: credential(key), configuration_view: view, newest_version: 2, ..driver.arrival(path) };
    let request = arrival.key;
    driver.event(RoutingEvent::Arrived(arrival));
    request
}

#[test]
fn a_node_that_knows_that_it_is_behind_asks_before_it_takes_a_key_by_an_old_view() {
    let mut driver = driver_with_two_tenants();
    let withdrawn = request_in_view(&mut driver, "/one/1", KEY, ConfigurationView::Doubtful);
    let other = request_in_view(&mut driver, "/one/2", OTHER_KEY, ConfigurationView::Doubtful);
    assert!(driver.sends.is_empty());
    driver.advance_ms(60);
    driver.configure(definition_without_key(2));
    assert_eq!(driver.refusal(withdrawn), Some(ErrorKind::Unauthorized));
    assert_eq!(driver.sent_for(other).len(), 1);
}

#[test]
fn a_node_that_asked_in_vain_serves_by_what_it_knows() {
    let mut driver = driver_with_two_tenants();
    let served = request_in_view(&mut driver, "/one/3", OTHER_KEY, ConfigurationView::Doubtful);
    driver.advance_ms(499);
    assert!(driver.sent_for(served).is_empty());
    driver.advance_ms(1);
    assert_eq!(driver.sent_for(served).len(), 1);
}

#[test]
fn an_expired_view_lets_nobody_in_and_denies_nobody() {
    let mut driver = driver_with_two_tenants();
    for key in [KEY, "unknown"] {
        let request = request_in_view(&mut driver, "/one/1", key, ConfigurationView::Expired);
        assert_eq!(driver.refusal(request), Some(ErrorKind::Unconfirmed));
    }
    assert_eq!(ErrorKind::Unconfirmed.http_status(), 503);
    assert!(driver.sends.is_empty());
    driver.configure(definition_with(2, &[]));
    let request = request_in_view(&mut driver, "/one/1", KEY, ConfigurationView::Expired);
    assert_eq!(driver.sent_for(request).len(), 1, "without tenants no key is needed");
}

#[test]
fn what_a_tenant_asks_beyond_its_quota_is_refused_at_once_unsent_with_a_time_to_come_back() {
    let quota = Some(Quota { rate_per_s: 1.0, burst: 2.0 });
    let limited = TenantDefinition { quota, ..tenant("kami", &[KEY]) };
    let mut driver = Driver::with(definition_with(1, &[limited, tenant("nuro", &[OTHER_KEY])]), searchers());
    let requests: Vec<RequestKey> = (0..20).map(|_| request_with_key(&mut driver, "/one/1", KEY)).collect();
    let refused: Vec<RequestKey> =
        requests.iter().copied().filter(|key| driver.refusal(*key) == Some(ErrorKind::OverQuota)).collect();
    assert!((15..20).contains(&refused.len()), "{} of 20 refused", refused.len());
    for request in refused {
        assert!(driver.sent_for(request).is_empty());
        let Some(RequestOutcome::Refused { retry_after: Some(wait), .. }) = driver.outcome(request) else {
            panic!("the refusal has no retry time");
        };
        assert!(!wait.is_zero());
    }
    let other = request_with_key(&mut driver, "/one/1", OTHER_KEY);
    assert_eq!(driver.sent_for(other).len(), 1, "another tenant isn't affected");
}
