//! A non-blocking TCP stream with its outgoing bytes, and the poll tokens that identify sockets.
//!
//! [`Socket`] owns a registered stream and the bytes that are still to be written to it; its owner decides what these
//! bytes are. [`SocketId`] alone encodes and decodes tokens.
//!
//! `mio` reports readiness edge-triggered: bytes that are left unread, and a close behind them, bring no further event. A
//! component that gets an event of a socket must therefore pass it to [`Socket::note_readiness`] and then read for as
//! long as [`ReadOutcome::Bytes`] says that there may be more.

use crate::send_queue::unacknowledged_bytes;
use mio::event::{Event, Source};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use staircross_http::ServerLimits;
use staircross_types::BootTime;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

/// Size of the read buffer in bytes, so that one read usually holds a whole head or answer.
pub const READ_CHUNK: usize = 16 * 1024;

/// What a component needs to work on its sockets during one call.
pub struct IoContext<'a> {
    /// The current time.
    pub now: BootTime,
    /// The registry of the poll that the sockets belong to.
    pub registry: &'a Registry,
    /// The shared read buffer.
    pub buffer: &'a mut [u8; READ_CHUNK],
    /// Limits on the requests that callers may send.
    pub limits: ServerLimits,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes were read.
    Bytes {
        /// Number of bytes read.
        count: usize,
        /// Whether more bytes or the end of the stream may wait: the buffer was filled, or the peer is known to have
        /// closed its side. Otherwise, whatever arrives later brings an event.
        may_have_more: bool,
    },
    /// No bytes wait at the moment.
    WouldBlock,
    /// The peer closed its side of the connection.
    Closed,
    /// The connection is broken.
    Broken,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All bytes have been written.
    Done,
    /// Some bytes are left, because the send buffer is full until the peer reads.
    Blocked,
    /// The connection is broken.
    Broken,
}

/// What an event says about a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Whether bytes or the end of the stream may wait.
    pub is_readable: bool,
    /// Whether the socket may be written to.
    pub is_writable: bool,
    /// Whether the peer has closed its side or the connection is broken. Bytes sent before may still wait.
    pub is_read_closed: bool,
}

impl From<&Event> for Readiness {
    fn from(event: &Event) -> Self {
        Readiness {
            is_readable: event.is_readable(),
            is_writable: event.is_writable(),
            is_read_closed: event.is_read_closed(),
        }
    }
}

/// A non-blocking stream and the bytes that are still to be written to it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    token: Token,
    outgoing: Vec<u8>,
    written: usize,
    /// Maximum number of bytes that the kernel holds until the peer acknowledges them.
    in_send_queue: usize,
    has_writable_interest: bool,
    is_read_closed: bool,
}

/// The state of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectingState {
    /// The attempt hasn't ended yet.
    InProgress,
    /// The connection is established.
    Established,
    /// The connection was established, and the peer reset it before this process looked at it.
    Reset,
    /// The connection couldn't be established.
    Failed,
}

impl Socket {
    /// Registers a stream that a listener has accepted.
    pub fn accepted(mut stream: TcpStream, token: Token, registry: &Registry) -> io::Result<Self> {
        // A stream without this option still works, with a higher latency.
        let _best_effort = stream.set_nodelay(true);
        stream.register(registry, token, Interest::READABLE)?;
        Ok(Socket {
            stream,
            token,
            outgoing: Vec::new(),
            written: 0,
            in_send_queue: 0,
            has_writable_interest: false,
            is_read_closed: false,
        })
    }

