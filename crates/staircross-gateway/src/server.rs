//! Connections that requests come in on.
//!
//! [`Server`] owns the listeners and the accepted connections, reads whole requests and writes answers, one after the other on each
//! connection. What a request means and when it is answered is the node's; each [`ServerEvent::Request`],
//! [`ServerEvent::Fault`] and [`ServerEvent::Late`] must be answered with [`Server::respond`]. Relies on the server half of HTTP
//! for framing.

use crate::round_trip::round_trip;
use crate::socket::{IoContext, ReadOutcome, Socket, SocketId, SocketKind, WriteOutcome};
use mio::net::TcpListener;
use mio::{Interest, Registry};
use slab::Slab;
use staircross_http::{Request, ServerConnection, ServerFault, ServerProgress};
use staircross_routing::CallerLink;
use staircross_types::BootTime;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a peer to close after the last answer, so that an answer that is on its way is read before the connection goes.
const CLOSE_PATIENCE: Duration = Duration::from_millis(1500);
/// Permission to send a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Bytes of further requests that are read at once while one is being answered.
const MAX_READ_AHEAD: usize = 64 * 1024;

/// Who is spoken to on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Callers' requests.
    Callers,
    /// Questions for readiness.
    Readiness,
    /// Questions where to go.
    Directory,
    /// Other nodes.
    Peers,
    /// The collector of metrics.
    Metrics,
}

/// What happened on a connection.
#[derive(Debug)]
pub enum ServerEvent {
    /// A whole request; it must be answered with [`Server::respond`].
    Request {
        /// Where the answer goes.
        connection: SocketId,
        /// Which listener it came in by.
        endpoint: Endpoint,
        /// The request.
        request: Box<Request>,
        /// What is known of the connection.
        link: CallerLink,
    },
    /// Bytes that are no acceptable request; to be answered, then closed.
    Fault {
        /// Where the answer goes.
        connection: SocketId,
        /// What was wrong.
        fault: ServerFault,
    },
    /// The head didn't arrive in time; to be answered, then closed.
    Late {
        /// Where the answer goes.
        connection: SocketId,
    },
    /// The caller left while its request was being worked on.
    Gone {
        /// The connection.
        connection: SocketId,
    },
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for a request.
    Reading,
    /// A request is being worked on.
    Working,
    /// The last answer is being written, then the connection ends.
    Closing,
}

struct Connection {
    socket: Socket,
    http: ServerConnection,
    endpoint: Endpoint,
    state: State,
    generation: u32,
    /// Since when it is in its present state without progress.
    since: BootTime,
    /// What the engine will know of the connection that the next request comes on.
    link: CallerLink,
}

struct Listening {
    endpoint: Endpoint,
    listener: TcpListener,
}

/// Times that connections are held to.
#[derive(Clone, Copy, Debug)]
pub struct ServerTimes {
    /// Time to send a whole head and body.
    pub head: Duration,
    /// Time that a connection may rest.
    pub idle: Duration,
}

/// All listeners and their connections.
pub struct Server {
    /// By their slots; `None` once one has been closed.
    listeners: Vec<Option<Listening>>,
    connections: Slab<Connection>,
    next_generation: u32,
    max_connections: usize,
}

