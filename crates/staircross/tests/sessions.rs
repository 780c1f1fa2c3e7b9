//! Tests that sessions at rest survive the replacement of nodes, whether it is planned or not.

mod common;

use common::{Fleet, NODES, WAIT_TIMEOUT, wait_for_exit};
use rustix::process::Signal;
use staircross_node::api::ReplyBody;
use staircross_types::{ErrorKind, SessionToken};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const SEARCH: &str = "SEARCH 'common' IN SERVICE clauses LIMIT 1";
/// Number of sessions opened at each node.
const SESSIONS_PER_NODE: usize = 20;
/// Number of sessions opened at one node, more than a holder checks in a few ticks.
const MANY_SESSIONS: usize = 1500;
/// Number of threads that open sessions.
const OPENERS: usize = 12;

fn start_fleet(name: &str) -> (Fleet, PathBuf) {
    start_fleet_with(name, "")
}

fn start_fleet_with(name: &str, settings: &str) -> (Fleet, PathBuf) {
    let folder = std::env::temp_dir().join(format!("staircross-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    (Fleet::start_with(&folder, settings), folder)
}

fn end_fleet(fleet: Fleet, folder: PathBuf) {
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(folder);
}

/// Opens sessions at the node `index`.
fn open_sessions(fleet: &Fleet, index: usize, count: usize) -> Vec<SessionToken> {
    let openers: Vec<_> = (0..OPENERS)
        .map(|opener| {
            let client = fleet.client(index);
            let share = count / OPENERS + usize::from(opener < count % OPENERS);
            std::thread::spawn(move || -> Vec<SessionToken> {
                (0..share).map(|_| client.open_session().expect("a session opens")).collect()
            })
        })
        .collect();
    openers.into_iter().flat_map(|opener| opener.join().expect("an opener ends")).collect()
}

fn open_sessions_everywhere(fleet: &Fleet) -> Vec<SessionToken> {
    (0..NODES).flat_map(|index| open_sessions(fleet, index, SESSIONS_PER_NODE)).collect()
}

/// Ends a node by a signal and starts its successor, as an operator does who waits until each node is ready.
fn replace(fleet: &mut Fleet, index: usize, signal: Signal) {
    fleet.signal(index, signal);
    wait_for_exit(&mut fleet.nodes[index]);
    fleet.replace(index);
}

/// Searches in each session at a node. Returns how many sessions are lost.
fn count_lost(fleet: &Fleet, index: usize, sessions: &[SessionToken]) -> usize {
    sessions.iter().filter(|session| is_lost(fleet, index, **session)).count()
}

fn is_lost(fleet: &Fleet, index: usize, session: SessionToken) -> bool {
    let started = Instant::now();
    loop {
        let reply = fleet.client(index).query(session, SEARCH).expect("a reply");
        match reply.body {
            ReplyBody::Answer(_) => return false,
            ReplyBody::Refusal(refusal) if refusal.error == ErrorKind::UnknownSession => return true,
            other => assert!(started.elapsed() < WAIT_TIMEOUT, "the session is neither found nor lost: {other:?}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against the loss of sessions at rest in a rolling update: nobody cared for the copies of a session whose holder
/// had stopped, so they were gone when the nodes that kept them were replaced as well.
#[test]
fn sessions_at_rest_outlive_the_planned_replacement_of_all_nodes() {
    let (mut fleet, folder) = start_fleet("rolling");
    let sessions = open_sessions_everywhere(&fleet);
    (0..NODES).for_each(|index| replace(&mut fleet, index, Signal::TERM));
    assert_eq!(count_lost(&fleet, 0, &sessions), 0, "lost of {} sessions", sessions.len());
    end_fleet(fleet, folder);
}

/// Guards against the loss of sessions at rest when all nodes are killed in turn, each when the one before is ready again:
/// a node was ready before it had the copies that it keeps for others.
#[test]
fn sessions_at_rest_outlive_the_killing_of_all_nodes_in_turn() {
    let (mut fleet, folder) = start_fleet("killing");
    let sessions = open_sessions_everywhere(&fleet);
    (0..NODES).for_each(|index| replace(&mut fleet, index, Signal::KILL));
    assert_eq!(count_lost(&fleet, 0, &sessions), 0, "lost of {} sessions", sessions.len());
    end_fleet(fleet, folder);
}

/// Guards against the loss of sessions whose holder has more of them than it checks in a few ticks.
#[test]
fn many_sessions_of_one_holder_outlive_the_killing_of_all_nodes_in_turn() {
    let (mut fleet, folder) = start_fleet("many");
    let sessions = open_sessions(&fleet, 0, MANY_SESSIONS);
    (1..NODES).chain([0]).for_each(|index| replace(&mut fleet, index, Signal::KILL));
    assert_eq!(count_lost(&fleet, 1, &sessions), 0, "lost of {} sessions", sessions.len());
    end_fleet(fleet, folder);
}

/// Guards against the loss of sessions whose holder is paused while the nodes that keep their copies are replaced.
#[test]
fn sessions_at_rest_outlive_a_pause_of_their_holder_and_the_replacement_of_the_others() {
    let (mut fleet, folder) = start_fleet("pause");
    let sessions = open_sessions(&fleet, 0, SESSIONS_PER_NODE);
    fleet.signal(0, Signal::STOP);
    fleet.signal(1, Signal::KILL);
    wait_for_exit(&mut fleet.nodes[1]);
    std::thread::sleep(Duration::from_millis(1500));
    fleet.signal(0, Signal::CONT);
    fleet.replace(1);
    (2..NODES).chain([0]).for_each(|index| replace(&mut fleet, index, Signal::TERM));
    assert_eq!(count_lost(&fleet, 1, &sessions), 0, "lost of {} sessions", sessions.len());
    end_fleet(fleet, folder);
}

/// Returns why a search in a session was refused, or `None` if it was answered.
fn refusal_of(fleet: &Fleet, index: usize, session: SessionToken) -> Option<ErrorKind> {
    match fleet.client(index).query(session, SEARCH).expect("a reply").body {
        ReplyBody::Answer(_) => None,
        ReplyBody::Refusal(refusal) => Some(refusal.error),
        other => panic!("neither answered nor refused: {other:?}"),
    }
}

/// Guards against a session reported as lost because many of its requests wait for it to be found: the 65th and later
/// ones were refused as if nobody had it.
#[test]
fn a_session_is_not_called_lost_because_many_requests_wait_for_it() {
    const REQUESTS: usize = 100;
    let (fleet, folder) = start_fleet("waiting");
    let session = fleet.client(0).open_session().expect("a session opens");
    // The copies are in other zones than the holder's, so that the node 3 must ask paused nodes.
    let paused = [1, 2, 4, 5];
    paused.iter().for_each(|index| fleet.signal(*index, Signal::STOP));
    fleet.signal(0, Signal::KILL);
    let refusals: Vec<Option<ErrorKind>> = std::thread::scope(|scope| {
        let requests: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(|| refusal_of(&fleet, 3, session))).collect();
        requests.into_iter().map(|request| request.join().expect("a request ends")).collect()
    });
    paused.iter().for_each(|index| fleet.signal(*index, Signal::CONT));
    let lost = refusals.iter().filter(|refusal| **refusal == Some(ErrorKind::UnknownSession)).count();
    assert_eq!(lost, 0, "of {REQUESTS} requests told that the session is lost");
    end_fleet(fleet, folder);
}

/// Guards against a session reported as lost at a node that has found it and has no room for it.
#[test]
fn a_session_is_not_called_lost_at_a_node_without_room_for_it() {
    const SESSIONS: usize = 3;
    let (mut fleet, folder) = start_fleet_with("room", &format!("[limits]\nsessions = {SESSIONS}\n"));
    let sessions = open_sessions(&fleet, 0, SESSIONS);
    open_sessions(&fleet, 3, SESSIONS);
    fleet.signal(0, Signal::KILL);
    wait_for_exit(&mut fleet.nodes[0]);
    let started = Instant::now();
    let refusal = loop {
        let refusal = refusal_of(&fleet, 3, sessions[0]);
        if refusal != Some(ErrorKind::SessionSought) {
            break refusal;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the session isn't found");
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(refusal, Some(ErrorKind::TooManySessions));
    end_fleet(fleet, folder);
}
