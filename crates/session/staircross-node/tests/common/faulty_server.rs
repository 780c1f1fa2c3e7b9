//! An HTTP server that sends more than its replies, or replies with unusual fields or statuses.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between bytes that the server sends in separate packets.
const PACKET_INTERVAL: Duration = Duration::from_millis(20);

/// What the server sends around its replies.
#[derive(Clone, Copy)]
pub enum Fault {
    /// A field with a status line in each reply.
    StatusLineInField,
    /// A copy of each reply, behind it.
    CopyBehindReply,
    /// A copy of each reply, when the next call on the connection has come.
    LateCopy,
    /// The first bytes of a reply, when the next call on the connection has come.
    LateBeginning(&'static str),
    /// Instead of each reply, this text and then the piece again and again, until the peer closes.
    Endless(&'static str, &'static str),
    /// This status in each reply.
    Status(&'static str),
    /// The first bytes of each reply's head or body, as many as given, and then a close.
    CutOff(usize),
}

/// A reply's fields, each with its line end, and its body.
pub struct Reply {
    pub fields: String,
    pub body: Vec<u8>,
}

/// Starts a server whose replies are made from the target and the body of each call. Returns its address.
pub fn start(fault: Fault, reply: impl Fn(&str, &[u8]) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    let reply = Arc::new(reply);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || serve(stream, fault, &*reply));
        }
    });
    address
}

/// Answers the calls of one connection until the peer closes it.
fn serve(mut stream: TcpStream, fault: Fault, reply: &dyn Fn(&str, &[u8]) -> Reply) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    let mut earlier: Option<Vec<u8>> = None;
    while let Some((target, body)) = read_call(&mut reader) {
        let bytes = render(reply(&target, &body), fault);
        match fault {
            Fault::Endless(begin, piece) => return write_endlessly(&mut stream, begin, piece),
            Fault::CutOff(length) => {
                // The peer may have given up already.
                let _peer_may_be_gone = stream.write_all(&bytes[..length.min(bytes.len() - 1)]);
                return;
            }
            _ => {}
        }
        let extra = match (fault, earlier.replace(bytes.clone())) {
            (Fault::LateCopy, Some(copy)) => copy,
            (Fault::LateBeginning(text), Some(_)) => text.as_bytes().to_vec(),
            _ => Vec::new(),
        };
        let mut sent = stream.write_all(&extra);
        if !extra.is_empty() {
            thread::sleep(PACKET_INTERVAL);
        }
        sent = sent.and_then(|()| stream.write_all(&bytes));
        if matches!(fault, Fault::CopyBehindReply) {
            sent = sent.and_then(|()| stream.write_all(&bytes));
        }
        if sent.is_err() {
            return;
        }
    }
}

/// Writes until the peer closes the connection.
fn write_endlessly(stream: &mut TcpStream, begin: &str, piece: &str) {
    let block = piece.repeat((64 * 1024 / piece.len()).max(1));
    let mut sent = stream.write_all(begin.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(block.as_bytes());
    }
}

fn render(reply: Reply, fault: Fault) -> Vec<u8> {
    let field = match fault {
        Fault::StatusLineInField => "X-Upstream: HTTP/1.1 304 Not Modified\r\n",
        _ => "",
    };
    let status = match fault {
        Fault::Status(status) => status,
        _ => "200",
    };
    let Reply { fields, body } = reply;
    let head = format!("HTTP/1.1 {status} OK\r\n{field}{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body].concat()
}

/// Reads a call and returns its target and body, or `None` at the end of the connection.
fn read_call(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let target = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((target, body))
}