impl Server {
    /// A server without listeners that holds at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        Server { listeners: Vec::new(), connections: Slab::new(), next_generation: 1, max_connections }
    }

    /// Listens on an address; returns it with the port that was taken.
    pub fn listen(&mut self, endpoint: Endpoint, address: SocketAddr, registry: &Registry) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        let slot = self.listeners.len() as u32;
        let id = SocketId { kind: SocketKind::Listener, generation: 0, slot };
        registry.register(&mut listener, id.token(), Interest::READABLE)?;
        self.listeners.push(Some(Listening { endpoint, listener }));
        Ok(bound)
    }

    /// Closes the listeners of an endpoint, so that connecting is refused. What has connected is accepted before.
    pub fn stop_listening(&mut self, now: BootTime, endpoint: Endpoint, registry: &Registry) {
        let is_of = |listening: &Option<Listening>| listening.as_ref().is_some_and(|one| one.endpoint == endpoint);
        for slot in 0..self.listeners.len() {
            if is_of(&self.listeners[slot]) {
                let id = SocketId { kind: SocketKind::Listener, generation: 0, slot: slot as u32 };
                self.on_acceptable(now, id, registry);
                self.listeners[slot] = None;
            }
        }
    }

    /// Whether no open connection of callers was made or used within a time. One whose last answer has been written no longer counts.
    pub fn have_callers_rested(&self, now: BootTime, rest: Duration) -> bool {
        let is_in_use =
            |connection: &Connection| connection.state == State::Reading && now.since(connection.since) < rest;
        let mut of_callers = self.connections.iter().filter(|(_, connection)| connection.endpoint == Endpoint::Callers);
        !of_callers.any(|(_, connection)| is_in_use(connection))
    }

    /// Open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether a caller's request is being worked on or written.
    pub fn is_busy(&self) -> bool {
        self.connections.iter().any(|(_, connection)| {
            connection.endpoint == Endpoint::Callers
                && (connection.state == State::Working
                    || !connection.socket.is_flushed()
                    || connection.http.has_partial_request())
        })
    }

    /// Takes new connections.
    pub fn on_acceptable(&mut self, now: BootTime, id: SocketId, registry: &Registry) {
        loop {
            let Some(Some(listening)) = self.listeners.get(id.slot as usize) else {
                return;
            };
            match listening.listener.accept() {
                Ok((stream, _)) => {
                    let endpoint = listening.endpoint;
                    if self.connections.len() >= self.max_connections {
                        // Dropped at once: the caller sees it and goes elsewhere.
                        continue;
                    }
                    self.add(now, endpoint, stream, registry);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Nothing more waits, or no descriptor is free; the next event tries again.
                Err(_) => return,
            }
        }
    }

    fn add(&mut self, now: BootTime, endpoint: Endpoint, stream: mio::net::TcpStream, registry: &Registry) {
        let generation = self.next_generation;
        self.next_generation = self.next_generation.wrapping_add(1).max(1);
        let entry = self.connections.vacant_entry();
        let id = SocketId { kind: SocketKind::Inbound, generation, slot: entry.key() as u32 };
        let link = CallerLink { round_trip: round_trip(&stream), is_fresh: true };
        if let Ok(socket) = Socket::accepted(stream, id.token(), registry) {
            entry.insert(Connection {
                socket,
                http: ServerConnection::default(),
                endpoint,
                state: State::Reading,
                generation,
                since: now,
                link,
            });
        }
    }

    fn get(&mut self, id: SocketId) -> Option<&mut Connection> {
        self.connections.get_mut(id.slot as usize).filter(|connection| connection.generation == id.generation)
    }

    /// Takes readiness of a connection.
    pub fn on_ready(&mut self, id: SocketId, is_writable: bool, io: &mut IoContext<'_>, events: &mut Vec<ServerEvent>) {
        let Some(connection) = self.get(id) else {
            return;
        };
        if is_writable && !connection.socket.is_flushed() {
            let outcome = connection.socket.flush(io.registry);
            if !self.after_write(id, outcome, events) {
                return;
            }
        }
        self.read(id, io, events);
    }

    fn read(&mut self, id: SocketId, io: &mut IoContext<'_>, events: &mut Vec<ServerEvent>) {
        let mut ahead = 0;
        loop {
            let Some(connection) = self.get(id) else {
                return;
            };
            match connection.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, is_full } => {
                    if connection.state != State::Closing {
                        connection.http.receive(&io.buffer[..count]);
                    }
                    if connection.state == State::Reading {
                        connection.since = io.now;
                        self.advance(id, io, events);
                    } else {
                        ahead += count;
                    }
                    if !is_full || ahead > MAX_READ_AHEAD {
                        return;
                    }
                }
                ReadOutcome::Nothing => return,
                ReadOutcome::Closed | ReadOutcome::Broken => {
                    self.on_peer_closed(id, events);
                    return;
                }
            }
        }
    }

    fn on_peer_closed(&mut self, id: SocketId, events: &mut Vec<ServerEvent>) {
        let Some(connection) = self.get(id) else {
            return;
        };
        if connection.state == State::Working {
            events.push(ServerEvent::Gone { connection: id });
        }
        self.connections.remove(id.slot as usize);
    }

    /// Looks for the next whole request of a connection that waits for one.
    fn advance(&mut self, id: SocketId, io: &IoContext<'_>, events: &mut Vec<ServerEvent>) {
        let Some(connection) = self.get(id) else {
            return;
        };
        let endpoint = connection.endpoint;
        match connection.http.advance(io.limits) {
            ServerProgress::NeedMore { continue_expected: false } => {}
            ServerProgress::NeedMore { continue_expected: true } => {
                let outcome = connection.socket.write(CONTINUE.to_vec(), io.registry);
                self.after_write(id, outcome, events);
            }
            ServerProgress::Ready(request) => {
                connection.state = State::Working;
                let link = connection.link;
                connection.link.is_fresh = false;
                events.push(ServerEvent::Request { connection: id, endpoint, request, link });
            }
            ServerProgress::Fault(fault) => {
                connection.state = State::Working;
                events.push(ServerEvent::Fault { connection: id, fault });
            }
        }
    }

    /// Writes the answer to the request that is being worked on. `closes` ends the connection after it.
    pub fn respond(
        &mut self,
        id: SocketId,
        answer: Vec<u8>,
        closes: bool,
        io: &IoContext<'_>,
        events: &mut Vec<ServerEvent>,
    ) {
        let Some(connection) = self.get(id) else {
            return;
        };
        connection.since = io.now;
        connection.state = if closes { State::Closing } else { State::Reading };
        let outcome = connection.socket.write(answer, io.registry);
        if self.after_write(id, outcome, events) && !closes {
            self.advance(id, io, events);
        }
    }

    /// Returns whether the connection goes on.
    fn after_write(&mut self, id: SocketId, outcome: WriteOutcome, events: &mut Vec<ServerEvent>) -> bool {
        let Some(connection) = self.get(id) else {
            return false;
        };
        match outcome {
            WriteOutcome::Blocked => true,
            WriteOutcome::Done => {
                if connection.state == State::Closing {
                    // The peer closes when it has read all; closing first could reset what it hasn't read.
                    connection.socket.finish_writing();
                }
                true
            }
            WriteOutcome::Broken => {
                self.on_peer_closed(id, events);
                false
            }
        }
    }

    /// Ends connections that rest or dawdle too long.
    pub fn sweep(&mut self, now: BootTime, times: ServerTimes, events: &mut Vec<ServerEvent>) {
        let mut over = Vec::new();
        for (slot, connection) in &mut self.connections {
            let age = now.since(connection.since);
            let id = SocketId { kind: SocketKind::Inbound, generation: connection.generation, slot: slot as u32 };
            match connection.state {
                State::Working => {}
                State::Closing if age >= CLOSE_PATIENCE => over.push(slot),
                State::Reading if connection.http.has_partial_request() && age >= times.head => {
                    connection.state = State::Working;
                    events.push(ServerEvent::Late { connection: id });
                }
                State::Reading if age >= times.idle => over.push(slot),
                State::Closing | State::Reading => {}
            }
        }
        for slot in over {
            self.connections.remove(slot);
        }
    }
}
