//! One non-blocking stream with its outgoing bytes, and the tokens that events name it by.
//!
//! [`Socket`] owns a registered stream and what is still to be written to it; which bytes these are is its
//! owner's concern. [`SocketId`] is the one place where tokens are encoded and decoded. Relies on `mio` with
//! edge-triggered readiness: a component that gets the event of a socket reads until nothing is left.

use mio::event::Source;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use staircross_http::ServerLimits;
use staircross_types::BootTime;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// Bytes read at once. So that a usual head or answer comes in one read.
pub const READ_CHUNK: usize = 16 * 1024;

/// What a component needs to work on its sockets.
pub struct IoContext<'a> {
    /// Now.
    pub now: BootTime,
    /// Where sockets are registered.
    pub registry: &'a Registry,
    /// Room to read into.
    pub buffer: &'a mut [u8; READ_CHUNK],
    /// What callers may send.
    pub limits: ServerLimits,
}

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes; more may wait if `is_full`.
    Bytes {
        /// How many.
        count: usize,
        /// Whether the buffer was filled.
        is_full: bool,
    },
    /// Nothing now.
    Nothing,
    /// The peer closed its side.
    Closed,
    /// The connection is broken.
    Broken,
}

/// What writing brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All is written.
    Done,
    /// The peer must read first.
    Blocked,
    /// The connection is broken.
    Broken,
}

/// A stream and what is still to be written to it.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    token: Token,
    outgoing: Vec<u8>,
    written: usize,
    wants_writable: bool,
}

/// What has become of a connection that was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectingState {
    /// Not known yet.
    Underway,
    /// It is up.
    Up,
    /// It came up and was reset at once.
    Reset,
    /// Nobody takes it.
    Failed,
}

impl Socket {
    /// Registers an accepted stream.
    pub fn accepted(mut stream: TcpStream, token: Token, registry: &Registry) -> io::Result<Self> {
        // A stream that can't be set up well still works, only slower.
        let _best_effort = stream.set_nodelay(true);
        stream.register(registry, token, Interest::READABLE)?;
        Ok(Socket { stream, token, outgoing: Vec::new(), written: 0, wants_writable: false })
    }

    /// Begins to connect; the stream is writable when it is up.
    pub fn connecting(address: SocketAddr, token: Token, registry: &Registry) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        let _best_effort = stream.set_nodelay(true);
        stream.register(registry, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Socket { stream, token, outgoing: Vec::new(), written: 0, wants_writable: true })
    }

    /// The stream itself, for socket options.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// What has become of a connection that was begun.
    pub fn connecting_state(&self) -> ConnectingState {
        match self.stream.take_error() {
            Ok(None) => {}
            // It came up and was ended before this process looked.
            Ok(Some(error)) if error.kind() == ErrorKind::ConnectionReset => return ConnectingState::Reset,
            Ok(Some(_)) | Err(_) => return ConnectingState::Failed,
        }
        match self.stream.peer_addr() {
            Ok(_) => ConnectingState::Up,
            Err(error) if error.kind() == ErrorKind::NotConnected => ConnectingState::Underway,
            Err(_) => ConnectingState::Failed,
        }
    }

    /// Reads into `buffer`.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => return ReadOutcome::Bytes { count, is_full: count == buffer.len() },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Broken,
            }
        }
    }

    /// Adds bytes and writes what the peer takes.
    pub fn write(&mut self, bytes: Vec<u8>, registry: &Registry) -> WriteOutcome {
        if self.outgoing.is_empty() {
            self.outgoing = bytes;
        } else {
            self.outgoing.extend_from_slice(&bytes);
        }
        self.flush(registry)
    }

    /// Writes what the peer takes.
    pub fn flush(&mut self, registry: &Registry) -> WriteOutcome {
        while self.written < self.outgoing.len() {
            match self.stream.write(&self.outgoing[self.written..]) {
                Ok(0) => return WriteOutcome::Broken,
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return self.watch_writable(true, registry, WriteOutcome::Blocked);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return WriteOutcome::Broken,
            }
        }
        self.outgoing = Vec::new();
        self.written = 0;
        self.watch_writable(false, registry, WriteOutcome::Done)
    }

    /// Whether all bytes have been written.
    pub fn is_flushed(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Whether bytes are waiting to be written and none of them has been.
    pub fn is_unbegun(&self) -> bool {
        !self.outgoing.is_empty() && self.written == 0
    }

    fn watch_writable(&mut self, wanted: bool, registry: &Registry, outcome: WriteOutcome) -> WriteOutcome {
        if wanted == self.wants_writable {
            return outcome;
        }
        let interest = if wanted { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        if self.stream.reregister(registry, self.token, interest).is_err() {
            return WriteOutcome::Broken;
        }
        self.wants_writable = wanted;
        outcome
    }

    /// Says that nothing more will be written.
    pub fn finish_writing(&self) {
        // A peer that is gone already needs no end.
        let _peer_may_be_gone = self.stream.shutdown(Shutdown::Write);
    }
}

/// What a socket is for, and so which component takes its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum SocketKind {
    /// A listener of the node's own server.
    Listener = 1,
    /// A connection that the node's own server has accepted.
    Inbound = 2,
    /// A connection to a searcher.
    Searcher = 3,
    /// A connection to the store.
    Store = 4,
    /// A connection to another node.
    Peer = 5,
    /// The socket of the datagrams between nodes.
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

    fn from_bits(bits: usize) -> Option<Self> {
        SocketKind::ALL.into_iter().find(|kind| *kind as usize == bits)
    }
}

/// Identity of a socket: kind, generation and slot, so that an event for a closed connection is
/// never taken for one of its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SocketId {
    /// Which component takes its events.
    pub kind: SocketKind,
    /// Rises with every connection.
    pub generation: u32,
    /// Place in the component's table.
    pub slot: u32,
}

/// Width of a slot within a token, in bits: what a token of 64 bits has left beside the generation and four
/// bits for the kind. Far more slots than a process has descriptors.
const SLOT_BITS: u32 = 28;
/// Width of a generation within a token, in bits: that of [`SocketId::generation`].
const GENERATION_BITS: u32 = u32::BITS;

impl SocketId {
    /// The token under which the socket is registered.
    pub fn token(self) -> Token {
        let kind = (self.kind as usize) << (SLOT_BITS + GENERATION_BITS);
        let generation = (self.generation as usize) << SLOT_BITS;
        Token(kind | generation | self.slot as usize)
    }

    /// The socket that a token stands for; none where no kind of socket has such a token.
    pub fn from_token(token: Token) -> Option<Self> {
        let kind = SocketKind::from_bits(token.0 >> (SLOT_BITS + GENERATION_BITS))?;
        let generation = (token.0 >> SLOT_BITS) as u32;
        let slot = (token.0 & ((1 << SLOT_BITS) - 1)) as u32;
        Some(SocketId { kind, generation, slot })
    }
}
