//! Callers of the simulated fleet: their sessions, their requests and the outcomes.

use super::{SimEvent, World};
use crate::sim::records::RequestRecord;
use rand::Rng;
use staircross_search::{Outcome, RootEvent, SessionState, Submission, Work};
use staircross_types::{ActionCommand, AttemptId, BootTime, RequestId, SearchQuery, ServiceName, SessionToken, Ticket};
use std::time::Duration;

/// An action that must be executed at most once. The caller may send it several times with the same ticket.
#[derive(Clone, Debug)]
pub(crate) struct Intent {
    /// Index of the session.
    pub session: usize,
    pub ticket: Ticket,
    /// Text of the action, which is unique to the intent.
    pub note: String,
    pub service: ServiceName,
}

/// A session of a caller.
#[derive(Clone, Debug)]
pub(crate) struct SimSession {
    pub token: SessionToken,
    /// Index of the node that holds the session.
    pub node: usize,
    /// Session state that was copied to other nodes last.
    pub replicated_state: Option<SessionState>,
}

/// Time after the wait bound within which a request must get its outcome. Pauses of the node extend it.
const OUTCOME_SLACK: Duration = Duration::from_millis(200);
/// Number of hits that a search requests. It exceeds the number of shards, so that the answer has a hit of every
/// included shard.
const HIT_LIMIT: u32 = 10_000;

impl World {
    /// Opens a session at a node and returns its index.
    pub fn open_session(&mut self, node: usize) -> usize {
        let token = SessionToken(self.random.random());
        self.nodes[node].root.sessions.open(self.now, token);
        let replicated_state = self.nodes[node].root.sessions.get(token).cloned();
        self.sessions.push(SimSession { token, node, replicated_state });
        self.sessions.len() - 1
    }

    /// Returns the node that holds a session, and moves the session to another node where needed.
    ///
    /// A session moves if its node is down. It also moves if its node is stopping and the caller has no request in
    /// flight there: replies of a stopping node name the node that the caller should use next. Returns `None` if no
    /// node can take the session.
    fn node_for_session(&mut self, session: usize) -> Option<usize> {
        let node = self.sessions[session].node;
        let is_waiting = self.open_requests.iter().any(|((holder, _), asking)| *holder == node && *asking == session);
        if self.nodes[node].is_up && (!self.nodes[node].is_stopping || is_waiting) {
            return Some(node);
        }
        let next = (0..self.nodes.len()).find(|index| self.nodes[*index].is_up && !self.nodes[*index].is_stopping)?;
        let token = self.sessions[session].token;
        if let Some(state) = self.sessions[session].replicated_state.clone() {
            self.nodes[next].root.sessions.adopt(self.now, token, state);
        }
        self.sessions[session].node = next;
        Some(next)
    }

    /// Sends a search in a session. Returns the request id, or `None` if no node can take the session.
    pub fn search(&mut self, session: usize, service: &ServiceName) -> Option<RequestId> {
        let node = self.node_for_session(session)?;
        let request = self.next_request_id(node);
        let terms = vec![format!("q{}-{}", node, request.sequence)];
        let work = Work::Search(SearchQuery { terms, limit: HIT_LIMIT, after: None });
        self.submit(node, session, request, service.clone(), work, None);
        Some(request)
    }

    /// Mints a ticket and sends an action with it. Returns the index of the intent, with which it can be sent again.
    pub fn act(&mut self, session: usize, service: &ServiceName) -> Option<usize> {
        let node = self.node_for_session(session)?;
        let token = self.sessions[session].token;
        let ticket = Ticket { node: self.nodes[node].id, serial: self.random.random() };
        let now = self.now;
        self.nodes[node].root.sessions.touch(now, token)?.add_ticket(ticket);
        self.replicate_session(session);
        let note = format!("intent-{}", self.intents.len());
        self.intents.push(Intent { session, ticket, note, service: service.clone() });
        let intent = self.intents.len() - 1;
        self.send_intent(intent);
        Some(intent)
    }

    /// Sends the action of an intent, for the first time or again.
    pub fn send_intent(&mut self, intent: usize) {
        let Some(Intent { session, ticket, note, service }) = self.intents.get(intent).cloned() else {
            return;
        };
        let Some(node) = self.node_for_session(session) else {
            return;
        };
        let request = self.next_request_id(node);
        let work = Work::Act(ActionCommand { verb: "confirm".to_owned(), target: note.clone(), note });
        self.submit(node, session, request, service, work, Some(ticket));
    }

    /// Returns the number of intents so far.
    pub fn intent_count(&self) -> usize {
        self.intents.len()
    }

    fn next_request_id(&mut self, node: usize) -> RequestId {
        let sequence = self.nodes[node].next_sequence;
        self.nodes[node].next_sequence += 1;
        RequestId { node: self.nodes[node].id, sequence }
    }

    /// Records a request in the history and passes it to the root of a node, at the end of the pause if the node is
    /// paused.
    fn submit(
        &mut self,
        node: usize,
        session: usize,
        request: RequestId,
        service: ServiceName,
        work: Work,
        ticket: Option<Ticket>,
    ) {
        let token = self.sessions[session].token;
        let wait = self.services.iter().find(|definition| definition.name == service);
        let wait = wait.map_or(Duration::ZERO, |definition| definition.policy.wait());
        let handled_at = self.now.max(self.nodes[node].paused_until);
        self.history.requests.insert(
            request,
            RequestRecord {
                request,
                session: token,
                service: service.clone(),
                work: work.clone(),
                ticket,
                submitted_at: self.now,
                outcomes: Vec::new(),
                node_crashed: false,
                outcome_due: handled_at + wait + OUTCOME_SLACK,
            },
        );
        self.open_requests.insert((node, request.sequence), session);
        let submission = Submission {
            request,
            session: token,
            service,
            work,
            wait: None,
            least_coverage_per_mille: None,
            pinned: None,
            ticket,
        };
        if self.now < self.nodes[node].paused_until {
            // The request waits in the socket of the paused process.
            let at = self.nodes[node].paused_until;
            self.schedule_submission(node, at, submission);
        } else {
            self.handle_root_event(node, RootEvent::Submit(submission));
        }
    }

    fn schedule_submission(&mut self, node: usize, at: BootTime, submission: Submission) {
        let generation = self.nodes[node].generation;
        self.schedule_at(at, SimEvent::Submit { node, generation, submission: Box::new(submission) });
    }

    /// Copies the state of a session for other nodes, as a node's runtime does before it replies.
    fn replicate_session(&mut self, session: usize) {
        let SimSession { token, node, .. } = self.sessions[session];
        let state = self.nodes[node].root.sessions.get(token).cloned();
        if state.is_some() {
            self.sessions[session].replicated_state = state;
        }
    }

    /// Records the outcome of a request and closes its attempts.
    pub(super) fn record_outcome(&mut self, node: usize, request: RequestId, outcome: Outcome) {
        let now = self.now;
        let own: Vec<AttemptId> = {
            let attempt_targets = &self.nodes[node].attempt_targets;
            attempt_targets.keys().filter(|attempt| attempt.request == request).copied().collect()
        };
        for attempt in own {
            self.nodes[node].attempt_targets.remove(&attempt);
        }
        match self.history.requests.get_mut(&request) {
            Some(record) => record.outcomes.push((now, outcome)),
            None => self.history.unmatched_outcomes += 1,
        }
        if let Some(session) = self.open_requests.remove(&(node, request.sequence)) {
            self.replicate_session(session);
        }
    }
}
