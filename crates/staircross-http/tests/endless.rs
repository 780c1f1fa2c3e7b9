//! Tests that no part of a message may go on without end, and that long legal messages are still read.

use staircross_http::expected::{Expected, ExpectedId};
use staircross_http::{ClientConnection, ClientFault, ClientProgress};
use staircross_http::{ServerConnection, ServerFault, ServerLimits, ServerProgress};

const MAX_BODY: usize = 256 * 1024;
const LIMITS: ServerLimits = ServerLimits { head_bytes: 16 * 1024, body_bytes: MAX_BODY };
/// Number of bytes after which a message without end must have been refused: the longest body and head that are allowed,
/// and as much again for what surrounds them.
const ENOUGH: usize = 2 * MAX_BODY;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n";

fn client() -> ClientConnection {
    let mut connection = ClientConnection::new(MAX_BODY);
    let id = Some(ExpectedId { field: "Id", value: b"7".to_vec() });
    connection.expect(Expected { method: "GET".to_owned(), id });
    connection
}

/// Feeds `begin` and then `piece` again and again. Returns how the connection ended, or `None` if it took [`ENOUGH`]
/// bytes.
fn end_of_endless_response(connection: &mut ClientConnection, begin: &str, piece: &str) -> Option<ClientFault> {
    let pieces = std::iter::once(begin).chain(std::iter::repeat_n(piece, ENOUGH / piece.len()));
    for bytes in pieces {
        connection.receive(bytes.as_bytes());
        loop {
            match connection.advance() {
                ClientProgress::NeedMore => break,
                ClientProgress::Skipped => {}
                ClientProgress::Broken(fault) => return Some(fault),
                ClientProgress::Answered(answer) => panic!("{answer:?}"),
            }
        }
    }
    None
}

