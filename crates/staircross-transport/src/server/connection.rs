//! The state of one accepted connection.

use super::{MAX_REQUESTS_PER_TURN, ServerTimeouts};
use crate::socket::{IoContext, Socket};
use staircross_http::{Request, ServerConnection, ServerProgress};
use staircross_types::BootTime;
use std::time::Duration;

/// Time for which a connection waits for the peer to close it after the last answer. Closing earlier could discard an
/// answer that is still on its way.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);

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

/// What follows from the time for which a connection has been without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimeoutOutcome {
    /// The connection stays.
    Stays,
    /// The connection must be closed.
    Expired,
    /// A request didn't arrive in time and must be refused.
    RequestLate,
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
    /// Number of bytes of the request that is being answered.
    pub request_bytes: usize,
    /// Number of requests that were taken in the turn `turn`.
    pub requests_in_turn: u32,
    /// The last turn in which a request was taken.
    pub turn: u64,
    /// Number of bytes that the connection is charged with.
    pub charged: usize,
}

impl<E> Connection<E> {
    /// Returns whether the next request may be taken: the last answer has been written completely. Otherwise a peer that
    /// sends requests and doesn't read the answers would fill this process's memory with them.
    pub fn can_take_request(&self) -> bool {
        self.state == State::Reading && self.socket.is_flushed()
    }

    /// Returns whether what arrives may be read: it belongs to the next request, or little was read ahead of that.
    pub fn may_read(&self, max_read_ahead: usize, turn: u64) -> bool {
        let is_expected = self.can_take_request() && self.may_take_request_in(turn);
        self.state == State::Closing || is_expected || self.http.buffered_bytes() < max_read_ahead
    }

    /// Returns whether the connection may take another request in a turn.
    pub fn may_take_request_in(&self, turn: u64) -> bool {
        self.turn != turn || self.requests_in_turn < MAX_REQUESTS_PER_TURN
    }

    /// Begins to wait for the answer to a request that is taken in a turn.
    pub fn begin_answer(&mut self, request: &Request, turn: u64) {
        if self.turn != turn {
            self.turn = turn;
            self.requests_in_turn = 0;
        }
        self.requests_in_turn += 1;
        self.state = State::AwaitingAnswer;
        self.request_bytes = request.held_bytes();
    }

    /// Ends the wait for an answer. If `closes` is set, what arrives from now on is discarded.
    pub fn end_answer(&mut self, now: BootTime, closes: bool) {
        self.last_progress = now;
        self.request_bytes = 0;
        if closes {
            self.begin_closing();
        } else {
            self.state = State::Reading;
        }
    }

    /// Takes no further requests, and drops what has arrived of them.
    pub fn begin_closing(&mut self) {
        self.state = State::Closing;
        self.http = ServerConnection::default();
    }

    /// Checks how long the connection has been without progress.
    pub fn check_timeouts(&mut self, now: BootTime, timeouts: ServerTimeouts) -> TimeoutOutcome {
        let age = now.since(self.last_progress);
        let may_close = match self.state {
            State::AwaitingAnswer => return TimeoutOutcome::Stays,
            State::Reading if self.is_request_late(now, timeouts.partial_request) => {
                self.state = State::AwaitingAnswer;
                return TimeoutOutcome::RequestLate;
            }
            State::Reading => false,
            State::Closing => self.socket.is_read_closed() || age >= CLOSE_TIMEOUT,
        };
        let is_idle = age >= timeouts.idle;
        if !may_close && !is_idle || self.is_draining(now) {
            return TimeoutOutcome::Stays;
        }
        // A peer that acknowledges nothing more has the time of an idle one.
        if is_idle || !self.socket.has_unacknowledged() { TimeoutOutcome::Expired } else { TimeoutOutcome::Stays }
    }

    /// Returns whether the peer has acknowledged bytes since this was last asked, but not all. This counts as progress.
    fn is_draining(&mut self, now: BootTime) -> bool {
        let before = self.socket.outgoing_bytes();
        let after = self.socket.measure_outgoing();
        let is_draining = after > 0 && after < before;
        if is_draining {
            self.last_progress = now;
        }
        is_draining
    }

    /// Returns the number of bytes that are held for the connection: of requests that aren't complete or answered, and of
    /// answers that the peer hasn't acknowledged.
    pub fn held_bytes(&self) -> usize {
        self.http.buffered_bytes() + self.request_bytes + self.socket.outgoing_bytes()
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
