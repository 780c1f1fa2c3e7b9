//! Stand-in of a client: sends one request on a connection of its own and reads the answer.

use crate::http::{Message, Reader};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request on a connection and returns the answer.
pub fn call(stream: TcpStream, request: &[u8], timeout: Duration) -> io::Result<Message> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request)?;
    Reader::new(stream).next()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request of a route and returns the answer.
pub fn get(address: SocketAddr, target: &str, id: &str, deadline_ms: u64) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: desk.example\r\nX-Staircross-Request-Id: {id}\r\n\
         X-Staircross-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n\r\n"
    );
    call(stream, request.as_bytes(), Duration::from_millis(deadline_ms + 500))
}
