//! A gateway starts again with a stale seed, whose address belongs to a machine of another deployment by now.

use crate::gateway::{Addresses, Folder, Gateway, HOBART, Place, Start};
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::traffic::{Sent, Stream, send_all};
use crate::{Verdict, config};
use std::time::Duration;

/// The place of the gateways of the other deployment, `polana-staircross`.
const WARSAW: Place = Place {
    zone: "waw-hall-a",
    region: "mazowsze",
    zones: [("waw-hall-a", "mazowsze"), ("krk-hall-b", "malopolska"), ("gdn-hall-c", "pomorze")],
};

/// One deployment: its store and its searchers.
struct Deployment {
    store: Store,
    searchers: Vec<Searcher>,
}

impl Deployment {
    fn start(version: u64, name: &str, service: &str, place: &Place) -> Deployment {
        let store = Store::start();
        let route = config::route(name, "idempotent", service, 15_000, 2);
        store.put("op/config", &config::document(version, &[route], &[service]));
        let start = |(index, (zone, _)): (usize, &(&'static str, &'static str))| {
            Searcher::start(&store, &format!("i-{index}{name}"), service, zone, Duration::from_millis(5))
        };
        let searchers = place.zones.iter().enumerate().map(start).collect();
        Deployment { store, searchers }
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::new();
    let own = Deployment::start(7, "archive", "records-keeper", &HOBART);
    let other = Deployment::start(40, "ledger", "owner-portal", &WARSAW);
    let (Some(mut gateways), Some(others)) = (
        Gateway::start_all(&folder.0, &HOBART, 3, own.store.address),
        Gateway::start_all(&folder.0, &WARSAW, 2, other.store.address),
    ) else {
        return Verdict::NotRun("the gateways didn't become ready");
    };
    let streams = |gateways: &[Gateway]| -> Vec<Stream> {
        gateways.iter().map(|gateway| Stream::new(gateway, "/archive/", 50, 4000)).collect()
    };
    let mut sent = send_all(&streams(&gateways), Duration::from_secs(3));
    let before = sent.len();

    // The first seed is that of the machine that starts again, the second is down, the third is stale.
    let last = gateways.pop().expect("three gateways");
    let addresses = last.addresses;
    drop(last);
    let stale = if has_trouble { others[0].addresses.peers } else { Addresses::free().peers };
    let seeds = [addresses.peers, Addresses::free().peers, stale];
    record.line(&format!("gateway 3 is killed and starts again with the seeds {seeds:?}; the last one is stale"));
    let start =
        Start { place: &HOBART, index: 2, addresses, seeds: &seeds, store: own.store.address, is_first_start: false };
    gateways.push(Gateway::start(&folder.0, &start));
    sent.extend(send_all(&streams(&gateways[..2]), Duration::from_secs(10)));
    let judged = send_all(&streams(&gateways), Duration::from_secs(15));
    sent.extend(judged.iter().cloned());

    sent.iter().for_each(|one| record.line_at(one.at, &one.line()));
    for searcher in own.searchers.iter().chain(&other.searchers) {
        let line = |run: &crate::searcher::Run| format!("ran id={} searcher={}", run.id, searcher.id);
        searcher.runs().iter().for_each(|run| record.line_at(run.at, &line(run)));
    }
    let count = |status: u16, sent: &[Sent]| sent.iter().filter(|one| one.status() == status).count();
    for gateway in &gateways {
        let here: Vec<Sent> = judged.iter().filter(|one| one.gateway == gateway.name).cloned().collect();
        let (served, denied) = (count(200, &here), count(404, &here));
        record.line(&format!(
            "gateway {}: requests {} served {served} denied with 404 {denied}",
            gateway.name,
            here.len()
        ));
    }
    let first_served = count(200, &sent[..before]);
    if first_served < before / 2 || (!has_trouble && count(200, &judged) < judged.len() / 2) {
        return Verdict::NotRun("too few requests were served where nothing was done");
    }
    let denied = count(404, &sent);
    let allowed = 5 + sent.len() / 500;
    record.line(&format!("DENIED: requests {}, answered 404 {denied}, at most {allowed} may be", sent.len()));
    if denied > allowed { Verdict::Broken } else { Verdict::Held }
}
