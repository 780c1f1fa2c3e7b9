//! Checks the heads and bodies of HTTP responses against snapshots, with scripted replies in place of a core.

use crossbeam::channel::{Receiver, Sender, unbounded};
use staircross_config::Settings;
use staircross_node::api::{Listing, ReplyBody, SessionReply, StatementReply, StatusReply, TicketReply};
use staircross_node::event::{CallerCommand, CallerReply, CoreEvent};
use staircross_node::front;
use staircross_node::metrics::Metrics;
use staircross_search::Refusal;
use staircross_types::{ErrorKind, NodeId, SessionToken, Ticket};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};

const NODE: NodeId = NodeId(0x0102_0304);
const TOKEN: SessionToken = SessionToken(5);

/// Returns a loopback address whose port was free when it was checked.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("has an address")
}

fn settings(listen: SocketAddr) -> Settings {
    let text = format!(
        "[node]\nregion = \"south\"\nzone = \"hobart\"\nlisten = \"{listen}\"\npeer_listen = \"127.0.0.1:1\"\n\
         cluster = \"example\"\ncluster_key = \"change-me-to-a-long-secret\"\n\
         [platform]\naddress = \"127.0.0.1:2\"\n[limits]\nrequest_bytes = 64\n"
    );
    Settings::from_toml("node.toml", &text).expect("is valid")
}

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
        reply.send(next).expect("the front waits");
    }
}

impl TestServer {
    fn start(is_leaving: bool) -> Self {
        let address = free_address();
        let (events, received) = unbounded();
        let (replies, listed) = unbounded();
        let metrics = Metrics::new().expect("registers");
        let (serving, leaving) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(is_leaving)));
        front::start(&settings(address), events, metrics, serving, leaving).expect("starts");
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
    let metrics = Metrics::new().expect("registers");
    let (serving, leaving) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    front::start(&settings(address), events, metrics, serving, leaving).expect("starts");
    let commands = std::thread::spawn(move || {
        let mut names = Vec::new();
        for event in received.iter().take(4) {
            let CoreEvent::Caller { command, reply } = event else { panic!("a caller's command") };
            reply.send(refused(ErrorKind::Leaving)).expect("the front waits");
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
