//! Case 3: clients close their connection right after they have sent, while some searchers are slow.

use crate::gateway::{Addresses, RunFolder, ZONES, start_fleet};
use crate::http::{Connection, render};
use crate::random::Random;
use crate::record::{Record, lock};
use crate::searcher::{Faults, Plan, Run, Searcher};
use crate::store::Store;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The disruption: `give_up` (the site file of the small deployment has up to a share of 0.3, for 8 s; here clients leave
/// within 0.01 ms) and `srv_slow` (up to x 12 on a share of 0.4).
const LEAVING_SHARE: f64 = 0.3;
const SLOW_SHARE: f64 = 0.4;
const SLOW: Faults = Faults { sheds: 0.0, fails: 0.0, extra_late: 0.0, extra_cut_off: 0.0, slow: 12.0 };
/// Number of times that the disruption comes, and how long it lasts each time.
const STRIKES: usize = 3;
const STRIKE_TIME: Duration = Duration::from_secs(8);
const CALM_TIME: Duration = Duration::from_secs(3);
/// Sizes of the small deployment: 9 gateways, 27 searchers in three zones, 45 requests a second.
const GATEWAYS: usize = 9;
const SEARCHERS_PER_ZONE: usize = 9;
const CLIENTS: usize = 90;
const REQUESTS_PER_S: f64 = 45.0;
/// How long clients wait for their answer unless they leave.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time after a close within which searchers may still get or work on its request.
const CLOSE_BOUND: Duration = Duration::from_millis(500);
/// Number of requests that count as a few.
const FEW: usize = 5;
/// Share of the runs that may go on after the bound.
const MAX_ABANDONED_SHARE: f64 = 0.25;

/// What the clients share.
#[derive(Clone)]
struct Shared {
    gateways: Arc<Vec<SocketAddr>>,
    record: Record,
    leaves: Arc<AtomicBool>,
    stops: Arc<AtomicBool>,
    /// Time at which the client of a request closed its connection, by the request's id.
    closes: Arc<Mutex<HashMap<String, Duration>>>,
    /// Statuses of the answers to the clients that stayed.
    statuses: Arc<Mutex<Vec<u16>>>,
}

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = RunFolder::new("3")?;
    let store = Store::start(1000)?;
    store.put("op/config", CONFIGURATION);
    let searchers = start_searchers(&store, record)?;
    let gateways = start_fleet(GATEWAYS, store.address, &folder.0)?;
    let addresses: Vec<Addresses> = gateways.iter().map(|gateway| gateway.addresses).collect();
    let shared = Shared {
        gateways: Arc::new(addresses.iter().map(|addresses| addresses.callers).collect()),
        record: record.clone(),
        leaves: Arc::new(AtomicBool::new(false)),
        stops: Arc::new(AtomicBool::new(false)),
        closes: Arc::new(Mutex::new(HashMap::new())),
        statuses: Arc::new(Mutex::new(Vec::new())),
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let shared = shared.clone();
            thread::spawn(move || run_client(index, &shared))
        })
        .collect();
    thread::sleep(CALM_TIME);
    for _ in 0..STRIKES {
        set_trouble(&searchers, &shared, has_trouble);
        thread::sleep(STRIKE_TIME);
        set_trouble(&searchers, &shared, false);
        thread::sleep(CALM_TIME);
    }
    shared.stops.store(true, Ordering::SeqCst);
    for client in clients {
        let _panicked = client.join();
    }
    thread::sleep(Duration::from_secs(4));
    judge(&searchers, &shared)
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-xmibw6k","host":"hufi27.example","path-prefix":"/goka902/","type":"idempotent","timeout-ms":15000,"latency-goal-ms":1000,"priority":2,"service":"kafi81c","max-attempts":2}],"services":[{"name":"kafi81c","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn start_searchers(store: &Store, record: &Record) -> io::Result<Vec<Searcher>> {
    let mut searchers = Vec::new();
    for number in 0..SEARCHERS_PER_ZONE {
        for (zone, _) in ZONES {
            let plan = Plan {
                instance: format!("i-{}-{number}", &zone[..3]),
                service: "kafi81c".to_owned(),
                zone: zone.to_owned(),
                slots: 3,
                queue: 12,
                work: (Duration::from_millis(100), Duration::from_millis(340)),
                body: b"the archived template".to_vec(),
            };
            let searcher = Searcher::start(plan, record, searchers.len() as u64 + 300)?;
            searcher.register(store, "ready");
            searchers.push(searcher);
        }
    }
    Ok(searchers)
}

