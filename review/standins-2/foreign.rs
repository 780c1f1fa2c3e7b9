//! Another program writes an entry with missing fields over that of a searcher.

use crate::gateway::{Folder, Gateway, HOBART};
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::traffic::{Sent, Stream, send_all};
use crate::{Verdict, config};
use std::time::Duration;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let routes = [
        config::route("archive", "idempotent", "records-keeper", 15_000, 2),
        config::route("council", "idempotent", "council-gateway", 15_000, 2),
    ];
    store.put("op/config", &config::document(1, &routes, &["records-keeper", "council-gateway"]));
    let start =
        |name: &str, service: &str, zone: &str| Searcher::start(&store, name, service, zone, Duration::from_millis(5));
    let mut searchers = Vec::new();
    for (index, zone) in ["hob-hall-a", "lst-hall-b", "bur-hall-c"].iter().enumerate() {
        searchers.push(start(&format!("i-{index}a4c"), "records-keeper", zone));
        searchers.push(start(&format!("i-{index}f71"), "council-gateway", zone));
    }
    let Some(gateways) = Gateway::start_all(&folder.0, &HOBART, 2, store.address) else {
        return Verdict::NotRun("the gateways didn't become ready");
    };
    let streams: Vec<Stream> = gateways
        .iter()
        .flat_map(|gateway| ["/archive/", "/council/"].map(|path| Stream::new(gateway, path, 20, 4000)))
        .collect();
    let mut sent = send_all(&streams, Duration::from_secs(3));
    if has_trouble {
        let one = &searchers[0];
        let entry = format!(
            "{{\"service\":\"council-gateway\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\",\"born\":{}}}",
            one.address, one.zone, one.born_ms
        );
        store.put(&one.key(), &entry);
        record.line(&format!("another program wrote {} = {entry}", one.key()));
    }
    sent.extend(send_all(&streams, Duration::from_secs(6)));
    sent.iter().for_each(|one| record.line_at(one.at, &one.line()));
    let mut foreign = 0;
    for searcher in &searchers {
        for run in searcher.runs() {
            let wanted = if run.target.starts_with("/archive/") { "records-keeper" } else { "council-gateway" };
            let is_foreign = searcher.service != wanted;
            foreign += usize::from(is_foreign);
            let note = if is_foreign { " of a route to another service" } else { "" };
            record.line_at(
                run.at,
                &format!(
                    "ran id={} target={} searcher={} service={}{note}",
                    run.id, run.target, searcher.id, searcher.service
                ),
            );
        }
    }
    let served = sent.iter().filter(|one| Sent::is_served(one)).count();
    record.line(&format!("requests {} served {served}", sent.len()));
    record.line(&format!("ROUTE: requests run by a service that no configuration lets them go to: {foreign}"));
    if served < sent.len() / 2 {
        return Verdict::NotRun("too few requests were served");
    }
    if foreign == 0 { Verdict::Held } else { Verdict::Broken }
}
