//! Minimal HTTP/1.1 messages over a blocking socket: what the stand-ins of clients, searchers and the store need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, header fields and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended with the connection because the message states no length.
    pub ends_at_close: bool,
}

impl Message {
    /// Returns the value of the first field named `name`, regardless of case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _best_effort = stream.set_nodelay(true);
        Connection { stream, input: Vec::new() }
    }

    /// Connects to an address within a second.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
    }

    /// Reads one message. Returns `None` if the peer closes the connection before the first byte of one.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(end) = find(&self.input, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.input.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        self.input.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { first_line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let length = message.field("content-length").and_then(|text| text.parse::<usize>().ok());
        match length {
            Some(length) => {
                while self.input.len() < length {
                    if self.fill()? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.input.drain(..length).collect();
            }
            None if is_response => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.input);
                message.ends_at_close = true;
            }
            None => {}
        }
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0_u8; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    return Ok(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns whether the peer has closed or reset the connection. Bytes that wait are left unread.
    pub fn is_closed_by_peer(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0_u8; 1];
        let outcome = self.stream.peek(&mut byte);
        let _best_effort = self.stream.set_nonblocking(false);
        match outcome {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Renders a message with its length.
pub fn render(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the status line of a response.
pub fn status_line(status: u16) -> String {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        410 => "Gone",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    };
    format!("HTTP/1.1 {status} {reason}")
}
