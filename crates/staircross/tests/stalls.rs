//! Tests with real nodes of the session tier whose processes stand still for some seconds while the service document or
//! the holder of a session changes. Requests wait in their sockets meanwhile.

mod common;

use common::{Fleet, NODES, SNAPSHOT, WAIT_TIMEOUT};
use rustix::process::Signal;
use staircross_config::{MachineEntry, MachineList, MachineState};
use staircross_node::api::{ReplyBody, StatementReply};
use staircross_node::{ClientError, NodeClient};
use staircross_standin::SearcherStandin;
use staircross_standin::faults::Fault;
use staircross_standin::platform::PlatformMode;
use staircross_standin::searcher::ControlCommand;
use staircross_types::{ErrorKind, SearcherId, SessionToken, Snapshot};
use std::collections::HashMap;
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bound on the time after which a published document is in force and a leaving searcher gets no new work, and what is
/// allowed on top of it on a busy machine.
const CHANGE_BOUND: Duration = Duration::from_millis(3000 + 500);
/// Time for which processes stand still. It is longer than the bound.
const STALL: Duration = Duration::from_millis(5200);
/// Time between two reads of the platform, as it is where the settings name none.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two requests to a node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Time after a stall during which callers go on.
const AFTER_STALL: Duration = Duration::from_secs(3);
/// Time within which a node that stood still answers again.
const RECOVERY_BOUND: Duration = Duration::from_millis(1000 + 500);
/// The searcher that a change concerns. It belongs to the service `clauses`.
const CHANGED: SearcherId = SearcherId(0);
const SEARCH: &str = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
/// Note of the action that must be executed once.
const NOTE: &str = "stalled";

