//! Benchmarks of the authentication of a request: from the text of its API key to its tenant and rank.

use criterion::{Criterion, criterion_group, criterion_main};
use staircross_routing::{
    CallerLimits, Credential, KeyDigest, RouteDefinition, RouteTable, RouteTarget, RoutingDefinition, TenantDefinition,
};
use std::hint::black_box;
use std::sync::Arc;

/// Numbers of tenants to measure: those of a customer's fleet, and the most that is planned for.
const TENANT_COUNTS: [usize; 2] = [78, 10_000];
/// Number of keys of each tenant. A tenant has two while it exchanges its key for a new one.
const KEYS_PER_TENANT: usize = 2;

/// Returns the text of a tenant's key.
fn key_text(tenant: usize, number: usize) -> String {
    format!("{tenant:08x}-n8hkcaac6dnv-{number}")
}

fn tenant(index: usize) -> TenantDefinition {
    let digests = (0..KEYS_PER_TENANT).map(|number| KeyDigest::of(key_text(index, number).as_bytes()).expect("a key"));
    TenantDefinition {
        name: Arc::from(format!("t{index}")),
        keys: digests.collect(),
        priority: (index % 3) as u32,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn table_with_tenants(tenant_count: usize) -> RouteTable {
    let route = RouteDefinition {
        name: Arc::from("one"),
        host: Arc::from("shop.example"),
        path_prefix: Arc::from("/one/"),
        target: RouteTarget::Service(Arc::from("x")),
        is_idempotent: true,
        timeout_ms: 4000,
        goal_ms: 250,
        max_attempts: 2,
        priority: 1,
        allowed_regions: Vec::new(),
        is_public: false,
    };
    let tenants = (0..tenant_count).map(tenant).collect();
    let (routes, services) = (vec![route], Vec::new());
    let definition = RoutingDefinition { version: 1, routes, services, limits: CallerLimits::default(), tenants };
    RouteTable::new(Arc::new(definition))
}

/// Measures two things for each number of tenants: hashing a key's text, finding its tenant and ranking the request
/// (`judge_key`), and looking up a digest alone (`judge_digest`).
fn benchmark_authentication(criterion: &mut Criterion) {
    for tenant_count in TENANT_COUNTS {
        let table = table_with_tenants(tenant_count);
        let route = table.definition().routes[0].clone();
        let keys: Vec<String> = (0..tenant_count).map(|index| key_text(index, index % KEYS_PER_TENANT)).collect();
        let mut next_keys = keys.iter().cycle();
        criterion.bench_function(&format!("judge_key_{tenant_count}_tenants"), |bencher| {
            bencher.iter(|| {
                let key = next_keys.next().expect("the cycle of keys never ends");
                let credential =
                    KeyDigest::of(black_box(key.as_bytes())).map_or(Credential::Malformed, Credential::Key);
                let tenant_key = table.authenticate(&route, credential).expect("a known key");
                black_box(table.rank(tenant_key, &route))
            });
        });
        let credential = Credential::Key(KeyDigest::of(keys[0].as_bytes()).expect("a key"));
        criterion.bench_function(&format!("judge_digest_{tenant_count}_tenants"), |bencher| {
            bencher.iter(|| black_box(table.accepts(black_box(credential))));
        });
    }
}

criterion_group!(benches, benchmark_authentication);
criterion_main!(benches);
