//! What an HTTP call to a searcher costs, with a real stand-in over loopback.

use super::slopes::cpu_of;
use staircross_standin::loopback::free_address;
use staircross_standin::{Corpus, Document, SearcherSettings, SearcherStandin};
use staircross_types::searcher_api::{CallReply, SEARCH_PATH, SearchCall};
use staircross_types::{AttemptId, NodeId, RequestId, SearchQuery, SearcherId, ShardId, Snapshot, body_digest};
use std::time::Duration;

const CALLS: u64 = 4000;
const SNAPSHOT: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };

/// Processor microseconds per call, client and server together; NaN where no port is to be had.
pub fn http_us_per_call() -> f64 {
    let Ok(listen) = free_address() else {
        return f64::NAN;
    };
    let settings = SearcherSettings {
        id: SearcherId(1),
        listen,
        slots: 5,
        queue: 5,
        connections: 65,
        work: Duration::ZERO,
        cold: Duration::ZERO,
    };
    let Ok(searcher) = SearcherStandin::start(settings) else {
        return f64::NAN;
    };
    let document = Document { id: "d".into(), title: "audit notice".into(), body: "on ten days' notice".into() };
    searcher.publish(SNAPSHOT, &Corpus { documents: vec![document] }, &[ShardId(0)], 1);
    let agent: ureq::Agent = ureq::Agent::config_builder().proxy(None).build().into();
    let url = format!("http://{listen}{SEARCH_PATH}");
    let spent = cpu_of(|| {
        for sequence in 0..CALLS {
            call_once(&agent, &url, sequence);
        }
    });
    spent.as_micros() as f64 / CALLS as f64
}

fn call_once(agent: &ureq::Agent, url: &str, sequence: u64) {
    let call = SearchCall {
        attempt: AttemptId { request: RequestId { node: NodeId(1), sequence }, attempt: 1 },
        snapshot: SNAPSHOT,
        shards: vec![ShardId(0)],
        query: SearchQuery { terms: vec!["audit".into()], limit: 10, after: None },
        remaining_ms: 300,
    };
    let Ok(body) = serde_json::to_vec(&call) else {
        return;
    };
    let reply = agent.post(url).send(&body[..]).and_then(|mut response| response.body_mut().read_to_vec());
    if let Ok(bytes) = reply {
        std::hint::black_box((body_digest(&bytes), serde_json::from_slice::<CallReply>(&bytes).is_ok()));
    }
}
