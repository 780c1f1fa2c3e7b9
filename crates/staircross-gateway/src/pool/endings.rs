//! Ends attempts and connections.
//!
//! An attempt ends with an answer, as not run, as unknown, or as cancelled. It is reported as not run only if nothing
//! of it was sent or the searcher says so. This module relies on the HTTP client connection for the answers and faults,
//! and on [`super`] for the states of connections.

use super::{AbandonCause, Assignment, ConnectionState, HTTP_MISDIRECTED_REQUEST, KEEP_ALIVE_MARGIN, Pool, PoolEvent};
use staircross_http::{Answer, ClientFault};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, NotRun, SearcherAnswer, SearcherKey, SearcherReport};
use staircross_types::BootTime;
use std::time::Duration;

/// Time after which an idle connection is closed if its searcher recently reset a fresh one, since the connections that
/// it rejects are needed more than idle ones. On days with a power loss, with 10 connections per searcher, with 14, and
/// with expensive connections, the scores are 0.618, 0.670 and 0.697 without this timeout, and 0.615, 0.740 and 0.728
/// with it.
const IDLE_TIMEOUT_AFTER_RESET: Duration = Duration::from_millis(300);
/// Time after which an idle connection is closed if it isn't the most recently used one to its searcher. A searcher
/// continues to count the connections of a machine that lost power, so connections that nobody needs take room from the
/// machines that replace it. After a loss of all machines, with 10, 14 and 20 connections per searcher, the scores are
/// 0.34, 0.64 and 0.79 with a timeout of 30 s, and 0.48, 0.79 and 0.89 with this one.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which connecting is given up if no attempt needs the connection any more. It is longer than any round
/// trip.
const UNNEEDED_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

