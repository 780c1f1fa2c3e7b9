//! Which uses of a session change its state, and which tickets can be used after it has moved.

use staircross_search::session::TicketRefusal;
use staircross_search::{ActionReceipt, Outcome, Refusal, SessionState, SessionTable};
use staircross_types::{BootTime, ErrorKind, NodeId, ServiceName, SessionToken, Snapshot, Ticket};

fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, epoch: 1, build: 1 }
}

/// Guards against copying the state of a session to other nodes after a use that shows it no new snapshot. Each reply
/// copied the state to two nodes while the time of the last use was part of the state that is compared.
#[test]
fn a_use_that_shows_nothing_new_is_no_change() {
    let token = SessionToken(7);
    let mut sessions = SessionTable::new(10);
    assert!(sessions.open(BootTime::from_millis(1000), token));
    let service = ServiceName::new("clauses");
    sessions.touch(BootTime::from_millis(1000), token).expect("it is open").raise_floor(&service, snapshot(5));
    let before = sessions.get(token).cloned();
    sessions.touch(BootTime::from_millis(2000), token).expect("it is open").raise_floor(&service, snapshot(5));
    assert_eq!(sessions.get(token), before.as_ref());
    sessions.touch(BootTime::from_millis(2000), token).expect("it is open").raise_floor(&service, snapshot(6));
    assert_ne!(sessions.get(token), before.as_ref());
}

const TOKEN: SessionToken = SessionToken(7);
const NODE: NodeId = NodeId(1);
const NOW: BootTime = BootTime::from_millis(1000);
const TICKET: Ticket = Ticket { node: NODE, serial: 1 };

/// Creates a table that holds a session with an unused ticket. Returns it with a copy of the session.
fn table_with_ticket(capacity: usize) -> (SessionTable, SessionState) {
    let mut sessions = SessionTable::new(capacity);
    let copy = open_with_ticket(&mut sessions, TOKEN, TICKET);
    (sessions, copy)
}

fn open_with_ticket(sessions: &mut SessionTable, token: SessionToken, ticket: Ticket) -> SessionState {
    assert!(sessions.open(NOW, token));
    let session = sessions.touch(NOW, token).expect("it is open");
    session.add_ticket(ticket);
    session.clone()
}

fn use_ticket(sessions: &mut SessionTable, token: SessionToken, ticket: Ticket) -> Result<(), TicketRefusal> {
    sessions.touch(NOW, token).expect("it is open").use_ticket(ticket, NODE)
}

fn acted() -> Outcome {
    Outcome::Acted(ActionReceipt { entry: 3, message: "done".to_owned() })
}

/// Guards against an action that is executed twice: its ticket was used after the session was copied, another node took
/// the session over from the copy, and the node that minted the ticket took it back with the ticket unused.
#[test]
fn a_used_ticket_stays_used_when_its_session_comes_back_from_an_older_copy() {
    let (mut sessions, copy) = table_with_ticket(10);
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Ok(()));
    sessions.release(TOKEN, NODE);
    assert!(sessions.adopt(NOW, TOKEN, copy));
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Err(TicketRefusal::Running));
}

/// Guards against the loss of an action's outcome that comes while another node holds the session.
#[test]
fn the_outcome_of_an_action_is_known_though_it_came_while_its_session_was_elsewhere() {
    let (mut sessions, copy) = table_with_ticket(10);
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Ok(()));
    sessions.release(TOKEN, NODE);
    sessions.end_ticket(NOW, TOKEN, TICKET, &acted());
    assert!(sessions.adopt(NOW, TOKEN, copy));
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Err(TicketRefusal::Ended(Box::new(acted()))));
}

/// Guards against tickets that can't be used any more though nothing was executed.
#[test]
fn a_ticket_whose_request_was_never_executed_can_be_used_when_its_session_is_back() {
    let (mut sessions, copy) = table_with_ticket(10);
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Ok(()));
    sessions.release(TOKEN, NODE);
    let refusal = Outcome::Refusal(Refusal::new(ErrorKind::NotDelivered, "no back end took it"));
    sessions.end_ticket(NOW, TOKEN, TICKET, &refusal);
    assert!(sessions.adopt(NOW, TOKEN, copy));
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Ok(()));
}

/// Guards against a second use of a ticket that was forgotten because very many sessions have moved since.
#[test]
fn a_used_ticket_stays_used_when_more_sessions_have_moved_than_are_remembered() {
    const CAPACITY: usize = 4;
    let (mut sessions, copy) = table_with_ticket(CAPACITY);
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Ok(()));
    sessions.release(TOKEN, NODE);
    for serial in 100..100 + CAPACITY as u64 {
        let (token, ticket) = (SessionToken(serial.into()), Ticket { node: NODE, serial });
        open_with_ticket(&mut sessions, token, ticket);
        assert_eq!(use_ticket(&mut sessions, token, ticket), Ok(()));
        sessions.release(token, NODE);
    }
    assert!(sessions.adopt(NOW, TOKEN, copy));
    assert_eq!(use_ticket(&mut sessions, TOKEN, TICKET), Err(TicketRefusal::Running));
}
