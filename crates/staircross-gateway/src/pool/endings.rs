//! How attempts and connections end.
//!
//! An attempt ends with its answer, as not run, or in doubt; not run is said only where nothing of it was sent or the
//! searcher says so. Relies on the client half of HTTP for what came on a connection, and on [`super`] for its state.

use super::{AbandonCause, Assignment, MISDIRECTED, Pool, PoolEvent, REST_GUARD, State};
use staircross_http::{Answer, ClientFault};
use staircross_routing::state::request::Unknown;
use staircross_routing::{AttemptOutcome, NotRun, SearcherAnswer, SearcherKey};
use staircross_types::BootTime;
use std::time::Duration;

/// Rest of a connection to a searcher that has rejected others lately: they need it more. Measured on days with a loss of
/// power, with 10, 14 and dear connections a searcher: scores of 0.618, 0.670 and 0.697 before, 0.615, 0.740 and 0.728 with this.
const CONTESTED_REST: Duration = Duration::from_millis(300);
/// Rest of a connection besides the one used last. A searcher goes on counting the connections of a machine
/// that lost power, so that those which nobody needs are in the way of the machines that replace it. Measured with 10, 14
/// and 20 connections a searcher after a loss of all machines: scores of 0.34, 0.64 and 0.79 with 30 s, 0.48, 0.79 and 0.89 with this.
const SURPLUS_REST: Duration = Duration::from_millis(1500);
/// Longest wait for a connection to come up that no attempt needs any more. Above any round trip.
const UNNEEDED_CONNECT: Duration = Duration::from_secs(1);

