//! Minimal HTTP/1.1: reads messages with `Content-Length` bodies and finds header fields.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request or a response: its first line, its header fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first field with this name, regardless of case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    input: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, input: Vec::new() }
    }

    /// Reads the next message; `None` if the peer has closed the connection before one began.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.input.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                if self.input.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first_line, fields, body: Vec::new() };
        let length: usize = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.input.len() < head_end + length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.input[head_end..head_end + length].to_vec();
        self.input.drain(..head_end + length);
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }
}

/// Renders a response with a length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}
