//! Opens and closes listeners, accepts their connections, and rejects those beyond the maximum.

use super::Server;
use super::connection::{Connection, ConnectionInfo, State};
use crate::listener::Listener;
use crate::round_trip::round_trip;
use crate::socket::{Socket, SocketId, SocketKind, WriteOutcome};
use mio::net::TcpListener;
use mio::{Interest, Registry};
use socket2::SockRef;
use staircross_http::ServerConnection;
use staircross_types::BootTime;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Maximum number of connections that one listener accepts in one turn, so that peers that go on connecting don't keep the
/// node from its other work.
const MAX_ACCEPTED_PER_TURN: usize = 256;

impl<E: Copy + PartialEq> Server<E> {
    /// Listens on an address. Returns the bound address, with the actual port if `address` has port 0.
    pub fn listen(&mut self, endpoint: E, address: SocketAddr, registry: &Registry) -> io::Result<SocketAddr> {
        let mut listener = TcpListener::bind(address)?;
        if let Some(size) = self.budget.receive_buffer() {
            // Accepted connections inherit the option. The kernel takes double the size for its own bookkeeping.
            SockRef::from(&listener).set_recv_buffer_size(size / 2)?;
        }
        let bound = listener.local_addr()?;
        let slot = self.listeners.len() as u32;
        let id = SocketId { kind: SocketKind::Listener, generation: 0, slot };
        registry.register(&mut listener, id.token(), Interest::READABLE)?;
        self.listeners.push(Some(Listener::new(endpoint, listener)));
        Ok(bound)
    }

    /// Begins to close the listeners of an endpoint, so that new connections are refused soon. [`Server::sweep`] closes
    /// them when the handshakes under way have ended, and accepts their connections before. Does nothing for listeners
    /// that are closing or closed already.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't keep off new connections meanwhile. The listeners close
    /// nevertheless.
    pub fn stop_listening(&mut self, now: BootTime, endpoint: E) -> io::Result<()> {
        let mut outcome = Ok(());
        for listener in self.listeners.iter_mut().flatten().filter(|listener| listener.endpoint == endpoint) {
            outcome = outcome.and(listener.begin_closing(now));
        }
        outcome
    }

    /// Accepts connections that could not be accepted before, and closes the listeners whose time to close has come.
    /// Connections that wait are accepted first.
    pub(super) fn sweep_listeners(&mut self, now: BootTime, registry: &Registry) {
        for slot in 0..self.listeners.len() {
            let listener = self.listeners[slot].as_ref();
            let has_backlog = listener.is_some_and(|listener| listener.has_backlog);
            let must_close = listener.is_some_and(|listener| listener.must_close(now));
            if has_backlog || must_close {
                let id = SocketId { kind: SocketKind::Listener, generation: 0, slot: slot as u32 };
                // The queue of a listener that is about to close is finite.
                let limit = if must_close { usize::MAX } else { MAX_ACCEPTED_PER_TURN };
                self.accept_some(now, id, registry, limit);
            }
            if must_close {
                self.listeners[slot] = None;
            }
        }
    }

    /// Returns whether an endpoint has a listener that is still open or about to close.
    pub fn is_listening(&self, endpoint: E) -> bool {
        self.listeners.iter().flatten().any(|listener| listener.endpoint == endpoint)
    }

    /// Accepts the connections that wait on a listener, some in this turn and others at the next sweep.
    pub fn accept_connections(&mut self, now: BootTime, id: SocketId, registry: &Registry) {
        self.accept_some(now, id, registry, MAX_ACCEPTED_PER_TURN);
    }

    fn accept_some(&mut self, now: BootTime, id: SocketId, registry: &Registry, limit: usize) {
        for _ in 0..limit {
            let Some(Some(entry)) = self.listeners.get_mut(id.slot as usize) else {
                return;
            };
            match entry.accept() {
                Ok(stream) => {
                    let endpoint = entry.endpoint;
                    let has_room = self.connections.len() < self.budget.max_connections();
                    if has_room || self.end_stalled(now) {
                        self.add_connection(now, endpoint, stream, registry);
                    } else {
                        self.reject(now, endpoint, stream, registry);
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    // Without a free descriptor, connections go on waiting, and no event tells of them again.
                    entry.has_backlog = error.kind() != ErrorKind::WouldBlock;
                    return;
                }
            }
        }
        if let Some(Some(entry)) = self.listeners.get_mut(id.slot as usize) {
            entry.has_backlog = true;
        }
    }

    /// Answers a connection beyond the maximum, if there is an answer and room for it. Otherwise the stream is dropped,
    /// which closes it at once; the caller sees that and can use another node.
    fn reject(&mut self, now: BootTime, endpoint: E, stream: mio::net::TcpStream, registry: &Registry) {
        let Some(rejection) = self.rejection.clone() else {
            return;
        };
        let max_connections = self.budget.max_connections();
        if self.connections.len() >= max_connections + max_connections.div_ceil(8) {
            return;
        }
        if let Some(connection) = self.add_connection(now, endpoint, stream, registry) {
            connection.state = State::Closing;
            if connection.socket.write(rejection, registry) == WriteOutcome::Done {
                connection.socket.shutdown_write();
            }
        }
    }

    fn add_connection(
        &mut self,
        now: BootTime,
        endpoint: E,
        stream: mio::net::TcpStream,
        registry: &Registry,
    ) -> Option<&mut Connection<E>> {
        let generation = self.next_generation;
        self.next_generation = self.next_generation.wrapping_add(1).max(1);
        let entry = self.connections.vacant_entry();
        let id = SocketId { kind: SocketKind::Inbound, generation, slot: entry.key() as u32 };
        let info = ConnectionInfo { round_trip: round_trip(&stream), is_new: true };
        let socket = Socket::accepted(stream, id.token(), registry).ok()?;
        let connection = Connection {
            socket,
            http: ServerConnection::default(),
            endpoint,
            state: State::Reading,
            generation,
            last_progress: now,
            head_began: None,
            info,
            has_unread: false,
            request_bytes: 0,
            requests_in_turn: 0,
            turn: 0,
            charged: 0,
        };
        entry.insert(connection);
        self.recharge(id.slot as usize);
        self.connections.get_mut(id.slot as usize)
    }
}