    /// Starts to connect to `address`. The stream becomes writable when the connection is established.
    pub fn connecting(address: SocketAddr, token: Token, registry: &Registry) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        let _best_effort = stream.set_nodelay(true);
        stream.register(registry, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Socket {
            stream,
            token,
            outgoing: Vec::new(),
            written: 0,
            in_send_queue: 0,
            has_writable_interest: true,
            is_read_closed: false,
        })
    }

    /// Returns the stream, for setting socket options.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the state of a connection attempt.
    pub fn connecting_state(&self) -> ConnectingState {
        match self.stream.take_error() {
            Ok(None) => {}
            // The peer accepted the connection and reset it before this process looked at it.
            Ok(Some(error)) if error.kind() == ErrorKind::ConnectionReset => return ConnectingState::Reset,
            Ok(Some(_)) | Err(_) => return ConnectingState::Failed,
        }
        match self.stream.peer_addr() {
            Ok(_) => ConnectingState::Established,
            Err(error) if error.kind() == ErrorKind::NotConnected => ConnectingState::InProgress,
            Err(_) => ConnectingState::Failed,
        }
    }

    /// Records what an event says about the socket.
    pub fn note_readiness(&mut self, readiness: Readiness) {
        // A close is never taken back, and only one event reports it.
        self.is_read_closed |= readiness.is_read_closed;
    }

    /// Returns whether the peer is known to have closed its side, or the connection to be broken. Bytes may still wait.
    pub fn is_read_closed(&self) -> bool {
        self.is_read_closed
    }

    /// Reads what is available into `buffer`.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    let may_have_more = count == buffer.len() || self.is_read_closed;
                    return ReadOutcome::Bytes { count, may_have_more };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::WouldBlock,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Broken,
            }
        }
    }

    /// Appends bytes to the outgoing ones and writes as many as the stream accepts.
    pub fn write(&mut self, bytes: Vec<u8>, registry: &Registry) -> WriteOutcome {
        if self.outgoing.is_empty() {
            self.outgoing = bytes;
        } else {
            self.outgoing.extend_from_slice(&bytes);
        }
        self.flush(registry)
    }

    /// Writes as many of the outgoing bytes as the stream accepts.
    pub fn flush(&mut self, registry: &Registry) -> WriteOutcome {
        while self.written < self.outgoing.len() {
            match self.stream.write(&self.outgoing[self.written..]) {
                Ok(0) => return WriteOutcome::Broken,
                Ok(count) => {
                    self.written += count;
                    self.in_send_queue += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return self.set_writable_interest(true, registry, WriteOutcome::Blocked);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return WriteOutcome::Broken,
            }
        }
        self.outgoing = Vec::new();
        self.written = 0;
        self.set_writable_interest(false, registry, WriteOutcome::Done)
    }

    /// Returns whether all outgoing bytes have been written.
    pub fn is_flushed(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Returns the number of bytes that this process and the kernel hold until the peer acknowledges them, at most.
    pub fn outgoing_bytes(&self) -> usize {
        self.outgoing.len() + self.in_send_queue
    }

    /// Asks the kernel what it holds, and returns the number of bytes like [`Socket::outgoing_bytes`]. If the kernel
    /// doesn't tell, it counts as holding nothing.
    pub fn measure_outgoing(&mut self) -> usize {
        self.in_send_queue = unacknowledged_bytes(&self.stream).unwrap_or(0);
        self.outgoing_bytes()
    }

    /// Returns whether bytes wait to be written, or the peer hasn't acknowledged all that were.
    pub fn has_unacknowledged(&mut self) -> bool {
        !self.is_flushed() || (self.in_send_queue > 0 && self.measure_outgoing() > 0)
    }

    /// Makes the close of the stream discard what the peer hasn't acknowledged. Otherwise the kernel goes on holding it.
    pub fn discard_at_close(&self) {
        // Without this option, the kernel gives the bytes up after some minutes.
        let _best_effort = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Returns whether bytes wait to be written and none of them has been written yet.
    pub fn is_entirely_unsent(&self) -> bool {
        !self.outgoing.is_empty() && self.written == 0
    }

    fn set_writable_interest(&mut self, wanted: bool, registry: &Registry, outcome: WriteOutcome) -> WriteOutcome {
        if wanted == self.has_writable_interest {
            return outcome;
        }
        let interest = if wanted { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        if self.stream.reregister(registry, self.token, interest).is_err() {
            return WriteOutcome::Broken;
        }
        self.has_writable_interest = wanted;
        outcome
    }

    /// Shuts down the sending side of the stream.
    pub fn shutdown_write(&self) {
        // The peer may have closed the connection already, and then there is nothing to shut down.
        let _peer_may_be_gone = self.stream.shutdown(Shutdown::Write);
    }
}

/// The purpose of a socket, which determines the component that handles its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum SocketKind {
    /// A listener of the node's server.
    Listener = 1,
    /// A connection that the node's server has accepted.
    Inbound = 2,
    /// A connection to a searcher.
    Searcher = 3,
    /// A connection to the store.
    Store = 4,
    /// A connection to another node.
    Peer = 5,
    /// The UDP socket for datagrams between nodes.
    Datagrams = 6,
}

impl SocketKind {
    /// All kinds.
    pub const ALL: [SocketKind; 6] = [
        SocketKind::Listener,
        SocketKind::Inbound,
        SocketKind::Searcher,
        SocketKind::Store,
        SocketKind::Peer,
        SocketKind::Datagrams,
    ];

    fn from_number(number: usize) -> Option<Self> {
        SocketKind::ALL.into_iter().find(|kind| *kind as usize == number)
    }
}

/// Identifies a socket by kind, slot and generation. Because of the generation, an event of a closed connection is
/// never taken for one of the connection that reuses its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SocketId {
    /// The kind, which determines the component that handles the socket's events.
    pub kind: SocketKind,
    /// Generation, which increases with every new connection.
    pub generation: u32,
    /// Index in the component's table.
    pub slot: u32,
}

/// Width of the slot in a token, in bits: what remains of 64 bits beside the generation and four bits for the kind.
/// This is enough for far more slots than a process has descriptors.
const SLOT_BITS: u32 = 28;
/// Width of the generation in a token, in bits: that of [`SocketId::generation`].
const GENERATION_BITS: u32 = u32::BITS;

impl SocketId {
    /// Returns the token under which the socket is registered.
    pub fn token(self) -> Token {
        let kind = (self.kind as usize) << (SLOT_BITS + GENERATION_BITS);
        let generation = (self.generation as usize) << SLOT_BITS;
        Token(kind | generation | self.slot as usize)
    }

    /// Returns the id that a token encodes, or `None` if no kind of socket has this token.
    pub fn from_token(token: Token) -> Option<Self> {
        let kind = SocketKind::from_number(token.0 >> (SLOT_BITS + GENERATION_BITS))?;
        let generation = (token.0 >> SLOT_BITS) as u32;
        let slot = (token.0 & ((1 << SLOT_BITS) - 1)) as u32;
        Some(SocketId { kind, generation, slot })
    }
}