/// Guards against a searcher that holds a connection, its reader and memory for as long as it likes: each line was
/// bounded, but not all lines together.
#[test]
fn a_response_without_end_in_any_part_is_refused() {
    let extension = format!("1;{}\r\nx\r\n", "e".repeat(1000));
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    let other_answer = "HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 4\r\n\r\nlate";
    let long_other_answer = format!("HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 10000\r\n\r\n{}", "x".repeat(10_000));
    let endless: [(&str, &str, &str); 9] = [
        ("trailers", &format!("{CHUNKED_HEAD}0\r\n"), "X-Trailer: again\r\n"),
        ("chunk extensions", CHUNKED_HEAD, &extension),
        ("chunks", CHUNKED_HEAD, &chunk),
        ("body", "HTTP/1.1 200 OK\r\nId: 7\r\n\r\n", "more"),
        ("interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        ("fields", "HTTP/1.1 200 OK\r\nId: 7\r\n", "X-Field: again\r\n"),
        ("a field", "HTTP/1.1 200 OK\r\nId: 7\r\nX-Field: ", "again"),
        ("responses to other requests", "", other_answer),
        ("long responses to other requests", "", &long_other_answer),
    ];
    for (what, begin, piece) in endless {
        let fault = end_of_endless_response(&mut client(), begin, piece);
        assert_eq!(fault, Some(ClientFault::TooLong), "{what}");
    }
}

/// Guards against the same on a connection on which no request waits for its response.
#[test]
fn responses_that_nobody_waits_for_have_an_end() {
    let mut connection = ClientConnection::new(MAX_BODY);
    let piece = "HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 4\r\n\r\nlate";
    assert_eq!(end_of_endless_response(&mut connection, "", piece), Some(ClientFault::TooLong));
}

/// Guards against bounds that refuse long but legal responses.
#[test]
fn long_legal_responses_are_read() {
    let body = "x".repeat(MAX_BODY);
    let small_chunks: String = body.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect();
    let trailers = format!("X-Trailer: {}\r\n", "t".repeat(1000)).repeat(40);
    let hints = format!("HTTP/1.1 103 Early Hints\r\nLink: {}\r\n\r\n", "l".repeat(500)).repeat(60);
    let extra = "HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: 4\r\n\r\nlate".repeat(50);
    let long_extra = format!("HTTP/1.1 200 OK\r\nId: 8\r\nContent-Length: {MAX_BODY}\r\n\r\n{body}");
    let sized = format!("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {MAX_BODY}\r\n\r\n{body}");
    let legal = [
        sized.clone(),
        format!("{CHUNKED_HEAD}{small_chunks}0\r\n{trailers}\r\n"),
        format!("{hints}{sized}"),
        format!("{extra}{sized}"),
        format!("{long_extra}{sized}"),
    ];
    for bytes in legal {
        let mut connection = client();
        connection.receive(bytes.as_bytes());
        let answer = loop {
            match connection.advance() {
                ClientProgress::Answered(answer) => break answer,
                ClientProgress::Skipped => {}
                other => panic!("{other:?} for {}", &bytes[..60]),
            }
        };
        assert_eq!(answer.body.len(), MAX_BODY);
    }
}

/// Guards against counting what belongs to earlier requests of a kept connection.
#[test]
fn the_bounds_begin_anew_with_each_request() {
    let mut connection = client();
    for number in 0..500 {
        let id = Some(ExpectedId { field: "Id", value: b"7".to_vec() });
        connection.expect(Expected { method: "GET".to_owned(), id });
        let hint = format!("HTTP/1.1 103 Early Hints\r\nLink: {}\r\n\r\n", "l".repeat(500));
        connection.receive(format!("{hint}HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n").as_bytes());
        assert!(matches!(connection.advance(), ClientProgress::Answered(_)), "request {number}");
    }
}

/// Guards against a caller that holds a connection and its reader for as long as it likes.
#[test]
fn a_request_without_end_in_any_part_is_refused() {
    let chunked_head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let extension = format!("1;{}\r\nx\r\n", "e".repeat(1000));
    let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1000));
    let endless: [(&str, &str, &str, ServerFault); 6] = [
        ("trailers", &format!("{chunked_head}0\r\n"), "X-Trailer: again\r\n", ServerFault::HeadTooLong),
        ("chunk extensions", chunked_head, &extension, ServerFault::HeadTooLong),
        ("chunks", chunked_head, &chunk, ServerFault::BodyTooLong),
        ("blank lines", "", "\r\n", ServerFault::HeadTooLong),
        ("fields", "GET / HTTP/1.1\r\n", "X-Field: again\r\n", ServerFault::HeadTooLong),
        ("a field", "GET / HTTP/1.1\r\nX-Field: ", "again", ServerFault::HeadTooLong),
    ];
    for (what, begin, piece, expected) in endless {
        let mut connection = ServerConnection::default();
        let mut pieces = std::iter::once(begin).chain(std::iter::repeat_n(piece, ENOUGH / piece.len()));
        let fault = pieces.find_map(|bytes| {
            connection.receive(bytes.as_bytes());
            match connection.advance(LIMITS) {
                ServerProgress::NeedMore { .. } => None,
                ServerProgress::Fault(fault) => Some(fault),
                ServerProgress::Ready(request) => panic!("{request:?}"),
            }
        });
        assert_eq!(fault, Some(expected), "{what}");
    }
}

/// Guards against bounds that refuse long but legal requests.
#[test]
fn long_legal_requests_are_read() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let small_chunks: String = (0..MAX_BODY).map(|_| "1\r\nx\r\n").collect();
    let trailers = format!("X-Trailer: {}\r\n", "t".repeat(500)).repeat(20);
    let mut connection = ServerConnection::default();
    for number in 0..3 {
        connection.receive(format!("\r\n\r\n{head}{small_chunks}0\r\n{trailers}\r\n").as_bytes());
        match connection.advance(LIMITS) {
            ServerProgress::Ready(request) => assert_eq!(request.body.len(), MAX_BODY),
            other => panic!("{other:?} for request {number}"),
        }
    }
}