impl Pool {
    pub(super) fn answered(&mut self, slot: usize, answer: Answer, now: BootTime, events: &mut Vec<PoolEvent>) {
        let connection = &mut self.connections[slot];
        connection.is_fresh = false;
        if let Some(seconds) = answer.head.headers.keep_alive_seconds() {
            connection.rest = Duration::from_secs(seconds).saturating_sub(REST_GUARD);
        }
        let state = std::mem::replace(&mut connection.state, State::Idle);
        let is_reusable = answer.is_reusable && connection.socket.is_flushed() && !connection.rest.is_zero();
        if let State::Busy(assignment) = state {
            let attempt = assignment.order.attempt;
            self.by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome: self.outcome_of(answer) });
        }
        if is_reusable {
            self.rest(slot, now);
        } else {
            // What is left of a long request may not be followed by anything else, so it ends here.
            self.connections.remove(slot);
        }
    }

    fn outcome_of(&self, answer: Answer) -> AttemptOutcome {
        let headers = &answer.head.headers;
        if answer.head.status == MISDIRECTED {
            return AttemptOutcome::NotRun(NotRun::OtherInstance);
        }
        if headers.first(self.names.not_executed).is_some() {
            return AttemptOutcome::NotRun(NotRun::Shed);
        }
        let stamp = headers.first(self.names.stamp).map(<[u8]>::to_vec);
        let report = (self.names.report)(headers);
        AttemptOutcome::Answered(Box::new(SearcherAnswer {
            status: answer.head.status,
            stamp,
            headers: answer.head.headers,
            body: answer.body,
            report,
        }))
    }

    /// Ends a connection; its attempt, if any, may have run if anything was sent.
    pub(super) fn fail(&mut self, slot: usize, fault: ClientFault, events: &mut Vec<PoolEvent>) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        let searcher = connection.searcher;
        match connection.state {
            State::Idle => {
                if let Some(resting) = self.resting.get_mut(&searcher) {
                    resting.retain(|known| *known != slot);
                }
            }
            State::Connecting { assignment } => {
                self.end_attempt(assignment, AttemptOutcome::NotRun(NotRun::Unconnected), events);
            }
            State::Proving { assignment } => self.reject_connection(searcher, connection.since, assignment, events),
            State::Busy(assignment) if connection.socket.is_entirely_unsent() && connection.is_fresh => {
                self.reject_connection(searcher, connection.since, Some(assignment), events);
            }
            State::Busy(assignment) if connection.socket.is_entirely_unsent() => {
                self.end_attempt(Some(assignment), AttemptOutcome::NotRun(NotRun::Stale), events);
            }
            State::Busy(assignment) => {
                if connection.is_fresh {
                    self.resets.insert(searcher, connection.since);
                }
                self.counters.broken += 1;
                self.end_attempt(Some(assignment), AttemptOutcome::Unknown(unknown_after(fault)), events);
            }
        }
    }

    /// Ends a connection that came up and was reset before this process could use it.
    pub(super) fn on_reset_at_once(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        if let State::Connecting { assignment } = connection.state {
            self.reject_connection(connection.searcher, connection.since, assignment, events);
        }
    }

    /// A searcher has reset a fresh connection on which nothing was sent: it has as many as it takes.
    fn reject_connection(
        &mut self,
        searcher: SearcherKey,
        at: BootTime,
        assignment: Option<Box<Assignment>>,
        events: &mut Vec<PoolEvent>,
    ) {
        self.resets.insert(searcher, at);
        self.counters.connections_rejected += 1;
        self.end_attempt(assignment, AttemptOutcome::NotRun(NotRun::ConnectionRejected), events);
    }

    fn end_attempt(
        &mut self,
        assignment: Option<Box<Assignment>>,
        outcome: AttemptOutcome,
        events: &mut Vec<PoolEvent>,
    ) {
        if let Some(assignment) = assignment {
            let attempt = assignment.order.attempt;
            self.by_attempt.remove(&attempt);
            events.push(PoolEvent::Ended { attempt, outcome });
        }
    }

    /// Ends connections that don't come up, whose answers nobody waits for, or that rest too long: longer than
    /// their searcher keeps them, or than `most_rest`.
    pub fn sweep(&mut self, now: BootTime, most_rest: Duration, events: &mut Vec<PoolEvent>) {
        let mut over = Vec::new();
        for (slot, connection) in &self.connections {
            let age = now.since(connection.since);
            let is_over = match &connection.state {
                State::Idle if self.policy.contested_rest && self.is_contested(connection.searcher, now) => {
                    age >= CONTESTED_REST
                }
                State::Idle if self.is_surplus(slot, connection.searcher) => {
                    age >= connection.rest.min(most_rest).min(SURPLUS_REST)
                }
                State::Idle => age >= connection.rest.min(most_rest),
                State::Connecting { assignment: Some(assignment) } => age >= assignment.order.connect_timeout,
                State::Connecting { assignment: None } => age >= UNNEEDED_CONNECT,
                State::Proving { .. } => false,
                State::Busy(assignment) => assignment.abandoned.is_some_and(|(until, _)| now >= until),
            };
            if is_over {
                over.push(slot);
            }
        }
        for slot in over {
            self.end(slot, events);
        }
    }

    /// Whether another connection to the same searcher has rested for less long.
    fn is_surplus(&self, slot: usize, searcher: SearcherKey) -> bool {
        self.resting.get(&searcher).and_then(|resting| resting.last()).is_some_and(|last| *last != slot)
    }

    /// Ends a connection by this node's own decision.
    fn end(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let abandoned = match &self.connections[slot].state {
            State::Busy(assignment) => assignment.abandoned.map(|(_, cause)| (assignment.order.attempt, cause)),
            State::Idle | State::Connecting { .. } | State::Proving { .. } => None,
        };
        let Some((attempt, cause)) = abandoned else {
            return self.fail(slot, ClientFault::Reset, events);
        };
        self.connections.remove(slot);
        self.by_attempt.remove(&attempt);
        let outcome = match cause {
            // The searcher isn't to blame.
            AbandonCause::CallerGone | AbandonCause::Quarantined => AttemptOutcome::Cancelled,
            AbandonCause::Superseded => AttemptOutcome::Unknown(Unknown::Unanswered),
        };
        events.push(PoolEvent::Ended { attempt, outcome });
    }
}

/// What is known of an attempt that was sent and whose connection ended in a fault.
fn unknown_after(fault: ClientFault) -> Unknown {
    match fault {
        ClientFault::TooLong => Unknown::TooLong,
        ClientFault::Malformed => Unknown::Malformed,
        ClientFault::Truncated | ClientFault::ClosedUnanswered | ClientFault::Reset => Unknown::Broken,
    }
}
