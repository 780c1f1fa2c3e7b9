//! Requests through the simulated fleet: from caller to searcher and back.

use super::{PendingSend, SimEvent, TICK, World};
use crate::sim::network::Place;
use crate::sim::records::{LateArrival, RequestRecord};
use crate::sim::searcher::{Arrival, ReplyFault, distort};
use rand::Rng;
use staircross_search::leaf::not_run;
use staircross_search::{
    LeafAction, LeafEvent, NotRunReason, Outcome, RootAction, RootEvent, SessionState, SubOutcome, SubReply,
    SubRequest, Submission, UnknownReason, Work,
};
use staircross_types::{
    ActionCommand, AttemptId, BootTime, NodeId, RequestId, SearchQuery, SearcherId, SearcherIncarnation, ServiceName,
    SessionToken, Ticket,
};
use std::time::Duration;

/// A caller's wish to act once, which it may send several times.
#[derive(Clone, Debug)]
pub(crate) struct Intent {
    pub session: usize,
    pub ticket: Ticket,
    pub note: String,
    pub service: ServiceName,
}

/// A caller's session.
#[derive(Clone, Debug)]
pub(crate) struct SimSession {
    pub token: SessionToken,
    pub node: usize,
    /// The state as last copied to other nodes.
    pub copy: Option<SessionState>,
}

/// Longest wait for a connection, as in the runtime.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Extra wait for a reply, as in the runtime.
const REPLY_GRACE: Duration = Duration::from_millis(50);
/// A late reply comes this much later, at most.
const LATE_BY: Duration = Duration::from_millis(1500);
/// Slack for a final word after the wait bound, besides pauses.
const FINAL_WORD_SLACK: Duration = Duration::from_millis(200);
/// Hits asked for: more than there are shards, so that every included shard shows.
const LIMIT: u32 = 10_000;

impl World {
    /// Opens a session at a node.
    pub fn open_session(&mut self, node: usize) -> usize {
        let token = SessionToken(self.random.random());
        self.nodes[node].root.sessions.open(self.now, token);
        let copy = self.nodes[node].root.sessions.get(token).cloned();
        self.sessions.push(SimSession { token, node, copy });
        self.sessions.len() - 1
    }

    /// The node that holds a session; moves it when that node is gone, or leaving and the caller
    /// has no request in flight there: a caller learns where to go from a reply.
    fn node_of_session(&mut self, session: usize) -> Option<usize> {
        let node = self.sessions[session].node;
        let is_waiting = self.pending.iter().any(|((holder, _), owner)| *holder == node && *owner == session);
        if self.nodes[node].is_up && (!self.nodes[node].is_stopping || is_waiting) {
            return Some(node);
        }
        let next = (0..self.nodes.len()).find(|index| self.nodes[*index].is_up && !self.nodes[*index].is_stopping)?;
        let token = self.sessions[session].token;
        if let Some(state) = self.sessions[session].copy.clone() {
            self.nodes[next].root.sessions.adopt(self.now, token, state);
        }
        self.sessions[session].node = next;
        Some(next)
    }

    /// Sends a search in a session.
    pub fn search(&mut self, session: usize, service: &ServiceName) -> Option<RequestId> {
        let node = self.node_of_session(session)?;
        let request = self.next_request(node);
        let terms = vec![format!("q{}-{}", node, request.sequence)];
        let work = Work::Search(SearchQuery { terms, limit: LIMIT, after: None });
        self.submit(node, session, request, service.clone(), work, None);
        Some(request)
    }

    /// Mints a ticket and sends an action with it; returns the intent, to be sent again.
    pub fn act(&mut self, session: usize, service: &ServiceName) -> Option<usize> {
        let node = self.node_of_session(session)?;
        let token = self.sessions[session].token;
        let ticket = Ticket { node: self.nodes[node].id, serial: self.random.random() };
        let now = self.now;
        self.nodes[node].root.sessions.touch(now, token)?.add_ticket(ticket);
        self.copy_session(session);
        let note = format!("intent-{}", self.intents.len());
        self.intents.push(Intent { session, ticket, note, service: service.clone() });
        let intent = self.intents.len() - 1;
        self.send_intent(intent);
        Some(intent)
    }

