//! Tests of reading requests and responses: complete, split into pieces, and malformed.

use proptest::prelude::*;
use staircross_http::expected::{Expected, ExpectedId};
use staircross_http::{ClientConnection, ClientFault, ClientProgress};
use staircross_http::{Request, ServerConnection, ServerFault, ServerLimits, ServerProgress};

const LIMITS: ServerLimits = ServerLimits { head_bytes: 1024, body_bytes: 64 };
const ID: &str = "X-Id";

fn request(bytes: &[u8]) -> ServerProgress {
    let mut connection = ServerConnection::default();
    connection.receive(bytes);
    connection.advance(LIMITS)
}

fn ready(progress: ServerProgress) -> Request {
    match progress {
        ServerProgress::Ready(request) => *request,
        other => panic!("expected a request, got {other:?}"),
    }
}

#[test]
fn requests_with_each_framing_are_read() {
    let plain = ready(request(b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"));
    assert_eq!((plain.head.path(), plain.head.target.as_str()), ("/a", "/a?b=c"));
    let sized = ready(request(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"));
    assert_eq!(sized.body, b"hello");
    let chunked = ready(request(
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: v\r\n\r\n",
    ));
    assert_eq!(chunked.body, b"hello");
}

/// Guards against requests that are refused for what a field says.
#[test]
fn a_request_with_first_lines_in_its_fields_is_read() {
    let values = ["HTTP/1.1 304 Not Modified", "GET / HTTP/1.1", "1.1 proxy, HTTP/1.1 200"];
    for value in values {
        let read = ready(request(format!("GET / HTTP/1.1\r\nX-Log: {value}\r\n\r\n").as_bytes()));
        assert_eq!(read.head.headers.text("x-log"), Some(value));
    }
}

#[test]
fn bodies_that_two_parsers_could_read_in_two_ways_are_refused() {
    let smuggled: [&[u8]; 6] = [
        b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        b"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\nhello",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for bytes in smuggled {
        assert_eq!(
            request(bytes),
            ServerProgress::Fault(ServerFault::BadRequest),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn what_is_too_long_is_named() {
    let long_head = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(2000));
    assert_eq!(request(long_head.as_bytes()), ServerProgress::Fault(ServerFault::HeadTooLong));
    let unfinished = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(2000));
    assert_eq!(request(unfinished.as_bytes()), ServerProgress::Fault(ServerFault::HeadTooLong));
    assert_eq!(
        request(b"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"),
        ServerProgress::Fault(ServerFault::BodyTooLong)
    );
    let chunks = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n{}\r\n0\r\n\r\n", "x".repeat(65));
    assert_eq!(request(chunks.as_bytes()), ServerProgress::Fault(ServerFault::BodyTooLong));
}

#[test]
fn a_caller_that_asks_for_leave_gets_it_once() {
    let mut connection = ServerConnection::default();
    connection.receive(b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert_eq!(connection.advance(LIMITS), ServerProgress::NeedMore { continue_expected: true });
    assert_eq!(connection.advance(LIMITS), ServerProgress::NeedMore { continue_expected: false });
    connection.receive(b"ok");
    assert_eq!(ready(connection.advance(LIMITS)).body, b"ok");
}

#[test]
fn a_second_request_waits_for_the_answer_to_the_first() {
    let mut connection = ServerConnection::default();
    connection.receive(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    assert_eq!(ready(connection.advance(LIMITS)).head.target, "/1");
    assert!(connection.has_partial_request());
    assert_eq!(ready(connection.advance(LIMITS)).head.target, "/2");
    assert!(!connection.has_partial_request());
}

fn expected(id: &str) -> Expected {
    let id = ExpectedId { field: ID, value: id.as_bytes().to_vec() };
    Expected { method: "GET".to_owned(), id: Some(id) }
}

fn waiting_for(id: &str) -> ClientConnection {
    let mut connection = ClientConnection::new(4096);
    connection.expect(expected(id));
    connection
}

fn answer(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn an_answer_to_another_request_is_skipped_whole() {
    let mut connection = waiting_for("b");
    connection.receive(answer("a", "wrong").as_bytes());
    connection.receive(answer("b", "right").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::Skipped);
    match connection.advance() {
        ClientProgress::Answered(answer) => assert_eq!(answer.body, b"right"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_answer_without_an_id_is_nobodys() {
    let mut connection = waiting_for("b");
    connection.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    assert_eq!(connection.advance(), ClientProgress::Skipped);
    assert!(connection.is_waiting());
}

#[test]
fn an_unasked_answer_at_rest_is_skipped_and_garbage_breaks() {
    let mut connection = ClientConnection::new(4096);
    connection.receive(answer("a", "late").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::Skipped);
    assert_eq!(connection.advance(), ClientProgress::NeedMore);
    connection.receive(b"\x00\x01garbage\r\n\r\n");
    assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Malformed));
}

/// Guards against answers that are read as the continuation of one that was cut off: they would have its status.
#[test]
fn an_answer_behind_the_beginning_of_another_is_not_believed() {
    let beginnings =
        ["HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 503 Busy\r\nNot-Executed: 1", "HTTP/1.1 100 Continue"];
    for beginning in beginnings {
        let mut connection = waiting_for("a");
        connection.receive(answer("a", "").as_bytes());
        assert!(matches!(connection.advance(), ClientProgress::Answered(_)));
        connection.expect(expected("b"));
        connection.receive(beginning.as_bytes());
        connection.receive(answer("b", "").as_bytes());
        assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Ambiguous), "{beginning}");
    }
}

#[test]
fn a_field_may_name_a_version_of_the_protocol() {
    for field in ["Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0", "Server: x HTTP/1.0"] {
        let mut connection = waiting_for("b");
        connection.receive(answer("b", "").replace("\r\n\r\n", &format!("\r\n{field}\r\n\r\n")).as_bytes());
        assert!(matches!(connection.advance(), ClientProgress::Answered(_)), "{field}");
    }
}

#[test]
fn interim_answers_are_passed_over() {
    let mut connection = waiting_for("b");
    connection.receive(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    connection.receive(answer("b", "final").as_bytes());
    assert!(matches!(connection.advance(), ClientProgress::Answered(answer) if answer.body == b"final"));
}

#[test]
fn an_answer_that_ends_early_is_none() {
    let mut connection = waiting_for("b");
    connection.receive(&answer("b", "whole body").as_bytes()[..50]);
    assert_eq!(connection.advance(), ClientProgress::NeedMore);
    assert_eq!(connection.on_close(), ClientProgress::Broken(ClientFault::Truncated));
}

#[test]
fn a_body_without_length_ends_with_the_connection_and_that_is_not_reused() {
    let mut connection = waiting_for("b");
    connection.receive(format!("HTTP/1.1 200 OK\r\n{ID}: b\r\n\r\nunframed").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::NeedMore);
    match connection.on_close() {
        ClientProgress::Answered(answer) => {
            assert_eq!((answer.body.as_slice(), answer.is_reusable), (&b"unframed"[..], false))
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_close_before_any_answer_is_told_apart() {
    let mut connection = waiting_for("b");
    assert_eq!(connection.on_close(), ClientProgress::Broken(ClientFault::ClosedUnanswered));
}

#[test]
fn an_answer_that_says_close_is_not_reused() {
    let mut connection = waiting_for("b");
    connection
        .receive(format!("HTTP/1.1 200 OK\r\n{ID}: b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").as_bytes());
    assert!(matches!(connection.advance(), ClientProgress::Answered(answer) if !answer.is_reusable));
}

#[test]
fn answers_to_head_have_no_body() {
    let mut connection = ClientConnection::new(4096);
    connection.expect(Expected { method: "HEAD".to_owned(), id: None });
    connection.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    assert!(matches!(connection.advance(), ClientProgress::Answered(answer) if answer.body.is_empty()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same responses are read in the same order, however the bytes are split into pieces.
    #[test]
    fn pieces_make_no_difference(cuts in prop::collection::vec(1..40_usize, 1..60), chunk in 1..9_usize) {
        let mut bytes = answer("a", "skip me").into_bytes();
        bytes.extend_from_slice(format!("HTTP/1.1 200 OK\r\n{ID}: b\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes());
        let body = b"a body in several chunks";
        for piece in body.chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            bytes.extend_from_slice(piece);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let mut connection = waiting_for("b");
        let mut skipped = 0;
        let mut answers = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at((*cut).min(rest.len()));
            rest = later;
            connection.receive(piece);
            loop {
                match connection.advance() {
                    ClientProgress::NeedMore => break,
                    ClientProgress::Skipped => skipped += 1,
                    ClientProgress::Answered(answer) => answers.push(answer.body),
                    ClientProgress::Broken(fault) => return Err(TestCaseError::fail(format!("{fault:?}"))),
                }
            }
        }
        prop_assert_eq!(skipped, 1);
        prop_assert_eq!(answers, vec![body.to_vec()]);
    }

    /// No input makes the parsers panic or return a body longer than allowed.
    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let ServerProgress::Ready(request) = request(&bytes) {
            prop_assert!(request.body.len() <= LIMITS.body_bytes);
        }
        let mut connection = waiting_for("b");
        connection.receive(&bytes);
        for _ in 0..50 {
            if matches!(connection.advance(), ClientProgress::NeedMore | ClientProgress::Broken(_)) {
                break;
            }
        }
    }
}

/// Guards against answers of servers in trouble that callers get as answers, or that hide the next one: their status is
/// none that HTTP has.
#[test]
fn a_status_that_http_does_not_have_is_no_answer() {
    for status in ["000", "001", "099", "600", "700", "999"] {
        for length in [0, 5] {
            let mut connection = waiting_for("b");
            let body = &"wrong"[..length];
            let head = format!("HTTP/1.1 {status} Odd\r\n{ID}: b\r\nContent-Length: {length}\r\n\r\n");
            connection.receive(format!("{head}{body}{}", answer("b", "later")).as_bytes());
            assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Malformed), "{status}, {length}");
        }
    }
    for status in [200, 299, 404, 499, 500, 599] {
        let mut connection = waiting_for("b");
        connection.receive(format!("HTTP/1.1 {status} Odd\r\n{ID}: b\r\nContent-Length: 0\r\n\r\n").as_bytes());
        match connection.advance() {
            ClientProgress::Answered(answer) => assert_eq!(answer.head.status, status),
            other => panic!("{status}: {other:?}"),
        }
    }
}
