//! Serializes requests and responses into a byte buffer.

use std::io::Write;

/// Appends `text` and a line break.
fn push_line(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a vector can't fail.
    let _infallible = out.write_fmt(text);
    out.extend_from_slice(b"\r\n");
}

/// Appends the request line, which starts a request.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    push_line(out, format_args!("{method} {target} HTTP/1.1"));
}

/// Appends the status line, which starts a response.
pub fn status_line(out: &mut Vec<u8>, status: u16) {
    push_line(out, format_args!("HTTP/1.1 {status} {}", reason_phrase(status)));
}

/// Appends a header field.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a header field whose value is formatted with `Display`.
pub fn field_display(out: &mut Vec<u8>, name: &str, value: impl std::fmt::Display) {
    push_line(out, format_args!("{name}: {value}"));
}

/// Appends the empty line that ends the head.
pub fn end_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Returns the standard reason phrase of a status code, or `Status` for a code that this function doesn't list.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
