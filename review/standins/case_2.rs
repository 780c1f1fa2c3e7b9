//! Case 2: searchers fail some requests with a 500 of their own, and send bytes after some whole answers.

use crate::client::{Clients, Exchange, Kind};
use crate::gateway::{Addresses, RunFolder, ZONES, start_fleet};
use crate::record::Record;
use crate::searcher::{Faults, Plan, Run, Searcher};
use crate::store::Store;
use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

/// Faults of all searchers while the disruption lasts: `srv_grey` with `errors all` (x 0.4, its default), and bytes that
/// follow a whole answer, in the dose of `garble` with `extra late` in the site file (x 0.03).
const FAULTS: Faults = Faults { sheds: 0.0, fails: 0.4, extra_late: 0.0, extra_cut_off: 0.03, slow: 1.0 };
/// Number of times that the disruption comes, and how long it lasts each time.
const STRIKES: usize = 3;
const STRIKE_TIME: Duration = Duration::from_secs(9);
const CALM_TIME: Duration = Duration::from_secs(2);
/// Sizes of the small deployment: 9 gateways, 27 searchers in three zones, some 225 requests a second.
const GATEWAYS: usize = 9;
const SEARCHERS_PER_ZONE: usize = 9;
const CLIENTS_PER_ZONE: usize = 40;
const REQUESTS_PER_S_AND_ZONE: f64 = 75.0;

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let folder = RunFolder::new("2")?;
    let store = Store::start(1000)?;
    store.put("op/config", CONFIGURATION);
    let searchers = start_searchers(&store, record)?;
    let gateways = start_fleet(GATEWAYS, store.address, &folder.0)?;
    let directories: Vec<Addresses> = gateways.iter().map(|gateway| gateway.addresses).collect();
    let kind =
        Kind { method: "GET", host: "hufi27.example", path: "/goka902/", body: b"", deadline: Duration::from_secs(4) };
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
    let runs: Vec<Run> = searchers.iter().flat_map(Searcher::runs).collect();
    judge(&exchanges, &runs, record)
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-xmibw6k","host":"hufi27.example","path-prefix":"/goka902/","type":"idempotent","timeout-ms":15000,"latency-goal-ms":1000,"priority":2,"service":"kafi81c","max-attempts":2}],"services":[{"name":"kafi81c","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

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
                body: b"the archived template".to_vec(),
            };
            let searcher = Searcher::start(plan, record, searchers.len() as u64 + 200)?;
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

/// Checks the rule MIXED: a client's success must be a searcher's answer to this request, and not a failure.
fn judge(exchanges: &[Exchange], runs: &[Run], record: &Record) -> io::Result<bool> {
    let answers: HashMap<&str, &Run> = runs.iter().map(|run| (run.stamp.as_str(), run)).collect();
    let (mut unsigned, mut foreign, mut failures) = (0, 0, 0);
    for exchange in exchanges.iter().filter(|exchange| (200..300).contains(&exchange.status)) {
        let Some(stamp) = &exchange.stamp else {
            unsigned += 1;
            record.add(format!("MIXED: {} got {} without a signature", exchange.id, exchange.status));
            continue;
        };
        match answers.get(stamp.as_str()) {
            Some(run) if run.id == exchange.id && run.status == 200 => {}
            Some(run) if run.id == exchange.id => {
                failures += 1;
                let body = String::from_utf8_lossy(&exchange.body);
                record.add(format!(
                    "MIXED: {} got {} with the signature {stamp} and the body {body:?}, where the searcher had answered {}",
                    exchange.id, exchange.status, run.status
                ));
            }
            _ => {
                foreign += 1;
                record
                    .add(format!("MIXED: {} got {} with the foreign signature {stamp}", exchange.id, exchange.status));
            }
        }
    }
    let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
    let summary = format!(
        "requests {}, answered with 200 {served}, of these failures of searchers {failures}, foreign {foreign}, without a \
         signature {unsigned}",
        exchanges.len()
    );
    record.add(summary.clone());
    println!("{summary}");
    if served * 4 < exchanges.len() {
        return Err(io::Error::other("fewer than a quarter of the requests were served"));
    }
    Ok(failures + foreign + unsigned == 0)
}
