//! Tests with real nodes of the session tier whose processes stand still for some seconds while the holder of a session
//! changes.

mod common;

use common::{Fleet, WAIT_TIMEOUT};
use rustix::process::Signal;
use staircross_node::api::ReplyBody;
use staircross_node::{ClientError, NodeClient};
use staircross_standin::SearcherStandin;
use staircross_standin::faults::Fault;
use staircross_standin::searcher::ControlCommand;
use staircross_types::{ErrorKind, SessionToken};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Note of the action that must be executed once.
const NOTE: &str = "stalled";

fn start_fleet(name: &str) -> (Fleet, PathBuf) {
    let folder = std::env::temp_dir().join(format!("staircross-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    (Fleet::start(&folder), folder)
}

fn end_fleet(fleet: Fleet, folder: PathBuf) {
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(folder);
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
