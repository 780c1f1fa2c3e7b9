//! Case 1: requests that must not run twice, while searchers turn some requests away and send extra answers late.

use crate::client::{Clients, Exchange, Kind};
use crate::gateway::{Addresses, RunFolder, ZONES, start_fleet};
use crate::record::Record;
use crate::searcher::{Faults, Plan, Run, Searcher};
use crate::store::Store;
use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

/// Faults of all searchers while the disruption lasts: `srv_grey` with `shed all` (the site files have up to x 0.6 on
/// a share of 0.8 for 9 s; here half of that x) and `garble` with `extra late all` (the site file of the small deployment
/// has x 0.03 on a share of 0.6 for 5 s; here twice that).
const FAULTS: Faults = Faults { sheds: 0.3, fails: 0.0, extra_late: 0.06, extra_cut_off: 0.0, slow: 1.0 };
/// Number of times that the disruption comes, and how long it lasts each time.
const STRIKES: usize = 7;
const STRIKE_TIME: Duration = Duration::from_secs(9);
const CALM_TIME: Duration = Duration::from_millis(1500);
/// Sizes of the small deployment: 9 gateways, 27 searchers in three zones, some 225 requests a second.
const GATEWAYS: usize = 9;
const SEARCHERS_PER_ZONE: usize = 9;
const CLIENTS_PER_ZONE: usize = 40;
const REQUESTS_PER_S_AND_ZONE: f64 = 75.0;

/// Runs the case. Returns whether the rules were kept.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = RunFolder::new("1")?;
    let store = Store::start(1000)?;
    store.put("op/config", CONFIGURATION);
    let searchers = start_searchers(&store, record)?;
    let gateways = start_fleet(GATEWAYS, store.address, &folder.0)?;
    let directories: Vec<Addresses> = gateways.iter().map(|gateway| gateway.addresses).collect();
    let kind = Kind {
        method: "POST",
        host: "hufi27.example",
        path: "/goka902/",
        body: b"confirm pitch 14 for two nights",
        deadline: Duration::from_secs(4),
    };
    let clients: Vec<Clients> = ZONES
        .iter()
        .enumerate()
        .map(|(zone, place)| {
            let (count, per_s) = (CLIENTS_PER_ZONE, REQUESTS_PER_S_AND_ZONE);
            Clients::start(count, per_s, &kind, &directories, *place, record, zone as u64 + 1)
        })
        .collect();
    thread::sleep(CALM_TIME);
    for _ in 0..STRIKES {
        set_faults(&searchers, if has_trouble { FAULTS } else { Faults::default() }, record);
        thread::sleep(STRIKE_TIME);
        set_faults(&searchers, Faults::default(), record);
        thread::sleep(CALM_TIME);
    }
    let exchanges: Vec<Exchange> = clients.into_iter().flat_map(Clients::finish).collect();
    // What was refused must not run later either.
    thread::sleep(Duration::from_secs(1));
    let runs: Vec<Run> = searchers.iter().flat_map(Searcher::runs).collect();
    judge(&exchanges, &runs, record)
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-xmibw6k","host":"hufi27.example","path-prefix":"/goka902/","type":"non_idempotent","timeout-ms":4000,"latency-goal-ms":1000,"priority":2,"service":"kafi81c","max-attempts":2}],"services":[{"name":"kafi81c","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn start_searchers(store: &Store, record: &Record) -> io::Result<Vec<Searcher>> {
    let mut searchers = Vec::new();
    for (zone, _) in ZONES {
        for number in 0..SEARCHERS_PER_ZONE {
            let plan = Plan {
                instance: format!("i-{}-{number}", &zone[..3]),
                service: "kafi81c".to_owned(),
                zone: zone.to_owned(),
                slots: 3,
                queue: 12,
                work: (Duration::from_millis(10), Duration::from_millis(40)),
                body: b"confirmed".to_vec(),
            };
            let searcher = Searcher::start(plan, record, searchers.len() as u64 + 100)?;
            searcher.register(store, "ready");
            searchers.push(searcher);
        }
    }
    Ok(searchers)
}

fn set_faults(searchers: &[Searcher], faults: Faults, record: &Record) {
    record.add(format!("faults of all searchers: {faults:?}"));
    searchers.iter().for_each(|searcher| searcher.set_faults(faults));
}

/// Checks the rules TWICE and REFUSED.
fn judge(exchanges: &[Exchange], runs: &[Run], record: &Record) -> io::Result<bool> {
    let mut runs_of: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        runs_of.entry(&run.id).or_default().push(run);
    }
    let mut twice = 0;
    for (id, runs) in &runs_of {
        if runs.len() > 1 {
            twice += 1;
            let places: Vec<String> =
                runs.iter().map(|run| format!("{} at {:.3}", run.instance, run.at.as_secs_f64())).collect();
            record.add(format!("TWICE: {id} ran {} times: {}", runs.len(), places.join(", ")));
        }
    }
    let mut refused = 0;
    for exchange in exchanges.iter().filter(|exchange| matches!(exchange.status, 408 | 421 | 429 | 503)) {
        if runs_of.contains_key(exchange.id.as_str()) {
            refused += 1;
            record.add(format!("REFUSED: {} got {} and has run", exchange.id, exchange.status));
        }
    }
    let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
    let summary = format!(
        "requests {}, served {served}, run {}, run more than once {twice}, refused though run {refused}",
        exchanges.len(),
        runs_of.len()
    );
    record.add(summary.clone());
    println!("{summary}");
    if served * 4 < exchanges.len() {
        return Err(io::Error::other("fewer than a quarter of the requests were served"));
    }
    Ok(twice == 0 && refused == 0)
}
