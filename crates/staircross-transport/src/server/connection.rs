//! The state of one accepted connection.

use crate::socket::{IoContext, Socket};
use staircross_http::{ServerConnection, ServerProgress};
use staircross_types::BootTime;
use std::time::Duration;

/// Properties of an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// Round-trip time to the peer, if the operating system reports it.
    pub round_trip: Option<Duration>,
    /// Whether no earlier request has arrived on the connection.
    pub is_new: bool,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for a request.
    Reading,
    /// It waits for the node to answer a request, a fault or a timeout.
    AwaitingAnswer,
    /// It waits until the last answer is written and the peer has closed the connection.
    Closing,
}

/// An accepted connection.
pub(super) struct Connection<E> {
    pub socket: Socket,
    pub http: ServerConnection,
    pub endpoint: E,
    pub state: State,
    pub generation: u32,
    /// Time of the last progress: when the connection was accepted, last received bytes while it waited for a request,
    /// was last given an answer, or last took part of one.
    pub last_progress: BootTime,
    /// Time at which the head that is being received began to arrive.
    pub head_began: Option<BootTime>,
    /// Properties that the event of the next request states.
    pub info: ConnectionInfo,
    /// Whether reading stopped before everything that had arrived was read. There is no further readiness event for it.
    pub has_unread: bool,
}

impl<E> Connection<E> {
    /// Returns whether the next request may be taken: the last answer has been written completely. Otherwise a peer that
    /// sends requests and doesn't read the answers would fill this process's memory with them.
    pub fn can_take_request(&self) -> bool {
        self.state == State::Reading && self.socket.is_flushed()
    }

    /// Returns the number of bytes that the connection holds: of a request that isn't complete, and of an answer that the
    /// peer hasn't read.
    pub fn held_bytes(&self) -> usize {
        self.http.buffered_bytes() + self.socket.unwritten_bytes()
    }

    /// Looks for the next request in the received bytes, and records since when a head has been arriving.
    pub fn advance(&mut self, io: &IoContext<'_>) -> ServerProgress {
        let progress = self.http.advance(io.limits);
        let is_receiving_head = matches!(progress, ServerProgress::NeedMore { .. }) && self.http.has_partial_head();
        self.head_began = is_receiving_head.then(|| self.head_began.unwrap_or(io.now));
        progress
    }

    /// Returns whether a request has begun to arrive and takes too long. What arrives while an answer is being written
    /// isn't looked at yet.
    pub fn is_request_late(&self, now: BootTime, timeout: Duration) -> bool {
        let is_head_late = self.head_began.is_some_and(|began| now.since(began) >= timeout);
        let is_silent = self.http.has_partial_request() && now.since(self.last_progress) >= timeout;
        self.can_take_request() && (is_head_late || is_silent)
    }
}