fn start_fleet(name: &str) -> (Fleet, PathBuf) {
    let folder = std::env::temp_dir().join(format!("staircross-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    (Fleet::start_polling(&folder, "", POLL_INTERVAL, |platform| platform), folder)
}

fn end_fleet(fleet: Fleet, folder: PathBuf) {
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(folder);
}

/// A search, and how it ended.
struct SentSearch {
    node: usize,
    sent: Instant,
    ended: Instant,
    reply: StatementReply,
}

/// Sends a search on a connection of its own and waits for its reply in a thread.
fn send_search(node: usize, client: NodeClient, session: SessionToken) -> JoinHandle<SentSearch> {
    thread::spawn(move || {
        let sent = Instant::now();
        let reply = client.query(session, SEARCH).expect("a reply");
        SentSearch { node, sent, ended: Instant::now(), reply }
    })
}

/// Sends a search to each node at [`REQUEST_INTERVAL`] for a while.
fn send_for(fleet: &Fleet, sessions: &[SessionToken], time: Duration, searches: &mut Vec<JoinHandle<SentSearch>>) {
    let began = Instant::now();
    while began.elapsed() < time {
        searches.extend((0..NODES).map(|node| send_search(node, fleet.client(node), sessions[node])));
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// Lets the nodes stand still while `change` is made and callers send to all nodes. Returns when the change was made,
/// when the nodes continued, and the searches.
fn search_over_stall(
    fleet: &mut Fleet,
    stalled: &[usize],
    change: impl FnOnce(&mut Fleet),
) -> (Instant, Instant, Vec<SentSearch>) {
    let sessions: Vec<SessionToken> =
        (0..NODES).map(|node| fleet.client(node).open_session().expect("a session opens")).collect();
    let mut searches = Vec::new();
    send_for(fleet, &sessions, Duration::from_millis(500), &mut searches);
    stalled.iter().for_each(|node| fleet.signal(*node, Signal::STOP));
    change(fleet);
    let changed = Instant::now();
    send_for(fleet, &sessions, STALL, &mut searches);
    stalled.iter().for_each(|node| fleet.signal(*node, Signal::CONT));
    let continued = Instant::now();
    send_for(fleet, &sessions, AFTER_STALL, &mut searches);
    (changed, continued, searches.into_iter().map(|search| search.join().expect("a caller ends")).collect())
}

/// Returns how long after the change each search was sent that the changed searcher executed though it was sent later
/// than the bound.
fn late_runs(fleet: &Fleet, changed: Instant, searches: &[SentSearch]) -> Vec<Duration> {
    let sent: HashMap<&str, Instant> =
        searches.iter().map(|search| (search.reply.request.as_str(), search.sent)).collect();
    let searcher = fleet.searchers.iter().find(|searcher| searcher.id() == CHANGED).expect("the searcher runs");
    let requests = searcher.ledger().entries.into_iter().map(|entry| entry.attempt.request.to_string());
    let delays = requests.filter_map(|request| sent.get(request.as_str())?.checked_duration_since(changed));
    delays.filter(|delay| *delay > CHANGE_BOUND).collect()
}

/// Checks that a change which takes [`CHANGED`] out of use holds for all searches sent later than the bound, and that
/// the nodes that stood still answer again soon.
fn check_change(name: &str, stalled: impl FnOnce(&Fleet) -> Vec<usize>, change: impl FnOnce(&mut Fleet)) {
    let (mut fleet, folder) = start_fleet(name);
    let stalled = stalled(&fleet);
    let (changed, continued, searches) = search_over_stall(&mut fleet, &stalled, change);
    let late = late_runs(&fleet, changed, &searches);
    assert!(late.is_empty(), "{} of {} searches run by the former document: {late:?}", late.len(), searches.len());
    check_recovery(&stalled, continued, &searches);
    end_fleet(fleet, folder);
}

/// Checks that each node that stood still answers within [`RECOVERY_BOUND`].
fn check_recovery(stalled: &[usize], continued: Instant, searches: &[SentSearch]) {
    for node in stalled {
        let is_answer = |search: &&SentSearch| {
            search.node == *node && search.sent > continued && matches!(search.reply.body, ReplyBody::Answer(_))
        };
        let first = searches.iter().filter(is_answer).map(|search| search.ended).min();
        let pause = first.map(|first| first - continued);
        assert!(pause.is_some_and(|pause| pause <= RECOVERY_BOUND), "node {node} answers after {pause:?}");
    }
}

/// Returns the nodes that own [`CHANGED`].
fn owners(fleet: &Fleet) -> Vec<usize> {
    let ReplyBody::Listing(listing) = fleet.client(0).command("SHOW SEARCHERS").expect("a reply").body else {
        panic!("no listing of the searchers");
    };
    let row = listing.rows.iter().find(|row| row[0] == CHANGED.to_string()).expect("the searcher is listed");
    let is_owner = |node: &usize| {
        let id = fleet.client(*node).status().expect("a status").node.to_string();
        row[6].split(' ').any(|owner| id.starts_with(owner))
    };
    (0..NODES).filter(is_owner).collect()
}

fn remove_changed(fleet: &mut Fleet) {
    fleet.publish_edited(|document| {
        let service = &mut document.services[0];
        service.searchers.retain(|searcher| searcher.id != CHANGED);
        let placements = service.shard_maps.iter_mut().flat_map(|map| &mut map.shards);
        placements.for_each(|placement| placement.replicas.retain(|searcher| *searcher != CHANGED));
    });
}

fn drain_changed(fleet: &mut Fleet) {
    fleet.publish_edited(|document| {
        document.drained.insert(CHANGED);
    });
}

/// Guards against searches that a node handles by the document that was in force before its process stood still.
#[test]
fn an_owner_that_stood_still_sends_nothing_by_a_former_document() {
    check_change("stall-owner-document", |fleet| owners(fleet)[..1].to_vec(), remove_changed);
}

/// Guards against the same where all nodes stood still, so that no peer knows more.
#[test]
fn nodes_that_all_stood_still_send_nothing_by_a_former_document() {
    check_change("stall-all-document", |_| (0..NODES).collect(), remove_changed);
}

/// Guards against new work for a searcher that was drained while the process of its owner stood still.
#[test]
fn an_owner_that_stood_still_sends_no_work_to_a_searcher_drained_meanwhile() {
    check_change("stall-owner-drain", |fleet| owners(fleet)[..1].to_vec(), drain_changed);
}

/// Guards against the same where all nodes stood still.
#[test]
fn nodes_that_all_stood_still_send_no_work_to_a_searcher_drained_meanwhile() {
    check_change("stall-all-drain", |_| (0..NODES).collect(), drain_changed);
}

fn list_changed_as_leaving(fleet: &mut Fleet) {
    let address = fleet.searcher_address(CHANGED);
    let machines = vec![MachineEntry { address, state: MachineState::Leaving }];
    fleet.platform.set_machines(MachineList { machines });
}

/// Guards against new work for a searcher whose machine was listed as leaving while the process of its owner stood still.
#[test]
fn an_owner_that_stood_still_sends_no_work_to_a_machine_listed_as_leaving_meanwhile() {
    check_change("stall-owner-machine", |fleet| owners(fleet)[..1].to_vec(), list_changed_as_leaving);
}

/// Guards against the same where all nodes stood still.
#[test]
fn nodes_that_all_stood_still_send_no_work_to_a_machine_listed_as_leaving_meanwhile() {
    check_change("stall-all-machine", |_| (0..NODES).collect(), list_changed_as_leaving);
}

/// Guards against nodes that wait for a platform that can't be reached.
#[test]
fn nodes_that_all_stood_still_serve_again_soon_without_the_platform() {
    let (mut fleet, folder) = start_fleet("stall-unreachable");
    let all: Vec<usize> = (0..NODES).collect();
    let without_platform = |fleet: &mut Fleet| fleet.platform.set_mode(PlatformMode::Down);
    let (_, continued, searches) = search_over_stall(&mut fleet, &all, without_platform);
    check_recovery(&all, continued, &searches);
    end_fleet(fleet, folder);
}

/// Sends a statement again while no node knows where its session is.
fn query_when_found(client: &NodeClient, session: SessionToken, statement: &str) -> Result<ReplyBody, ClientError> {
    let started = Instant::now();
    loop {
        let body = client.query(session, statement)?.body;
        let is_sought = matches!(&body, ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::SessionSought);
        if !is_sought {
            return Ok(body);
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the session isn't found");
        thread::sleep(Duration::from_millis(50));
    }
}

fn count_runs(fleet: &Fleet) -> usize {
    fleet.searchers.iter().map(|searcher| searcher.ledger().count_actions(NOTE)).sum()
}

/// Guards against an action that is executed twice: its node stood still while the action ran, another node took the
/// session over from a copy in which the ticket was unused, and the first node took it back with that copy.
#[test]
fn an_action_in_flight_at_a_node_that_stands_still_runs_once_though_its_session_moves_and_returns() {
    let (fleet, folder) = start_fleet("stall-action");
    let slow = Fault::Slow { delay_ms: 1000 };
    let slow_down = |searcher: &SearcherStandin| {
        searcher.control(ControlCommand::AddFault { fault: slow.clone(), calls: None });
    };
    fleet.searchers.iter().for_each(slow_down);
    let holder = fleet.client(0);
    let session = holder.open_session().expect("a session opens");
    let ticket = holder.mint_ticket(session).expect("a ticket is minted");
    let statement = format!("RUN confirm ON 'doc-001' IN SERVICE bookings NOTE '{NOTE}' TICKET '{ticket}'");
    let first = {
        let (holder, statement) = (holder.clone(), statement.clone());
        thread::spawn(move || holder.query(session, &statement))
    };
    let started = Instant::now();
    while count_runs(&fleet) == 0 {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the action isn't executed");
        thread::sleep(Duration::from_millis(5));
    }
    fleet.signal(0, Signal::STOP);
    let elsewhere = query_when_found(&fleet.client(1), session, &statement).expect("a reply");
    fleet.signal(0, Signal::CONT);
    let again: Vec<ReplyBody> = (0..3)
        .map(|_| {
            thread::sleep(Duration::from_millis(700));
            query_when_found(&holder, session, &statement).expect("a reply")
        })
        .collect();
    let first = first.join().expect("a caller ends").expect("a reply");
    assert_eq!(count_runs(&fleet), 1, "at first {first:?}, elsewhere {elsewhere:?}, again {again:?}");
    end_fleet(fleet, folder);
}

/// Searches until a node answers from a snapshot.
fn search_until(client: &NodeClient, session: SessionToken, snapshot: &str) {
    let started = Instant::now();
    let is_seen =
        |reply: StatementReply| matches!(reply.body, ReplyBody::Answer(answer) if answer.snapshot == snapshot);
    while !is_seen(client.query(session, SEARCH).expect("a reply")) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "snapshot {snapshot} isn't served");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against an answer from an older snapshot than its session has seen: the node stood still while another one took
/// the session over, and answers by the state that the session had before.
#[test]
fn a_node_that_stood_still_answers_from_no_older_snapshot_than_the_session_has_seen_elsewhere() {
    let next = Snapshot { version: SNAPSHOT.version + 1, ..SNAPSHOT };
    let (mut fleet, folder) = start_fleet("stall-floor");
    let session = fleet.client(0).open_session().expect("a session opens");
    search_until(&fleet.client(0), session, &SNAPSHOT.to_string());
    fleet.signal(0, Signal::STOP);
    fleet.publish_snapshot(next);
    search_until(&fleet.client(1), session, &next.to_string());
    let mut searches = Vec::new();
    for number in 0..60 {
        if number == 30 {
            fleet.signal(0, Signal::CONT);
        }
        searches.push(send_search(0, fleet.client(0), session));
        thread::sleep(Duration::from_millis(20));
    }
    let replies: Vec<ReplyBody> =
        searches.into_iter().map(|search| search.join().expect("a caller ends").reply.body).collect();
    let snapshots = replies.iter().filter_map(|reply| match reply {
        ReplyBody::Answer(answer) => Some(answer.snapshot.clone()),
        _ => None,
    });
    let (new, old): (Vec<String>, Vec<String>) = snapshots.partition(|snapshot| *snapshot == next.to_string());
    assert!(old.is_empty(), "{} of {} answers from an older snapshot: {old:?}", old.len(), old.len() + new.len());
    assert!(!new.is_empty(), "no answer: {:?}", replies.last());
    end_fleet(fleet, folder);
}
