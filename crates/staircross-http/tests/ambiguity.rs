//! Tests that no response is read as the continuation of another one, and that no whole response is refused for what its
//! fields contain.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use staircross_http::expected::{Expected, ExpectedId};
use staircross_http::{Answer, ClientConnection, ClientFault, ClientProgress};

const ID: &str = "X-Id";
const MAX_BODY: usize = 4096;
/// Values of fields and reason phrases that a response may have. Some contain a status line, others only look like it.
const TEXTS: &[&str] = &[
    "OK",
    "",
    "HTTP/1.1 304 Not Modified",
    "HTTP/1.0 200",
    "upstream said HTTP/1.1 503 Service Unavailable, twice HTTP/1.1 200 OK",
    "\"HTTP/1.1 200 OK\"",
    "HTTP/1.1 192.168.3.7",
    "HTTP/1.1 2000",
    "1.1 proxy",
];
const STATUSES: &[u16] = &[200, 204, 404, 500, 503];

/// A whole response and what a client must make of it.
#[derive(Clone, Debug)]
struct Response {
    bytes: Vec<u8>,
    status: u16,
    fields: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Response {
    /// Returns whether an answer that a client believed is this response.
    fn is(&self, answer: &Answer) -> bool {
        let fields: Vec<_> =
            answer.head.headers.iter().map(|(name, value)| (name.to_owned(), value.to_vec())).collect();
        answer.head.status == self.status && fields == self.fields && answer.body == self.body
    }
}

/// Writes a response with its id, if it has one, behind the first `id_position` fields.
fn response(
    status: u16,
    reason: &str,
    id: Option<&str>,
    id_position: usize,
    values: &[&str],
    framing: &Body,
) -> Response {
    let mut fields: Vec<(String, String)> =
        values.iter().enumerate().map(|(i, value)| (format!("X-Field-{i}"), (*value).to_owned())).collect();
    if let Some(id) = id {
        fields.insert(id_position.min(fields.len()), (ID.to_owned(), id.to_owned()));
    }
    let body = if status == 204 { Vec::new() } else { framing.text.as_bytes().to_vec() };
    match framing.is_chunked {
        _ if status == 204 => {}
        true => fields.push(("Transfer-Encoding".to_owned(), "chunked".to_owned())),
        false => fields.push(("Content-Length".to_owned(), body.len().to_string())),
    }
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in &fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if framing.is_chunked && status != 204 {
        for chunk in body.chunks(30) {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        bytes.extend_from_slice(&body);
    }
    let fields = fields.into_iter().map(|(name, value)| (name, value.into_bytes())).collect();
    Response { bytes, status, fields, body }
}

/// A body and how its end is found.
#[derive(Clone, Debug)]
struct Body {
    text: String,
    is_chunked: bool,
}

fn any_response(ids: &'static [Option<&'static str>]) -> impl Strategy<Value = Response> {
    let texts = || prop::sample::select(TEXTS);
    let body = (prop_oneof!["[a-z]{0,80}", Just("x HTTP/1.1 200 OK\r\nX-Id: b".to_owned())], any::<bool>())
        .prop_map(|(text, is_chunked)| Body { text, is_chunked });
    let values = prop::collection::vec(texts(), 0..4);
    let parts = (prop::sample::select(STATUSES), texts(), prop::sample::select(ids), 0..4_usize, values, body);
    parts
        .prop_map(|(status, reason, id, position, values, body)| response(status, reason, id, position, &values, &body))
}

fn expect(connection: &mut ClientConnection, id: &str) {
    let id = ExpectedId { field: ID, value: id.as_bytes().to_vec() };
    connection.expect(Expected { method: "GET".to_owned(), id: Some(id) });
}

/// Returns a connection that has delivered the answer to request `a` and waits for the answer to `b`.
fn used_connection() -> ClientConnection {
    let mut connection = ClientConnection::new(MAX_BODY);
    expect(&mut connection, "a");
    let first = response(200, "OK", Some("a"), 0, &[], &Body { text: "first".to_owned(), is_chunked: false });
    connection.receive(&first.bytes);
    assert!(matches!(connection.advance(), ClientProgress::Answered(answer) if first.is(&answer)));
    expect(&mut connection, "b");
    connection
}

fn fresh_connection() -> ClientConnection {
    let mut connection = ClientConnection::new(MAX_BODY);
    expect(&mut connection, "b");
    connection
}

/// Reads until the request is answered or nothing more can be read.
fn read(connection: &mut ClientConnection) -> ClientProgress {
    loop {
        match connection.advance() {
            ClientProgress::Skipped => {}
            other => return other,
        }
    }
}

/// Reads `bytes` in two parts, and then the end of the connection.
fn read_in_parts(connection: &mut ClientConnection, bytes: &[u8], split: usize) -> ClientProgress {
    let (first, second) = bytes.split_at(split % (bytes.len() + 1));
    connection.receive(first);
    let progress = read(connection);
    if progress != ClientProgress::NeedMore {
        return progress;
    }
    connection.receive(second);
    match read(connection) {
        ClientProgress::NeedMore => connection.on_close(),
        progress => progress,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Guards against answers that are read as the continuation of others: an extra response, cut off at any byte,
    /// stands before the answer.
    #[test]
    fn the_answer_is_never_mixed_with_bytes_before_it(
        extra in any_response(&[Some("a"), None]),
        answer in any_response(&[Some("b")]),
        split in any::<usize>(),
    ) {
        for length in 0..=extra.bytes.len() {
            let mut connection = used_connection();
            let bytes = [&extra.bytes[..length], &answer.bytes].concat();
            if let ClientProgress::Answered(believed) = read_in_parts(&mut connection, &bytes, split) {
                prop_assert!(answer.is(&believed), "cut off after {length} bytes: {believed:?}");
            }
        }
    }

    /// Guards against answers that are refused for what a field or a reason phrase says: nothing can stand before an
    /// answer on a fresh connection.
    #[test]
    fn a_whole_answer_on_a_fresh_connection_is_believed(
        answer in any_response(&[Some("b")]),
        split in any::<usize>(),
    ) {
        let progress = read_in_parts(&mut fresh_connection(), &answer.bytes, split);
        prop_assert!(matches!(&progress, ClientProgress::Answered(believed) if answer.is(believed)), "{progress:?}");
    }

    /// Guards against the same on a used connection, for each answer that is believed to need no fresh one.
    #[test]
    fn a_whole_answer_is_refused_only_if_one_like_it_says_that_it_needs_a_fresh_connection(
        answer in any_response(&[Some("b")]),
        split in any::<usize>(),
    ) {
        let on_fresh = read_in_parts(&mut fresh_connection(), &answer.bytes, split);
        let ClientProgress::Answered(on_fresh) = on_fresh else {
            return Err(TestCaseError::fail(format!("{on_fresh:?}")));
        };
        match read_in_parts(&mut used_connection(), &answer.bytes, split) {
            ClientProgress::Answered(believed) => prop_assert!(answer.is(&believed)),
            ClientProgress::Broken(ClientFault::Ambiguous) => prop_assert!(on_fresh.needs_fresh_connection),
            other => prop_assert!(false, "{other:?}"),
        }
        prop_assert!(!(on_fresh.needs_fresh_connection && on_fresh.is_reusable));
    }
}

fn answer_with(field: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{field}\r\n{ID}: b\r\nContent-Length: 0\r\n\r\n")
}

/// Guards against a service that is refused as a whole because a proxy or a debugging field repeats a status line.
#[test]
fn a_status_line_in_a_field_is_believed_on_a_fresh_connection() {
    for field in ["X-Upstream-Status: HTTP/1.1 304 Not Modified", "X-Log: HTTP/1.0 200", "X-Log: \"HTTP/1.1 200 OK\""] {
        let mut connection = fresh_connection();
        connection.receive(answer_with(field).as_bytes());
        let progress = connection.advance();
        assert!(matches!(&progress, ClientProgress::Answered(answer) if answer.needs_fresh_connection), "{progress:?}");
    }
}

/// Guards against fresh connections that nobody needs: these answers can be read in one way only.
#[test]
fn an_answer_with_one_reading_is_believed_on_a_used_connection() {
    let fields = ["Via: HTTP/1.1 192.168.3.7", "Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0", "X-Log: HTTP/1.2 200 OK"];
    let behind_the_id = format!("{ID}: b\r\nX-Log: HTTP/1.1 304 Not Modified");
    let heads = fields.map(answer_with).into_iter();
    for head in heads.chain([format!("HTTP/1.1 200 OK\r\n{behind_the_id}\r\nContent-Length: 0\r\n\r\n")]) {
        let mut connection = used_connection();
        connection.receive(head.as_bytes());
        let progress = connection.advance();
        assert!(matches!(&progress, ClientProgress::Answered(answer) if answer.is_reusable), "{head}: {progress:?}");
    }
}

/// Guards against an answer that is cut within a field and read from there: an extra answer was cut off within its body,
/// and the beginning of the answer was taken for the rest of it.
#[test]
fn an_answer_whose_beginning_was_read_as_a_body_is_not_believed() {
    let answer = "HTTP/1.1 500 Error\r\nX-Log: HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n";
    let taken = answer.find("HTTP/1.1 200").expect("the field");
    let mut connection = used_connection();
    connection.receive(format!("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: {}\r\n\r\nabc", taken + 3).as_bytes());
    connection.receive(answer.as_bytes());
    assert_eq!(read(&mut connection), ClientProgress::Broken(ClientFault::Ambiguous));
}

/// Guards against the beginning of an answer that came before the first request, on a connection that seems fresh.
#[test]
fn bytes_that_came_before_the_request_make_a_connection_a_used_one() {
    let mut connection = ClientConnection::new(MAX_BODY);
    connection.receive(b"HTTP/1.1 200 OK");
    assert_eq!(connection.advance(), ClientProgress::NeedMore);
    expect(&mut connection, "b");
    connection.receive(answer_with("X-Log: x").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Ambiguous));
}

/// Guards against an interim response that takes the answer's fields as its own: the answer would never come.
#[test]
fn an_interim_response_that_is_cut_off_is_noticed() {
    let mut connection = used_connection();
    connection.receive(b"HTTP/1.1 103 Early Hints\r\nLink: ");
    connection.receive(answer_with("X-Log: x").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Ambiguous));
}

/// Guards against the same in a response to another request that has a status line in a field of its own.
#[test]
fn an_answer_taken_for_fields_of_a_skipped_response_is_noticed() {
    let mut connection = used_connection();
    connection.receive(b"HTTP/1.1 200 OK\r\nX-Log: HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nX-Next: ");
    connection.receive(answer_with("X-Log: x").as_bytes());
    assert_eq!(connection.advance(), ClientProgress::Broken(ClientFault::Ambiguous));
}

/// Guards against answers that are refused for a field of an interim response before them.
#[test]
fn an_interim_response_with_a_status_line_in_a_field_is_passed_over() {
    for mut connection in [fresh_connection(), used_connection()] {
        connection.receive(b"HTTP/1.1 103 Early Hints\r\nX-Log: HTTP/1.1 200 OK\r\n\r\n");
        connection.receive(answer_with("X-Log: x").as_bytes());
        let progress = connection.advance();
        assert!(matches!(&progress, ClientProgress::Answered(answer) if answer.is_reusable), "{progress:?}");
    }
}
