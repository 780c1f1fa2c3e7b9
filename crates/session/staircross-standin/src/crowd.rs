//! A crowd of clients that send without reading: requests sent ahead, heads and bodies that stop, many connections.
//!
//! One thread writes to all connections in turn, never reads, and replaces connections that the server closes. The
//! number of connections, of their replacements and of the bytes on each is bounded.

use crate::background::Background;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Size of a client's receive buffer in bytes, so that answers that it doesn't read stay at the server.
const RECEIVE_BUFFER: usize = 4096;
/// Connections that a crowd opens in all, as a multiple of those that it holds at a time.
const MAX_GENERATIONS: usize = 4;
/// Number of connections that are opened or written to before the others have their turn.
const TURN: usize = 64;
/// Pause after a turn in which no connection took a byte.
const PAUSE: Duration = Duration::from_millis(2);

/// What a crowd sends.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Number of connections at a time.
    pub connections: usize,
    /// Bytes that are sent first on each connection.
    pub opening: Vec<u8>,
    /// Bytes that are sent after the opening again and again; nothing if empty.
    pub repeated: Vec<u8>,
    /// Maximum number of repeated bytes on one connection.
    pub max_repeated: usize,
}

impl CrowdPlan {
    /// Plans a crowd that sends these bytes once on each connection.
    pub fn once(connections: usize, opening: Vec<u8>) -> CrowdPlan {
        CrowdPlan { connections, opening, repeated: Vec::new(), max_repeated: 0 }
    }

    /// Plans a crowd that sends these bytes again and again, at most `max_repeated` bytes on each connection.
    pub fn ahead(connections: usize, repeated: Vec<u8>, max_repeated: usize) -> CrowdPlan {
        CrowdPlan { connections, opening: Vec::new(), repeated, max_repeated }
    }
}

/// A running crowd. Its connections close when this value is dropped.
pub struct Crowd {
    opened: Arc<AtomicUsize>,
    _thread: Background,
}

impl Crowd {
    /// Starts a crowd at a server.
    pub fn start(address: SocketAddr, plan: CrowdPlan) -> Crowd {
        let opened = Arc::new(AtomicUsize::new(0));
        let count = opened.clone();
        Crowd { opened, _thread: Background::spawn(move |stop| run(address, &plan, stop, &count)) }
    }

    /// Returns the number of connections that the crowd has opened.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

/// One connection and the number of bytes that it has sent.
struct Client {
    stream: TcpStream,
    sent: usize,
}

fn run(address: SocketAddr, plan: &CrowdPlan, stop: &AtomicBool, opened: &AtomicUsize) {
    let mut clients: Vec<Option<Client>> = Vec::new();
    clients.resize_with(plan.connections, || None);
    while !stop.load(Ordering::Relaxed) {
        let mut has_progress = false;
        for turn in clients.chunks_mut(TURN) {
            for client in turn {
                if client.is_none() && opened.load(Ordering::Relaxed) < plan.connections * MAX_GENERATIONS {
                    opened.fetch_add(1, Ordering::Relaxed);
                    *client = connect(address).map(|stream| Client { stream, sent: 0 });
                }
                if let Some(open) = client {
                    match open.write_some(plan) {
                        Ok(count) => has_progress |= count > 0,
                        Err(()) => *client = None,
                    }
                }
            }
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
        if !has_progress {
            thread::sleep(PAUSE);
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    socket.connect_timeout(&address.into(), Duration::from_millis(500)).ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(socket.into())
}

impl Client {
    /// Writes what the server takes, once. Returns the number of bytes, or an error if the connection is closed.
    fn write_some(&mut self, plan: &CrowdPlan) -> Result<usize, ()> {
        let next = match self.sent.checked_sub(plan.opening.len()) {
            None => &plan.opening[self.sent..],
            Some(repeated) if plan.repeated.is_empty() || repeated >= plan.max_repeated => return self.check(),
            Some(repeated) => &plan.repeated[repeated % plan.repeated.len()..],
        };
        match self.stream.write(next) {
            Ok(count) => {
                self.sent += count;
                Ok(count)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(()),
        }
    }

    /// Fails if the server has closed the connection and nothing waits to be read.
    fn check(&self) -> Result<usize, ()> {
        match self.stream.peek(&mut [0]) {
            Ok(1) => Ok(0),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Ok(_) | Err(_) => Err(()),
        }
    }
}
