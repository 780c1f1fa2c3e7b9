//! A searcher spoils a byte in some of its answers, in the name of the field that holds its signature.

use crate::gateway::{Folder, Gateway, HOBART};
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::traffic::{Stream, send_all};
use crate::{Verdict, config};
use std::time::Duration;

/// One answer in this many is spoiled: the share 0.02 of the kind `garble`.
const SPOILED_ONE_IN: u64 = 50;

fn spoil(number: u64, whole: Vec<u8>) -> (Vec<u8>, &'static str) {
    const NAME: &[u8] = b"X-Staircross-Server-Stamp";
    let place = whole.windows(NAME.len()).position(|window| window == NAME);
    let Some(place) = place.filter(|_| number.is_multiple_of(SPOILED_ONE_IN)) else {
        return (whole, "whole");
    };
    let mut spoiled = whole;
    spoiled[place + 2] = b'Z';
    (spoiled, "spoiled")
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put(
        "op/config",
        &config::document(
            1,
            &[config::route("archive", "idempotent", "records-keeper", 15_000, 2)],
            &["records-keeper"],
        ),
    );
    let searchers: Vec<Searcher> = ["hob-hall-a", "lst-hall-b", "bur-hall-c"]
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            Searcher::start(&store, &format!("i-{index}a4c"), "records-keeper", zone, Duration::from_millis(5))
        })
        .collect();
    let Some(gateways) = Gateway::start_all(&folder.0, &HOBART, 2, store.address) else {
        return Verdict::NotRun("the gateways didn't become ready");
    };
    let streams: Vec<Stream> = gateways.iter().map(|gateway| Stream::new(gateway, "/archive/", 10, 4000)).collect();
    let mut sent = send_all(&streams, Duration::from_secs(2));
    if has_trouble {
        record.line("searcher i-0a4c begins to spoil one answer in 50");
        searchers[0].set_spoil(Some(spoil));
    }
    sent.extend(send_all(&streams, Duration::from_millis(5500)));
    searchers[0].set_spoil(None);
    record.line("searcher i-0a4c is sound again");
    sent.extend(send_all(&streams, Duration::from_secs(2)));
    sent.iter().for_each(|one| record.line_at(one.at, &one.line()));
    let mut spoiled = 0;
    for searcher in &searchers {
        for run in searcher.runs() {
            spoiled += usize::from(run.answer == "spoiled");
            record.line_at(run.at, &format!("ran id={} searcher={} answer={}", run.id, searcher.id, run.answer));
        }
    }
    let unsigned: Vec<_> = sent.iter().filter(|one| one.status() / 100 == 2 && !one.is_served()).collect();
    let served = sent.iter().filter(|one| one.is_served()).count();
    record.line(&format!("requests {} served {served} answers spoiled {spoiled}", sent.len()));
    record.line(&format!("MIXED: successes without a signature at clients: {}", unsigned.len()));
    if served < sent.len() / 2 || (has_trouble && spoiled == 0) {
        return Verdict::NotRun("too few requests were served, or none was spoiled");
    }
    if unsigned.is_empty() { Verdict::Held } else { Verdict::Broken }
}