    /// Sends an intent's action, for the first time or again.
    pub fn send_intent(&mut self, intent: usize) {
        let Some(Intent { session, ticket, note, service }) = self.intents.get(intent).cloned() else {
            return;
        };
        let Some(node) = self.node_of_session(session) else {
            return;
        };
        let request = self.next_request(node);
        let work = Work::Act(ActionCommand { verb: "confirm".to_owned(), target: note.clone(), note });
        self.submit(node, session, request, service, work, Some(ticket));
    }

    /// Number of intents so far.
    pub fn intents(&self) -> usize {
        self.intents.len()
    }

    fn next_request(&mut self, node: usize) -> RequestId {
        let sequence = self.nodes[node].next_sequence;
        self.nodes[node].next_sequence += 1;
        RequestId { node: self.nodes[node].id, sequence }
    }

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
                submitted: self.now,
                outcomes: Vec::new(),
                holder_crashed: false,
                due: handled_at + wait + FINAL_WORD_SLACK,
            },
        );
        self.pending.insert((node, request.sequence), session);
        let submission = Submission {
            request,
            session: token,
            service,
            work,
            wait: None,
            least_per_mille: None,
            pinned: None,
            ticket,
        };
        if self.now < self.nodes[node].paused_until {
            // The caller's request waits in the paused process's socket.
            let at = self.nodes[node].paused_until;
            self.schedule_submission(node, at, submission);
        } else {
            self.root_event(node, RootEvent::Submit(submission));
        }
    }

    fn schedule_submission(&mut self, node: usize, at: BootTime, submission: Submission) {
        let run = self.nodes[node].runs;
        self.schedule_at(at, SimEvent::Submit { node, run, submission: Box::new(submission) });
    }

    /// Copies a session's state to other nodes, as the runtime does before a reply.
    fn copy_session(&mut self, session: usize) {
        let SimSession { token, node, .. } = self.sessions[session];
        let state = self.nodes[node].root.sessions.get(token).cloned();
        if state.is_some() {
            self.sessions[session].copy = state;
        }
    }

    pub(super) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(node) => self.tick(node),
            SimEvent::Wake(node) => {
                self.nodes[node].wake_at = BootTime::FAR_FUTURE;
                if self.nodes[node].is_up {
                    self.root_event(node, RootEvent::Tick);
                }
            }
            SimEvent::Submit { node, run, submission } => {
                if self.is_run(node, run) {
                    self.root_event(node, RootEvent::Submit(*submission));
                }
            }
            SimEvent::BeginStop { node, run } => {
                if self.is_run(node, run) {
                    self.begin_stop(node);
                }
            }
            SimEvent::LeafRequest { node, run, from, request } => {
                if self.is_run(node, run) {
                    let from = self.nodes[from].id;
                    self.leaf_event(node, LeafEvent::Request { from, request });
                }
            }
            SimEvent::LeafCancel { node, run, from, attempt } => {
                if self.is_run(node, run) {
                    let from = self.nodes[from].id;
                    self.leaf_event(node, LeafEvent::Cancel { from, attempt });
                }
            }
            SimEvent::RootReply { node, run, reply } => {
                if self.is_run(node, run) {
                    self.nodes[node].routes.remove(&reply.attempt);
                    self.root_event(node, RootEvent::Reply(reply));
                }
            }
            SimEvent::WorkerSend { node, run, request, send_before } => {
                if self.is_run(node, run) {
                    self.worker_send(node, request, send_before);
                }
            }
            SimEvent::SearcherArrival { node, run, request, has_waited } => {
                self.searcher_arrival(node, run, request, has_waited);
            }
            SimEvent::SearcherDone { searcher, incarnation, node, run, request } => {
                if self.searchers[searcher].incarnation.0 == incarnation && self.searchers[searcher].is_up {
                    self.searcher_done(searcher, node, run, request);
                }
            }
            SimEvent::LeafReply { node, run, reply, incarnation } => {
                if self.is_run(node, run) && self.nodes[node].sends.remove(&reply.attempt).is_some() {
                    self.note_refusal_heard(&reply, incarnation);
                    self.leaf_event(node, LeafEvent::Reply { reply, run: incarnation });
                }
            }
            SimEvent::SendTimeout { node, run, attempt } => self.send_timeout(node, run, attempt),
            SimEvent::ProbeArrival { node, run, searcher, asked_at } => {
                self.probe_arrival(node, run, searcher, asked_at);
            }
            SimEvent::Probed { node, run, event } => {
                if self.is_run(node, run) {
                    self.leaf_event(node, event);
                }
            }
            SimEvent::View { node, view } => {
                if self.nodes[node].is_up {
                    self.leaf_event(node, LeafEvent::PeerView(view.clone()));
                    self.root_event(node, RootEvent::View(view));
                }
            }
            SimEvent::Services { node, services } => {
                if self.nodes[node].is_up {
                    self.root_event(node, RootEvent::Services(services));
                }
            }
            SimEvent::Members { node, members } => self.take_members(node, &members),
            SimEvent::ReadList { node } => {
                if self.nodes[node].is_up {
                    let listed = self.listed.clone();
                    self.leaf_event(node, LeafEvent::Listed(listed));
                }
            }
        }
    }

    /// Whether the node still is the run that a message was meant for.
    fn is_run(&self, node: usize, run: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].runs == run
    }

    fn tick(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.root_event(node, RootEvent::Tick);
            self.leaf_event(node, LeafEvent::Tick);
            self.finish_stop_if_idle(node);
        }
        self.schedule(TICK, SimEvent::Tick(node));
    }

    fn take_members(&mut self, node: usize, members: &[staircross_cluster::Member]) {
        if !self.nodes[node].is_up {
            return;
        }
        let services = &self.services;
        let ownership = staircross_cluster::ownership::OwnershipMap::compute(members.iter(), services.iter());
        let shares = ownership.shares_of(self.nodes[node].id);
        self.nodes[node].ownership = ownership;
        self.leaf_event(node, LeafEvent::Owned(shares));
        let listed = self.listed.clone();
        self.leaf_event(node, LeafEvent::Listed(listed));
    }

    pub(super) fn do_root(&mut self, node: usize, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(request) => self.route(node, request),
                RootAction::Cancel { attempt, .. } => self.route_cancel(node, attempt),
                RootAction::Finish { request, outcome } => self.finish(node, request, outcome),
            }
        }
    }

    fn index_of(&self, id: NodeId) -> Option<usize> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn route(&mut self, node: usize, request: SubRequest) {
        let turn = request.attempt.request.sequence + u64::from(request.attempt.attempt);
        let owners = self.nodes[node].ownership.owners_in_turn(request.searcher, turn);
        let target = owners.first().and_then(|owner| self.index_of(*owner));
        let Some(target) = target else {
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.reply_to_root(node, node, reply);
            return;
        };
        self.nodes[node].routes.insert(request.attempt, target);
        if target == node {
            let from = self.nodes[node].id;
            self.leaf_event(node, LeafEvent::Request { from, request });
            return;
        }
        let (from, to) = (Place::Node(node), Place::Node(target));
        let delay = self.delay_between(from, to);
        if !self.nodes[target].is_up || !self.network.is_open(from, to) {
            // A peer that can't be connected to: certainly not delivered.
            let reply = not_run(&request, NotRunReason::NotOwner);
            self.schedule_root_reply(node, delay, reply);
            return;
        }
        let run = self.nodes[target].runs;
        self.schedule(delay, SimEvent::LeafRequest { node: target, run, from: node, request });
    }

    fn route_cancel(&mut self, node: usize, attempt: AttemptId) {
        let Some(target) = self.nodes[node].routes.remove(&attempt) else {
            return;
        };
        let run = self.nodes[target].runs;
        let delay = self.delay_between(Place::Node(node), Place::Node(target));
        if target == node {
            let from = self.nodes[node].id;
            self.leaf_event(node, LeafEvent::Cancel { from, attempt });
        } else if self.network.is_open(Place::Node(node), Place::Node(target)) {
            self.schedule(delay, SimEvent::LeafCancel { node: target, run, from: node, attempt });
        }
    }

    fn schedule_root_reply(&mut self, node: usize, after: Duration, reply: SubReply) {
        let run = self.nodes[node].runs;
        self.schedule(after, SimEvent::RootReply { node, run, reply });
    }

    pub(super) fn reply_to_root(&mut self, from: usize, to: usize, reply: SubReply) {
        let (source, target) = (Place::Node(from), Place::Node(to));
        if from != to && !self.network.is_open(source, target) {
            return;
        }
        let delay = if from == to { Duration::ZERO } else { self.delay_between(source, target) };
        self.schedule_root_reply(to, delay, reply);
    }

    pub(super) fn do_leaf(&mut self, node: usize, actions: Vec<LeafAction>) {
        for action in actions {
            match action {
                LeafAction::Send { request, send_before } => {
                    // A worker thread takes over; a pause may come in between.
                    let run = self.nodes[node].runs;
                    let searcher = request.searcher.0 as usize;
                    let pending = PendingSend { request: request.clone(), searcher, has_arrived: false };
                    self.nodes[node].sends.insert(request.attempt, pending);
                    let delay = self.random_up_to(Duration::from_micros(100));
                    self.schedule(delay, SimEvent::WorkerSend { node, run, request, send_before });
                }
                LeafAction::CancelAtSearcher { .. } => {}
                LeafAction::Probe { searcher } => self.send_probe(node, searcher),
                LeafAction::Reply { to, reply } => {
                    if let Some(target) = self.index_of(to) {
                        self.reply_to_root(node, target, reply);
                    }
                }
                LeafAction::Spread(view) => {
                    for other in 0..self.nodes.len() {
                        let at_most = self.settings.news_delay;
                        let delay = if other == node { Duration::ZERO } else { self.random_up_to(at_most) };
                        self.schedule(delay, SimEvent::View { node: other, view: view.clone() });
                    }
                }
            }
        }
    }

    fn worker_send(&mut self, node: usize, request: SubRequest, send_before: BootTime) {
        let run = self.nodes[node].runs;
        if self.now >= send_before {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(Duration::ZERO, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let searcher = request.searcher.0 as usize;
        let (from, to) = (Place::Node(node), Place::Searcher(searcher));
        if !self.network.is_open(from, to) {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(CONNECT_TIMEOUT, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let delay = self.delay_between(from, to);
        if !self.searchers[searcher].is_up {
            let reply = not_run(&request, NotRunReason::Unconnected);
            self.schedule(delay * 2, SimEvent::LeafReply { node, run, reply, incarnation: None });
            return;
        }
        let attempt = request.attempt;
        self.schedule(request.remaining + REPLY_GRACE, SimEvent::SendTimeout { node, run, attempt });
        self.schedule(delay, SimEvent::SearcherArrival { node, run, request, has_waited: false });
    }

    fn searcher_arrival(&mut self, node: usize, run: u64, request: SubRequest, has_waited: bool) {
        let index = request.searcher.0 as usize;
        // New work counts when it gets to the machine, however long a paused process lets it wait.
        if let (false, Some(since)) = (has_waited, self.searchers[index].leaving_since) {
            let after_ms = self.now.since(since).as_millis() as u64;
            self.history.late_arrivals.push(LateArrival { searcher: request.searcher, after_ms });
        }
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::SearcherArrival { node, run, request, has_waited: true });
            return;
        }
        if !self.searchers[index].is_up {
            return;
        }
        if let Some(pending) = self.nodes[node].sends.get_mut(&request.attempt) {
            pending.has_arrived = true;
        }
        match self.searchers[index].arrive(self.now, node, &request, &mut self.random) {
            Arrival::Started(span) => self.start_work(index, node, run, request, span),
            Arrival::Queued => {}
            Arrival::Refused(reason) => {
                let reply = not_run(&request, reason);
                self.reply_from_searcher(index, node, run, reply, Duration::ZERO);
            }
        }
    }

    /// From here on somebody knows that the searcher leaves, whatever its state endpoint says.
    fn note_refusal_heard(&mut self, reply: &SubReply, incarnation: Option<SearcherIncarnation>) {
        let searcher = &mut self.searchers[reply.searcher.0 as usize];
        let is_refusal = reply.outcome == SubOutcome::NotRun(NotRunReason::Draining);
        if is_refusal && searcher.refuses && incarnation == Some(searcher.incarnation) {
            searcher.leaving_since.get_or_insert(self.now);
        }
    }

    fn start_work(&mut self, searcher: usize, node: usize, run: u64, request: SubRequest, span: Duration) {
        self.started_sub_requests += 1;
        let record = self.searchers[searcher].run_record(&request);
        self.history.runs.push(record);
        let incarnation = self.searchers[searcher].incarnation.0;
        self.schedule(span, SimEvent::SearcherDone { searcher, incarnation, node, run, request });
    }

    fn searcher_done(&mut self, index: usize, node: usize, run: u64, request: SubRequest) {
        self.searchers[index].active -= 1;
        let true_reply = self.searchers[index].true_reply(&request);
        let fault = self.searchers[index].faults.pop_front();
        let reply = match fault {
            Some(fault) => distort(fault, true_reply),
            None => Some(true_reply),
        };
        if let Some(reply) = reply {
            let late = if fault == Some(ReplyFault::Late) { self.random_up_to(LATE_BY) } else { Duration::ZERO };
            if fault == Some(ReplyFault::Doubled) {
                self.reply_from_searcher(index, node, run, reply.clone(), Duration::from_millis(3));
            }
            self.reply_from_searcher(index, node, run, reply, late);
        }
        self.start_queued(index);
    }

    fn start_queued(&mut self, index: usize) {
        while self.searchers[index].active < self.searchers[index].slots {
            let Some((node, request, good_until)) = self.searchers[index].queue.pop_front() else {
                return;
            };
            let run = self.nodes[node].runs;
            if self.now >= good_until {
                let reply = not_run(&request, NotRunReason::Shed);
                self.reply_from_searcher(index, node, run, reply, Duration::ZERO);
                continue;
            }
            self.searchers[index].active += 1;
            let span = self.searchers[index].time_for(self.now, &request, &mut self.random);
            self.start_work(index, node, run, request, span);
        }
    }

    fn reply_from_searcher(&mut self, searcher: usize, node: usize, run: u64, reply: SubReply, later: Duration) {
        let (from, to) = (Place::Searcher(searcher), Place::Node(node));
        if self.network.is_open(from, to) {
            let delay = self.delay_between(from, to) + later;
            let incarnation = Some(self.searchers[searcher].incarnation);
            self.schedule(delay, SimEvent::LeafReply { node, run, reply, incarnation });
        }
    }

    fn send_timeout(&mut self, node: usize, run: u64, attempt: AttemptId) {
        if !self.is_run(node, run) {
            return;
        }
        let Some(pending) = self.nodes[node].sends.remove(&attempt) else {
            return;
        };
        let searcher = SearcherId(pending.searcher as u32);
        let outcome = SubOutcome::Unknown(UnknownReason::Late);
        let reply =
            SubReply { attempt, searcher, snapshot: pending.request.snapshot, outcome, worked: Default::default() };
        self.leaf_event(node, LeafEvent::Reply { reply, run: None });
    }

    fn send_probe(&mut self, node: usize, searcher: SearcherId) {
        let index = searcher.0 as usize;
        let run = self.nodes[node].runs;
        let asked_at = self.now;
        let (from, to) = (Place::Node(node), Place::Searcher(index));
        let delay = self.delay_between(from, to);
        if self.searchers[index].is_up && self.network.is_open(from, to) {
            self.schedule(delay, SimEvent::ProbeArrival { node, run, searcher: index, asked_at });
        } else {
            let event = LeafEvent::Probed { searcher, asked_at, evidence: None };
            self.schedule(delay * 2, SimEvent::Probed { node, run, event });
        }
    }

    fn probe_arrival(&mut self, node: usize, run: u64, index: usize, asked_at: BootTime) {
        let paused_until = self.searchers[index].paused_until;
        if self.now < paused_until {
            self.schedule_at(paused_until, SimEvent::ProbeArrival { node, run, searcher: index, asked_at });
            return;
        }
        let (from, to) = (Place::Searcher(index), Place::Node(node));
        if !self.searchers[index].is_up || !self.network.is_open(from, to) {
            return;
        }
        let evidence = Some(self.searchers[index].evidence());
        let searcher = self.searchers[index].id;
        let delay = self.delay_between(from, to);
        let event = LeafEvent::Probed { searcher, asked_at, evidence };
        self.schedule(delay, SimEvent::Probed { node, run, event });
    }

    fn finish(&mut self, node: usize, request: RequestId, outcome: Outcome) {
        let now = self.now;
        let own: Vec<AttemptId> = {
            let routes = &self.nodes[node].routes;
            routes.keys().filter(|attempt| attempt.request == request).copied().collect()
        };
        for attempt in own {
            self.nodes[node].routes.remove(&attempt);
        }
        match self.history.requests.get_mut(&request) {
            Some(record) => record.outcomes.push((now, outcome)),
            None => self.history.unknown_outcomes += 1,
        }
        if let Some(session) = self.pending.remove(&(node, request.sequence)) {
            self.copy_session(session);
        }
    }
}
