//! Tests of real node processes over loopback with sessions under load: a rolling replacement, a kill, a pause.
//!
//! The platform and the searchers are stand-ins in the test process. The assertions don't depend on timing: answers
//! are correct, coverage adds up, no session is lost, no planned stop breaks a request, and no action that must run
//! once runs twice.

mod common;

use common::{DOCUMENTS, Fleet, NODES, SHARDS, SNAPSHOT, WAIT_TIMEOUT, ZONES, wait_for_exit};
use rustix::process::Signal;
use staircross_node::api::ReplyBody;
use staircross_node::{ClientError, NodeClient};
use staircross_standin::platform::PlatformMode;
use staircross_types::{ErrorKind, SessionToken};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Faults found by all callers, and flags that control the callers.
#[derive(Clone, Default)]
struct Findings {
    faults: Arc<Mutex<Vec<String>>>,
    /// Whether a broken connection counts as a fault. It doesn't while nodes are killed.
    broken_connection_is_fault: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

impl Findings {
    fn add(&self, what: String) {
        self.faults.lock().expect("no caller panics").push(what);
    }
}

/// Sends queries of one session one after the other until told to stop, and follows the addresses in replies. Returns
/// the number of answers.
fn run_caller(number: usize, session: SessionToken, callers: Vec<SocketAddr>, findings: &Findings) -> usize {
    let mut at = number;
    let mut client = NodeClient::new(callers[at % callers.len()]);
    let mut answers = 0;
    while !findings.stop.load(Ordering::Acquire) {
        match client.query(session, "SEARCH 'common' IN SERVICE clauses LIMIT 100") {
            Ok(reply) => {
                match &reply.body {
                    ReplyBody::Answer(answer) => {
                        answers += 1;
                        let reported = answer.shards_included + answer.shards_missing.len();
                        let is_whole = answer.shards_missing.is_empty();
                        if reported != SHARDS as usize || answer.snapshot != SNAPSHOT.to_string() {
                            findings.add(format!("coverage or snapshot is wrong: {answer:?}"));
                        }
                        if is_whole && (answer.matched != DOCUMENTS || answer.hits.len() as u64 != DOCUMENTS) {
                            findings.add(format!("{} of {DOCUMENTS} documents in a whole answer", answer.matched));
                        }
                    }
                    ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::UnknownSession => {
                        findings.add(format!("session {number} was lost: {}", refusal.detail));
                    }
                    ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::Leaving => at += 1,
                    _ => {}
                }
                if let Some(next) = reply.moved_to {
                    client = NodeClient::new(next);
                }
            }
            Err(error) => {
                if findings.broken_connection_is_fault.load(Ordering::Acquire) {
                    findings.add(format!("caller {number} was cut off: {error}"));
                }
                at += 1;
                client = NodeClient::new(callers[at % callers.len()]);
            }
        }
    }
    answers
}

fn confirm(client: &NodeClient, note: &str) -> Result<String, ClientError> {
    let session = client.open_session()?;
    let ticket = client.mint_ticket(session)?;
    let statement = format!("RUN confirm ON 'doc-001' IN SERVICE bookings NOTE '{note}' TICKET '{ticket}'");
    client.query(session, &statement)?;
    client.query(session, &statement)?;
    Ok(ticket)
}

#[test]
fn fleet_of_processes_keeps_its_promises_through_stops_kills_and_pauses() {
    let folder = std::env::temp_dir().join(format!("staircross-processes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let findings = Findings::default();
    findings.broken_connection_is_fault.store(true, Ordering::Release);
    let load: Vec<_> = (0..6)
        .map(|number| {
            let callers = fleet.callers.clone();
            let findings = findings.clone();
            // The session is opened before any node stops, since a stopping node opens no new session.
            let session = fleet.client(number).open_session().expect("a session opens");
            std::thread::spawn(move || run_caller(number, session, callers, &findings))
        })
        .collect();

    // A rolling replacement of the whole fleet breaks no request, and a second signal changes nothing.
    for index in 0..NODES {
        fleet.signal(index, Signal::TERM);
        if index % 2 == 0 {
            fleet.signal(index, Signal::TERM);
        }
        assert_eq!(wait_for_exit(&mut fleet.nodes[index]), Some(0), "node {index} ends well");
        fleet.replace(index);
    }

    // A published document is in force on all nodes, and no node returns to an older revision.
    let second = fleet.publish(2900);
    fleet.wait_in_force(second, 1);
    fleet.platform.set_mode(PlatformMode::SteppedBack);
    std::thread::sleep(Duration::from_millis(500));
    fleet.wait_in_force(second, second);
    fleet.platform.set_mode(PlatformMode::Down);

    // A killed node loses its connections, but its sessions survive. A paused node resumes late.
    findings.broken_connection_is_fault.store(false, Ordering::Release);
    fleet.signal(0, Signal::KILL);
    wait_for_exit(&mut fleet.nodes[0]);
    fleet.signal(1, Signal::STOP);
    std::thread::sleep(Duration::from_millis(3500));
    fleet.signal(1, Signal::CONT);
    fleet.replace(0);
    fleet.wait_ready(1);
    // The platform is down, so the restarted node has the document from its peers.
    fleet.wait_in_force(second, second);
    fleet.platform.set_mode(PlatformMode::Up);

    // An action sent twice with one ticket ran once.
    confirm(&fleet.client(2), "once").expect("the action is answered");
    let ran: usize = fleet.searchers.iter().map(|searcher| searcher.ledger().count_actions("once")).sum();
    assert_eq!(ran, 1);

    findings.stop.store(true, Ordering::Release);
    let answers: usize = load.into_iter().map(|caller| caller.join().expect("a caller ends")).sum();
    let faults = findings.faults.lock().expect("no caller panics").clone();
    assert!(faults.is_empty(), "{} findings, the first: {:?}", faults.len(), &faults[..faults.len().min(5)]);
    assert!(answers > 0, "the load was answered");
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// Guards against a session reported as lost because the nodes that may hold it didn't answer in time: their silence
/// doesn't mean that they lack it. Seen once under load, when a caller moved on from a stopping node.
#[test]
fn a_session_is_not_called_lost_while_nodes_that_may_hold_it_are_silent() {
    let folder = std::env::temp_dir().join(format!("staircross-silent-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let fleet = Fleet::start(&folder);
    let session = fleet.client(0).open_session().expect("a session opens");
    let search = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
    // The copies are in other zones than the holder's. Their nodes are paused and the holder is killed.
    let keepers: Vec<usize> = (0..NODES).filter(|index| index % ZONES.len() != 0).collect();
    keepers.iter().for_each(|index| fleet.signal(*index, Signal::STOP));
    fleet.signal(0, Signal::KILL);
    let silent = fleet.client(3).query(session, search).expect("a reply");
    keepers.iter().for_each(|index| fleet.signal(*index, Signal::CONT));
    let ReplyBody::Refusal(refusal) = silent.body else {
        panic!("no node could have had the session: {silent:?}");
    };
    assert_eq!(refusal.error, ErrorKind::SessionSought, "{}", refusal.detail);
    let is_answered =
        || matches!(fleet.client(3).query(session, search), Ok(reply) if matches!(reply.body, ReplyBody::Answer(_)));
    let started = Instant::now();
    while !is_answered() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the session isn't found once they answer");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}

/// Guards against the loss of an idle session whose keepers are replaced before its holder ends: the state was copied
/// only when it changed, so the nodes that took the keepers' place never got a copy and answered `unknown_session`.
#[test]
fn a_session_that_rests_outlives_the_replacement_of_those_that_keep_copies() {
    let folder = std::env::temp_dir().join(format!("staircross-resting-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let session = fleet.client(0).open_session().expect("a session opens");
    for index in 1..NODES {
        fleet.signal(index, Signal::KILL);
        wait_for_exit(&mut fleet.nodes[index]);
        fleet.replace(index);
    }
    fleet.signal(0, Signal::KILL);
    let search = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
    let started = Instant::now();
    loop {
        let reply = fleet.client(1).query(session, search).expect("a reply");
        match reply.body {
            ReplyBody::Answer(_) => break,
            ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::SessionSought => {}
            other => panic!("the session is lost: {other:?}"),
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the session isn't found");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}