/// Begins or ends the disruption. The first searchers of each zone are the slow ones.
fn set_trouble(searchers: &[Searcher], shared: &Shared, is_on: bool) {
    let slow = (searchers.len() as f64 * SLOW_SHARE) as usize;
    for searcher in &searchers[..slow] {
        searcher.set_faults(if is_on { SLOW } else { Faults::default() });
    }
    shared.leaves.store(is_on, Ordering::SeqCst);
    let state = if is_on { "begin" } else { "end" };
    shared.record.add(format!("{state}: clients leave at once, {slow} searchers are slow"));
}

/// Sends requests, each on a new connection, and leaves a share of them.
fn run_client(index: usize, shared: &Shared) {
    let mut random = Random::new(index as u64 + 1);
    let interval = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S);
    let mut next = Instant::now() + interval.mul_f64(random.fraction());
    for number in 0.. {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + interval.mul_f64(0.5 + random.fraction())).max(Instant::now());
        if shared.stops.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{index:02x}{number:06x}");
        let gateway = shared.gateways[random.below(shared.gateways.len())];
        let Ok(mut connection) = Connection::connect(gateway) else {
            continue;
        };
        let deadline_ms = DEADLINE.as_millis().to_string();
        let fields = [
            ("Host", "hufi27.example"),
            ("X-Staircross-Request-Id", &*id),
            ("X-Staircross-Deadline-Ms", &*deadline_ms),
            ("Connection", "close"),
        ];
        let bytes = render(&format!("GET /goka902/{number} HTTP/1.1"), &fields, b"");
        let is_leaving = shared.leaves.load(Ordering::SeqCst) && random.fraction() < LEAVING_SHARE;
        shared.record.add(format!("sent {id}"));
        if connection.write(&bytes).is_err() {
            continue;
        }
        if is_leaving {
            drop(connection);
            let closed_at = shared.record.add(format!("closed {id}"));
            lock(&shared.closes).insert(id, closed_at);
            continue;
        }
        let _best_effort = connection.stream.set_read_timeout(Some(DEADLINE));
        let answer = connection.read(true);
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        shared.record.add(format!("answered {id} status={status}"));
        lock(&shared.statuses).push(status);
    }
}

/// Checks the rule GONE.
fn judge(searchers: &[Searcher], shared: &Shared) -> io::Result<bool> {
    let closes = lock(&shared.closes).clone();
    let mut late_arrivals = 0;
    for searcher in searchers {
        for (time, id) in searcher.arrivals() {
            let Some(after) = closes.get(&id).and_then(|closed| time.checked_sub(*closed)) else {
                continue;
            };
            if after > CLOSE_BOUND {
                late_arrivals += 1;
                let (instance, after) = (searcher.instance(), after.as_secs_f64());
                shared.record.add(format!("GONE: {id} reached {instance} {after:.3} s after its client had left"));
            }
        }
    }
    let runs: Vec<Run> = searchers.iter().flat_map(Searcher::runs).collect();
    let bound_of = |run: &Run| closes.get(&run.id).map(|closed| *closed + CLOSE_BOUND);
    let long: Vec<&Run> =
        runs.iter().filter(|run| bound_of(run).is_some_and(|bound| run.at < bound && run.due > bound)).collect();
    let goes_on = |run: &&&Run| bound_of(run).is_some_and(|bound| run.ended.is_none_or(|ended| ended > bound));
    let abandoned = long.iter().filter(goes_on).count();
    let statuses = lock(&shared.statuses).clone();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let summary = format!(
        "answers {}, served {served}; closed by clients {}, reached a searcher over half a second later {late_arrivals}; \
         runs that would last half a second past the close {}, still at work then {abandoned}",
        statuses.len(),
        closes.len(),
        long.len()
    );
    shared.record.add(summary.clone());
    println!("{summary}");
    if served * 4 < statuses.len() {
        return Err(io::Error::other("fewer than a quarter of the requests were served"));
    }
    Ok(late_arrivals <= FEW && abandoned as f64 <= long.len() as f64 * MAX_ABANDONED_SHARE)
}
