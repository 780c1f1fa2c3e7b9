//! Recognition of response heads that can be read in two ways.
//!
//! A faulty server may send the beginning of a response that belongs to no request. If it ends within the head, the next
//! response continues it: the bytes parse as one head, with the status of the first and the fields of both. But a whole
//! response can consist of the same bytes, because a field such as `Via` may contain a status line. The bytes alone don't
//! say which of the two was sent.
//!
//! This module finds the heads for which both readings are possible. They have a status line somewhere within, and behind
//! it the id of the outstanding request, which every answer to the request repeats. Whether anything can stand before
//! the answer depends on the connection, which [`crate::client`] knows.

use crate::expected::Expected;
use crate::head::ResponseHead;

/// What a status line begins with, up to the minor version.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// Number of digits of a status code.
const STATUS_CODE_LENGTH: usize = 3;

/// Returns whether the answer to a request may begin within `head`, behind its first byte.
pub(crate) fn may_contain_answer(head: &[u8], expected: &Expected) -> bool {
    let inner = status_lines(head).find(|start| *start > 0);
    inner.is_some_and(|start| may_be_answer(&head[start..], expected))
}

/// Returns the end of a response's body, from its last status line on, or nothing if there is no status line in it.
pub(crate) fn from_last_status_line(body: &[u8]) -> &[u8] {
    status_lines(body).last().map_or(&[], |start| &body[start..])
}

/// Returns whether the answer to a request may begin with `skipped`, the end of the body of the response before, and go
/// on with `head`. That response was then cut off within its body, and the first bytes of the answer were taken for the
/// rest of it. Any later part of the answer's head that begins with a status line is a whole head as well, so it is enough
/// to look at the last status line of the body.
pub(crate) fn may_begin_in_body(skipped: &[u8], head: &[u8], expected: &Expected) -> bool {
    !skipped.is_empty() && may_be_answer(&[skipped, head].concat(), expected)
}

/// Returns whether `bytes` are a whole head with the id of the request in any of its fields.
fn may_be_answer(bytes: &[u8], expected: &Expected) -> bool {
    match ResponseHead::parse(bytes) {
        Ok(Some((head, _))) => expected.is_repeated_in(&head.headers),
        Ok(None) | Err(_) => false,
    }
}

/// Returns the positions at which status lines begin.
fn status_lines(bytes: &[u8]) -> impl Iterator<Item = usize> {
    let starts = bytes.windows(STATUS_LINE_START.len()).enumerate();
    starts
        .filter(|(start, window)| *window == STATUS_LINE_START && is_status_line(&bytes[*start..]))
        .map(|(start, _)| start)
}

/// Returns whether bytes that begin with [`STATUS_LINE_START`] go on like a status line: a minor version, a space, three
/// digits, and then a space, the line's end, or nothing more.
fn is_status_line(bytes: &[u8]) -> bool {
    let [b'0' | b'1', b' ', status @ ..] = &bytes[STATUS_LINE_START.len()..] else {
        return false;
    };
    let Some((code, rest)) = status.split_at_checked(STATUS_CODE_LENGTH) else {
        return false;
    };
    code.iter().all(u8::is_ascii_digit) && matches!(rest.first(), None | Some(b' ' | b'\r' | b'\n'))
}
