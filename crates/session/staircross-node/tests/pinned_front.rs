//! Checks the heads and bodies of HTTP responses against snapshots, with scripted replies in place of a core.

mod common;

use common::{free_address, start_front};
use crossbeam::channel::{Receiver, Sender, unbounded};
use staircross_node::api::{Listing, ReplyBody, SessionReply, StatementReply, StatusReply, TicketReply};
use staircross_node::caller::{CallerCommand, CallerReply};
use staircross_node::event::CoreEvent;
use staircross_node::front_message::FrontMessage;
use staircross_search::Refusal;
use staircross_types::{ErrorKind, NodeId, SessionToken, Ticket};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const NODE: NodeId = NodeId(0x0102_0304);
const TOKEN: SessionToken = SessionToken(5);

fn status(ready: bool, leaving: bool, has_config: bool) -> CallerReply {
    let status = StatusReply {
        node: NODE,
        leaving,
        has_config,
        ready,
        revision: 12,
        sessions: 1,
        requests_in_flight: 2,
        owned_searchers: 3,
        members: Vec::new(),
    };
    CallerReply::Status(Box::new(status))
}

fn listing() -> CallerReply {
    let body = ReplyBody::Listing(Listing::new(&["service"]));
    CallerReply::Statement(StatementReply { request: "1-9".to_owned(), body, moved_to: None })
}

fn refused(kind: ErrorKind) -> CallerReply {
    CallerReply::Refused(Refusal::new(kind, "why"))
}

/// An HTTP server whose core answers each command with the next queued reply.
struct TestServer {
    address: SocketAddr,
    replies: Sender<CallerReply>,
}

fn answer_in_turn(events: &Receiver<CoreEvent>, replies: &Receiver<CallerReply>) {
    for event in events {
        let CoreEvent::Caller { reply, .. } = event else {
            panic!("the front sends callers' commands only");
        };
        let next = replies.recv().expect("a reply is listed");
        reply.send(next);
    }
}

impl TestServer {
    fn start(is_leaving: bool) -> Self {
        let address = free_address();
        let (events, received) = unbounded();
        let (replies, listed) = unbounded();
        let front = start_front(address, events);
        if is_leaving {
            front.send(FrontMessage::StopBegun);
        }
        std::thread::spawn(move || answer_in_turn(&received, &listed));
        TestServer { address, replies }
    }

    /// Sends a request and returns its first line and the whole response. If `reply` is given, it is queued as the
    /// core's reply.
    fn exchange(&self, first_line: &str, body: &[u8], reply: Option<CallerReply>) -> String {
        if let Some(reply) = reply {
            self.replies.send(reply).expect("the core listens");
        }
        let mut stream = TcpStream::connect(self.address).expect("connects");
        let length = body.len();
        let head =
            format!("{first_line} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(&[head.as_bytes(), body].concat()).expect("writes");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("reads");
        format!("{first_line}\n{}\n", response.replace('\r', ""))
    }
}

#[test]
fn sessions_and_state_are_pinned() {
    let server = TestServer::start(false);
    let session = CallerReply::Session(SessionReply { session: TOKEN, node: NODE });
    let ticket = CallerReply::Ticket(TicketReply::from(Ticket { node: NODE, serial: 77 }));
    let path = format!("/v1/sessions/{TOKEN}");
    let pins = [
        server.exchange("POST /v1/sessions", b"", Some(session)),
        server.exchange(&format!("POST {path}/tickets"), b"", Some(ticket)),
        server.exchange(&format!("DELETE {path}"), b"", Some(CallerReply::Closed)),
        server.exchange("GET /v1/status", b"", Some(status(true, false, true))),
        server.exchange("GET /livez", b"", None),
        server.exchange("GET /readyz", b"", Some(status(true, false, true))),
        server.exchange("GET /readyz", b"", Some(status(false, true, true))),
        server.exchange("GET /readyz", b"", Some(status(false, false, false))),
        server.exchange("GET /readyz", b"", Some(status(false, false, true))),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn statements_are_pinned() {
    let server = TestServer::start(false);
    let query = format!("POST /v1/sessions/{TOKEN}/query");
    let json = br#"{"statement": "SHOW SERVICES"}"#;
    let pins = [
        server.exchange(&query, b"SHOW SERVICES", Some(listing())),
        server.exchange("POST /v1/command", json, Some(listing())),
        server.exchange(&query, b"SHOW SERVICES", Some(refused(ErrorKind::Overloaded))),
        server.exchange(&query, b"SHOW SERVICES", Some(refused(ErrorKind::OutcomeUnknown))),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn errors_of_the_front_are_pinned() {
    let server = TestServer::start(false);
    let pins = [
        server.exchange("GET /v1/nothing", b"", None),
        server.exchange("GET /v1/sessions", b"", None),
        server.exchange("DELETE /v1/sessions/5", b"", None),
        server.exchange("POST /v1/command", b"SHOW", None),
        server.exchange("POST /v1/command", br#"{"statement": 5}"#, None),
        server.exchange("POST /v1/command", br#"{"query": ""}"#, None),
        server.exchange("POST /v1/command", &[0xff], None),
        server.exchange("POST /v1/command", &[b' '; 65], None),
    ];
    insta::assert_snapshot!(pins.join("\n"));
}

#[test]
fn leaving_front_closes_connections() {
    let server = TestServer::start(true);
    insta::assert_snapshot!(server.exchange("GET /livez", b"", None));
}

/// Checks which command the core receives for each path, which the responses don't show.
#[test]
fn paths_select_commands() {
    let (events, received) = unbounded();
    let address = free_address();
    start_front(address, events);
    let commands = std::thread::spawn(move || {
        let mut names = Vec::new();
        for event in received.iter().take(4) {
            let CoreEvent::Caller { command, reply } = event else { panic!("a caller's command") };
            reply.send(refused(ErrorKind::Leaving));
            names.push(match command {
                CallerCommand::Execute { token, .. } => format!("execute {token}"),
                CallerCommand::ExecuteOperatorStatement(_) => "operate".to_owned(),
                CallerCommand::CloseSession(token) => format!("close {token}"),
                CallerCommand::MintTicket(token) => format!("mint {token}"),
                CallerCommand::OpenSession | CallerCommand::Status => "another".to_owned(),
            });
        }
        names
    });
    let server = TestServer { address, replies: unbounded().0 };
    server.exchange(&format!("POST /v1/sessions/{TOKEN}/query"), b"SHOW SERVICES", None);
    server.exchange("POST /v1/command", b"SHOW SERVICES", None);
    server.exchange(&format!("DELETE /v1/sessions/{TOKEN}"), b"", None);
    server.exchange(&format!("POST /v1/sessions/{TOKEN}/tickets"), b"", None);
    let token = TOKEN.to_string();
    let expected =
        [format!("execute {token}"), "operate".to_owned(), format!("close {token}"), format!("mint {token}")];
    assert_eq!(commands.join().expect("ends"), expected);
}
