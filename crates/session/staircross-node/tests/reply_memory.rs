//! Tests the memory of the replies that are being read.

use staircross_node::searchers::reply_memory::{ReadReplyError, ReplyBuffer, ReplyMemory};
use staircross_types::body_digest;
use std::io::Read;

const MEMORY: usize = 1024 * 1024;
/// Memory that each reply gets in any case.
const MAX_SHORT_REPLY: usize = 128 * 1024;
const SHORT_REPLY: usize = 100_000;

/// Guards against replies that are damaged where one block ends and the next begins.
#[test]
fn a_reply_of_any_length_is_what_was_sent() {
    let memory = ReplyMemory::new(MEMORY);
    for length in [1, 2, 32_766, 32_767, 32_768, 32_769, 65_536, 65_537, 300_000] {
        let text = format!("\"{}\"", "x".repeat(length));
        let mut reply = ReplyBuffer::new(&memory);
        reply.read_to_end(&mut text.as_bytes()).expect("it fits");
        assert_eq!(reply.digest(), body_digest(text.as_bytes()), "{length}");
        assert_eq!(reply.parse::<String>().expect("JSON").len(), length);
    }
    let mut empty = ReplyBuffer::new(&memory);
    empty.read_to_end(&mut std::io::empty()).expect("it fits");
    assert_eq!(empty.digest(), body_digest(b""));
    assert!(empty.parse::<String>().is_err());
}

/// Guards against memory that grows with the number of replies without end, and against short replies that can't be
/// read beside them.
#[test]
fn replies_without_end_fail_and_short_ones_beside_them_are_read() {
    let memory = ReplyMemory::new(MEMORY);
    let short_text = format!("\"{}\"", "x".repeat(SHORT_REPLY - 2));
    let mut long: Vec<ReplyBuffer> = Vec::new();
    for _ in 0..8 {
        let mut reply = ReplyBuffer::new(&memory);
        let outcome = reply.read_to_end(&mut std::io::repeat(b'x'));
        assert!(matches!(outcome, Err(ReadReplyError::OutOfMemory { .. })), "{outcome:?}");
        long.push(reply);
        let mut short = ReplyBuffer::new(&memory);
        short.read_to_end(&mut short_text.as_bytes()).expect("a short reply is read");
        assert_eq!(short.parse::<String>().expect("JSON").len(), SHORT_REPLY - 2);
    }
    assert!(memory.bytes_in_use() <= MEMORY + 8 * MAX_SHORT_REPLY, "{} bytes", memory.bytes_in_use());
    drop(long);
    assert_eq!(memory.bytes_in_use(), 0);
    let mut reply = ReplyBuffer::new(&memory);
    reply.read_to_end(&mut std::io::repeat(b'1').take(MEMORY as u64 / 2)).expect("there is room again");
}