impl Pool {
    /// Ends the attempt on a connection with its answer, then makes the connection idle or closes it.
    pub(super) fn end_with_answer(&mut self, slot: usize, answer: Answer, now: BootTime, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        connection.is_fresh = false;
        if let Some(seconds) = answer.head.headers.keep_alive_seconds() {
            connection.idle_timeout = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        }
        let state = std::mem::replace(&mut connection.state, ConnectionState::Idle);
        let is_reusable = answer.is_reusable
            && connection.socket.is_flushed()
            && !connection.idle_timeout.is_zero()
            && !connection.carried.is_full()
            && self.reuse.is_allowed(&connection.service, now);
        if let ConnectionState::Busy(assignment) = state {
            let attempt = assignment.order.attempt;
            self.slot_by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome: self.outcome_of(answer) });
        }
        if is_reusable {
            self.make_idle(slot, now);
        } else {
            // This includes connections on which a long request isn't fully written yet: no other request may follow on
            // them.
            self.connections.remove(slot);
        }
    }

    /// Derives the outcome of an attempt from the status and headers of its answer.
    fn outcome_of(&self, answer: Answer) -> AttemptOutcome {
        let headers = &answer.head.headers;
        if answer.head.status == HTTP_MISDIRECTED_REQUEST {
            return AttemptOutcome::NotRun(NotRun::OtherInstance);
        }
        if headers.first(self.names.not_executed).is_some() {
            return AttemptOutcome::NotRun(NotRun::Shed);
        }
        let stamp = headers.first(self.names.stamp).map(<[u8]>::to_vec);
        let report = SearcherReport { closes: headers.asks_to_close(), ..(self.names.report)(headers) };
        AttemptOutcome::Answered(Box::new(SearcherAnswer {
            status: answer.head.status,
            stamp,
            headers: answer.head.headers,
            body: answer.body,
            report,
        }))
    }

    /// Closes a connection after a fault and ends its attempt, if any. The outcome is unknown if any part of the
    /// attempt was sent.
    pub(super) fn fail_connection(&mut self, slot: usize, fault: ClientFault, events: &mut Vec<PoolEvent>) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        let searcher = connection.searcher;
        match connection.state {
            ConnectionState::Idle => {
                if let Some(idle) = self.idle.get_mut(&searcher) {
                    idle.retain(|known| *known != slot);
                }
            }
            ConnectionState::Connecting { assignment } => {
                self.end_attempt(assignment, AttemptOutcome::NotRun(NotRun::Unconnected), events);
            }
            ConnectionState::Proving { assignment } => {
                self.end_rejected(searcher, connection.state_since, assignment, events)
            }
            ConnectionState::Busy(assignment) if connection.socket.is_entirely_unsent() && connection.is_fresh => {
                self.end_rejected(searcher, connection.state_since, Some(assignment), events);
            }
            ConnectionState::Busy(assignment) if connection.socket.is_entirely_unsent() => {
                self.end_attempt(Some(assignment), AttemptOutcome::NotRun(NotRun::Stale), events);
            }
            ConnectionState::Busy(assignment) => {
                if connection.is_fresh {
                    self.last_resets.insert(searcher, connection.state_since);
                }
                self.counters.broken += 1;
                self.end_attempt(Some(assignment), AttemptOutcome::Unknown(unknown_cause(fault)), events);
            }
        }
    }

    /// Closes a connection that the searcher reset, closed or wrote to at the moment at which it was established.
    pub(super) fn reject_unused(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        if let ConnectionState::Connecting { assignment } = connection.state {
            self.end_rejected(connection.searcher, connection.state_since, assignment, events);
        }
    }

    /// Ends an attempt whose fresh connection failed before anything was sent on it, which is taken to mean that the
    /// searcher has reached its connection limit.
    fn end_rejected(
        &mut self,
        searcher: SearcherKey,
        at: BootTime,
        assignment: Option<Box<Assignment>>,
        events: &mut Vec<PoolEvent>,
    ) {
        self.last_resets.insert(searcher, at);
        self.counters.connections_rejected += 1;
        self.end_attempt(assignment, AttemptOutcome::NotRun(NotRun::ConnectionRejected), events);
    }

    /// Ends the assigned attempt, if any.
    fn end_attempt(
        &mut self,
        assignment: Option<Box<Assignment>>,
        outcome: AttemptOutcome,
        events: &mut Vec<PoolEvent>,
    ) {
        if let Some(assignment) = assignment {
            let attempt = assignment.order.attempt;
            self.slot_by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome });
        }
    }

    /// Closes connections that take too long to connect, that have been idle for too long, or whose abandoned attempt
    /// isn't answered in time. A connection may be idle for at most `max_idle`, and for less if its searcher would
    /// close it earlier or needs room for others.
    pub fn sweep(&mut self, now: BootTime, max_idle: Duration, events: &mut Vec<PoolEvent>) {
        let mut expired = Vec::new();
        for (slot, connection) in &self.connections {
            let age = now.since(connection.state_since);
            let is_expired = match &connection.state {
                // No attempt may use the connection, and it takes room from others.
                ConnectionState::Idle if connection.http.has_unread_bytes() => true,
                ConnectionState::Idle
                    if connection.http.has_received() && !self.reuse.is_allowed(&connection.service, now) =>
                {
                    true
                }
                ConnectionState::Idle
                    if self.policy.contested_rest && self.has_reset_recently(connection.searcher, now) =>
                {
                    age >= IDLE_TIMEOUT_AFTER_RESET
                }
                ConnectionState::Idle if self.is_surplus(slot, connection.searcher) => {
                    age >= connection.idle_timeout.min(max_idle).min(SURPLUS_IDLE_TIMEOUT)
                }
                ConnectionState::Idle => age >= connection.idle_timeout.min(max_idle),
                ConnectionState::Connecting { assignment: Some(assignment) } => age >= assignment.order.connect_timeout,
                ConnectionState::Connecting { assignment: None } => age >= UNNEEDED_CONNECT_TIMEOUT,
                ConnectionState::Proving { .. } => false,
                ConnectionState::Busy(assignment) => assignment.abandoned.is_some_and(|(until, _)| now >= until),
            };
            if is_expired {
                expired.push(slot);
            }
        }
        for slot in expired {
            self.close_expired(slot, events);
        }
    }

    /// Returns whether the most recently used idle connection to the searcher is another one.
    fn is_surplus(&self, slot: usize, searcher: SearcherKey) -> bool {
        self.idle.get(&searcher).and_then(|idle| idle.last()).is_some_and(|last| *last != slot)
    }

    /// Closes a connection whose time is over and ends its attempt, if any.
    fn close_expired(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let abandoned = match &self.connections[slot].state {
            ConnectionState::Busy(assignment) => {
                assignment.abandoned.map(|(_, cause)| (assignment.order.attempt, cause))
            }
            ConnectionState::Idle | ConnectionState::Connecting { .. } | ConnectionState::Proving { .. } => None,
        };
        let Some((attempt, cause)) = abandoned else {
            return self.fail_connection(slot, ClientFault::Reset, events);
        };
        self.connections.remove(slot);
        self.slot_by_attempt.remove(&attempt);
        let outcome = match cause {
            // These causes say nothing about the searcher.
            AbandonCause::CallerGone | AbandonCause::Quarantined => AttemptOutcome::Cancelled,
            AbandonCause::Superseded => AttemptOutcome::Unknown(Unknown::Unanswered),
        };
        events.push(PoolEvent::Ended { attempt, outcome });
    }
}

/// Returns why it is unknown whether an attempt ran, if its connection ended with `fault` after the attempt was sent.
fn unknown_cause(fault: ClientFault) -> Unknown {
    match fault {
        ClientFault::TooLong => Unknown::TooLong,
        ClientFault::Malformed => Unknown::Malformed,
        ClientFault::Ambiguous => Unknown::Ambiguous,
        ClientFault::Truncated | ClientFault::ClosedUnanswered | ClientFault::Reset => Unknown::Broken,
    }
}
