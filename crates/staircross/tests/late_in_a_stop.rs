//! Tests of planned stops of node processes of the session tier while callers run actions on open connections, at
//! searchers that need more time than a stopping node takes requests.

mod common;

use common::{Fleet, wait_for_exit};
use rustix::process::Signal;
use staircross_config::SearcherDefinition;
use staircross_node::api::ReplyBody;
use staircross_node::{ClientError, NodeClient};
use staircross_standin::Fault;
use staircross_standin::searcher::ControlCommand;
use staircross_types::{Executed, SessionToken};
use std::io::ErrorKind::ConnectionRefused;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Number of callers. A searcher takes as many actions at a time, so that none waits for another.
const CALLERS: usize = 4;
/// Number of slots in the document. The nodes divide the slots of a searcher, and none may be full.
const SLOTS: u32 = 32;
/// Time that the searchers need for an action. It is longer than a stopping node takes requests, and shorter than the
/// service's time.
const WORK: Duration = Duration::from_millis(2000);
/// Time for which callers send before the stop begins.
const TIME_BEFORE_STOP: Duration = Duration::from_millis(500);

/// What a caller met.
#[derive(Default)]
struct Report {
    /// Notes of the actions whose replies say that they were executed.
    acted: Vec<String>,
    /// Notes of the actions whose replies say that they weren't, and that of the action that the node refused to connect
    /// for.
    not_executed: Vec<String>,
    faults: Vec<String>,
}

/// Runs actions one after the other, over a connection that is kept while the node keeps it, until the node refuses
/// connections.
fn act_until_refused(client: &NodeClient, session: SessionToken, caller: usize) -> Report {
    let mut report = Report::default();
    for number in 0.. {
        let note = format!("note-{caller}-{number}");
        match act(client, session, &note) {
            Ok(ReplyBody::Acted { .. }) => report.acted.push(note),
            Ok(ReplyBody::Refusal(refusal)) if refusal.executed == Executed::Never => {
                report.not_executed.push(note);
                thread::sleep(Duration::from_millis(10));
            }
            Ok(other) => report.faults.push(format!("{note}: {other:?}")),
            Err(ClientError::Refused { .. }) => thread::sleep(Duration::from_millis(10)),
            Err(_) if TcpStream::connect(client.address()).is_err_and(|error| error.kind() == ConnectionRefused) => {
                report.not_executed.push(note);
                return report;
            }
            Err(error) => report.faults.push(format!("{note}: {error}")),
        }
    }
    report
}

fn act(client: &NodeClient, session: SessionToken, note: &str) -> Result<ReplyBody, ClientError> {
    let ticket = client.mint_ticket(session)?;
    let statement = format!("RUN confirm ON 'doc-001' IN SERVICE bookings NOTE '{note}' TICKET '{ticket}'");
    client.query(session, &statement).map(|reply| reply.body)
}

/// Guards against actions that are taken late in a stop and cut at its end, so that nobody knows whether they ran.
#[test]
fn actions_late_in_a_stop_are_executed_once_or_not_at_all() {
    let folder = std::env::temp_dir().join(format!("staircross-late-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for settings");
    let mut fleet = Fleet::start(&folder);
    let give_slots = |searcher: &mut SearcherDefinition| searcher.slots = SLOTS;
    let revision = fleet.publish_edited(|document| document.services[1].searchers.iter_mut().for_each(give_slots));
    fleet.wait_in_force(revision, 1);
    for searcher in &fleet.searchers {
        let fault = Fault::Slow { delay_ms: WORK.as_millis() as u64 };
        searcher.control(ControlCommand::AddFault { fault, calls: None });
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let client = fleet.client(0);
            let session = client.open_session().expect("a session");
            thread::spawn(move || act_until_refused(&client, session, caller))
        })
        .collect();
    thread::sleep(TIME_BEFORE_STOP);
    fleet.signal(0, Signal::TERM);
    assert_eq!(wait_for_exit(&mut fleet.nodes[0]), Some(0));
    let reports: Vec<Report> = callers.into_iter().map(|caller| caller.join().expect("the caller ends")).collect();
    let runs =
        |note: &str| -> usize { fleet.searchers.iter().map(|searcher| searcher.ledger().count_actions(note)).sum() };
    for report in &reports {
        assert!(report.faults.is_empty(), "{:?}", report.faults);
        for note in &report.acted {
            assert_eq!(runs(note), 1, "{note} is reported as executed");
        }
        for note in &report.not_executed {
            assert_eq!(runs(note), 0, "{note} is reported as not executed");
        }
    }
    assert!(reports.iter().any(|report| !report.acted.is_empty()), "actions in flight are executed");
    assert!(reports.iter().all(|report| report.not_executed.len() > 1), "late actions are refused");
    drop(fleet);
    let _leftover = std::fs::remove_dir_all(&folder);
}
