//! Checking an API key must not allocate memory: it is done for each request, whether the key is known or not.

use staircross_routing::{CallerLimits, Credential, KeyDigest, RouteTable, RoutingDefinition, TenantDefinition};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::Arc;

/// An allocator that counts the allocations of the calling thread.
struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn judging_a_key_allocates_nothing() {
    let key = |index: usize| format!("n8hkcaac6dnvhz6prvnz-{index}");
    let tenant = |index: usize| TenantDefinition {
        name: Arc::from(format!("t{index}")),
        keys: KeyDigest::of(key(index).as_bytes()).into_iter().collect(),
        priority: 0,
        quota: None,
        allowed_regions: Vec::new(),
    };
    let table = RouteTable::new(Arc::new(RoutingDefinition {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        tenants: (0..10_000).map(tenant).collect(),
    }));
    let keys: Vec<String> = (0..20_000).map(key).collect();
    let before = ALLOCATIONS.with(Cell::get);
    let accepted =
        keys.iter().filter_map(|key| KeyDigest::of(key.as_bytes())).filter(|key| table.accepts(Credential::Key(*key)));
    let accepted = accepted.count();
    assert_eq!(ALLOCATIONS.with(Cell::get), before);
    assert_eq!(accepted, 10_000);
    assert!(before > 10_000, "the allocator must count the preparation's allocations");
}
