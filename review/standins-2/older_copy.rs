//! In a drill, the store comes back from a copy some seconds old. Later a service is added.

use crate::gateway::{Folder, Gateway, HOBART};
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::traffic::{Sent, Stream, send_all};
use crate::{Verdict, config};
use std::thread;
use std::time::Duration;

/// Time between two versions of the configuration, and their number: the kind `config_storm` with its figures of the site.
const STORM_GAP: Duration = Duration::from_millis(330);
const STORM_VERSIONS: u64 = 12;
/// Time after the store's return until the next change: more than `contact-ms`, so that the store is stable again.
const CALM: Duration = Duration::from_secs(8);
/// Time from the start of the new searchers to the version that names them.
const SEARCHERS_FIRST: Duration = Duration::from_secs(3);
/// Time from that version's acknowledgement to the first request on its route: more than `config-ms`.
const CONFIG_IN_FORCE: Duration = Duration::from_secs(5);

fn version(number: u64, timeout_ms: u64, has_council: bool) -> String {
    let mut routes = vec![config::route("archive", "idempotent", "records-keeper", timeout_ms, 2)];
    if has_council {
        routes.push(config::route("council", "idempotent", "council-gateway", 15_000, 2));
    }
    config::document(number, &routes, &["records-keeper", "council-gateway"])
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put("op/config", &version(1, 15_000, false));
    let zones = ["hob-hall-a", "lst-hall-b", "bur-hall-c"];
    let start =
        |name: &str, service: &str, zone: &str| Searcher::start(&store, name, service, zone, Duration::from_millis(5));
    let mut searchers: Vec<Searcher> = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        searchers.push(start(&format!("i-{index}a4c"), "records-keeper", zone));
    }
    let Some(gateways) = Gateway::start_all(&folder.0, &HOBART, 3, store.address) else {
        return Verdict::NotRun("the gateways didn't become ready");
    };
    let streams = |path: &'static str| gateways.iter().map(move |gateway| Stream::new(gateway, path, 100, 4000));
    let mut sent = send_all(&streams("/archive/").collect::<Vec<_>>(), Duration::from_secs(2));

    let copy = store.copy();
    record.line(&format!("a copy of the store is made at revision {}", store.revision()));
    for number in 2..2 + STORM_VERSIONS {
        let revision = store.put("op/config", &version(number, 15_000 - number, false));
        record.line(&format!("the store acknowledged version {number} at revision {revision:?}"));
        thread::sleep(STORM_GAP);
    }
    if has_trouble {
        store.go_away();
        record.line(&format!("the store is away; its revision was {}", store.revision()));
        thread::sleep(Duration::from_secs(1));
        store.come_back(Some(copy));
        record.line(&format!("the store is back from the copy, at revision {}", store.revision()));
    }
    let newest = 1 + STORM_VERSIONS;
    let revision = store.put("op/config", &version(newest, 15_000 - newest, false));
    record.line(&format!("the operator wrote version {newest} again: revision {revision:?}"));
    thread::sleep(CALM);

    for (index, zone) in zones.iter().enumerate() {
        searchers.push(start(&format!("i-{index}f71"), "council-gateway", zone));
    }
    record.line(&format!("three searchers of council-gateway have started; revision {}", store.revision()));
    thread::sleep(SEARCHERS_FIRST);
    let revision = store.put("op/config", &version(newest + 1, 15_000, true));
    record
        .line(&format!("the store acknowledged version {} with a route to them at revision {revision:?}", newest + 1));
    thread::sleep(CONFIG_IN_FORCE);

    let both: Vec<Stream> = streams("/archive/").chain(streams("/council/")).collect();
    let judged = send_all(&both, Duration::from_secs(20));
    sent.extend(judged.iter().cloned());
    sent.iter().for_each(|one| record.line_at(one.at, &one.line()));
    for searcher in &searchers {
        searcher
            .runs()
            .iter()
            .for_each(|run| record.line_at(run.at, &format!("ran id={} searcher={}", run.id, searcher.id)));
    }
    let share = |path: &str| {
        let on_route: Vec<&Sent> = judged.iter().filter(|one| one.target.starts_with(path)).collect();
        let served = on_route.iter().filter(|one| one.is_served()).count();
        record.line(&format!("route {path}: requests {} served {served}", on_route.len()));
        served as f64 / on_route.len() as f64
    };
    let (first, later) = (share("/archive/"), share("/council/"));
    record.line(&format!("CONFIG: share served on the first route {first:.3}, on the route added later {later:.3}"));
    if first < 0.5 {
        return Verdict::NotRun("the first route wasn't served");
    }
    if later < first / 4.0 { Verdict::Broken } else { Verdict::Held }
}
