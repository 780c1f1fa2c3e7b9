//! Replies that go on without end in one of their parts.

use super::faulty_server::Fault;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns each kind of reply without end, with its name.
pub fn endless_replies() -> [(&'static str, Fault); 10] {
    let kinds = [
        ("status line", "HTTP/1.1 200 ", "again"),
        ("garbage", "", "no reply at all"),
        ("fields", "HTTP/1.1 200 OK\r\n", "X-Field: again\r\n"),
        ("a field", "HTTP/1.1 200 OK\r\nX-Field: ", "again"),
        ("interim replies", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        ("body", "HTTP/1.1 200 OK\r\n\r\n", "more"),
        ("body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "more"),
        ("chunks", CHUNKED, "4\r\nmore\r\n"),
        ("chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "again"),
        ("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: again\r\n"),
    ];
    kinds.map(|(name, begin, piece)| (name, Fault::Endless(begin, piece)))
}
