//! A root with two searchers, to which a test sends events.

use staircross_config::{Priority, SearcherDefinition, ServiceDefinition, ServicePolicy};
use staircross_search::view::ProbeReport;
use staircross_search::{
    Answer, Outcome, RootAction, RootEngine, RootEvent, RootSettings, SearcherView, SubOutcome, SubReply, SubRequest,
    Submission, Work,
};
use staircross_types::{
    ActionCommand, BootTime, ErrorKind, GroupId, Hit, NodeId, RequestId, SearchQuery, SearcherId, SearcherIncarnation,
    ServiceName, SessionToken, ShardHits, ShardId, ShardMap, ShardPlacement, Snapshot, Ticket, ZoneName,
};
use std::sync::Arc;
use std::time::Duration;

/// The node that the root runs on.
pub const NODE: NodeId = NodeId(9);

/// The session of all requests.
pub const SESSION: SessionToken = SessionToken(77);

/// The snapshot that searchers hold at first.
pub const OLD: Snapshot = Snapshot { version: 1, epoch: 1, build: 1 };

/// The snapshot that follows [`OLD`].
pub const NEW: Snapshot = Snapshot { version: 2, epoch: 1, build: 1 };

/// A root with two searchers, each of which has both shards. It collects the sub-requests and outcomes that the root
/// produces.
pub struct RootFixture {
    pub root: RootEngine,
    pub now: BootTime,
    pub sent: Vec<SubRequest>,
    pub finished: Vec<(RequestId, Outcome)>,
    pub next_sequence: u64,
}

/// The policy of service `s`, which takes searches.
pub fn policy() -> ServicePolicy {
    ServicePolicy {
        wait_ms: 300,
        least_coverage_per_mille: 500,
        priority: Priority::Coverage,
        repeatable: true,
        hedge_per_mille: 1000,
        retry_per_mille: 1000,
    }
}

/// The policy of service `a`, which takes actions.
pub fn action_policy() -> ServicePolicy {
    ServicePolicy { repeatable: false, hedge_per_mille: 0, retry_per_mille: 0, ..policy() }
}

/// Defines a service of both searchers, each with both shards of the snapshots.
pub fn definition(name: &str, policy: ServicePolicy, snapshots: &[Snapshot]) -> Arc<ServiceDefinition> {
    let searcher = |id: u32| SearcherDefinition {
        id: SearcherId(id),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: ZoneName::new("z"),
        group: GroupId(1),
        slots: 5,
        connections: 65,
    };
    let map = |snapshot: &Snapshot| ShardMap {
        snapshot: *snapshot,
        shards: (0..2)
            .map(|shard| ShardPlacement { shard: ShardId(shard), replicas: vec![SearcherId(1), SearcherId(2)] })
            .collect(),
    };
    Arc::new(ServiceDefinition {
        name: ServiceName::new(name),
        policy,
        searchers: vec![searcher(1), searcher(2)],
        shard_maps: snapshots.iter().map(map).collect(),
    })
}

impl RootFixture {
    /// Creates a root whose searchers hold the snapshot `OLD`.
    pub fn new() -> Self {
        let root = RootEngine::new(NODE, RootSettings::default(), 1);
        let now = BootTime::from_millis(1000);
        let mut fixture = RootFixture { root, now, sent: Vec::new(), finished: Vec::new(), next_sequence: 1 };
        fixture.define_services(&[OLD]);
        fixture.root.sessions.open(now, SESSION);
        fixture.report_snapshots(1, &[OLD]);
        fixture.report_snapshots(2, &[OLD]);
        fixture
    }

    /// Defines both services with these snapshots.
    pub fn define_services(&mut self, snapshots: &[Snapshot]) {
        let services = vec![definition("s", policy(), snapshots), definition("a", action_policy(), snapshots)];
        self.send_event(RootEvent::Services(services));
    }

    /// Reports that a searcher holds these snapshots.
    pub fn report_snapshots(&mut self, searcher: u32, snapshots: &[Snapshot]) {
        let incarnation = SearcherIncarnation(u128::from(searcher));
        let report = Some(ProbeReport { incarnation, snapshots: snapshots.to_vec(), draining: false });
        self.send_event(RootEvent::View(SearcherView { searcher: SearcherId(searcher), report, leaving: false }));
    }

    /// Sends an event to the root and collects the resulting actions.
    pub fn send_event(&mut self, event: RootEvent) {
        let mut actions = Vec::new();
        self.root.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                RootAction::Send(request) => self.sent.push(request),
                RootAction::Finish { request, outcome } => self.finished.push((request, outcome)),
                RootAction::Cancel { .. } => {}
            }
        }
    }

    /// Advances the clock and lets due timers run.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.send_event(RootEvent::Tick);
    }

    pub fn submit(&mut self, service: &str, work: Work, ticket: Option<Ticket>) {
        let request = RequestId { node: NODE, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.send_event(RootEvent::Submit(Submission {
            request,
            session: SESSION,
            service: ServiceName::new(service),
            work,
            wait: None,
            least_coverage_per_mille: None,
            pinned: None,
            ticket,
        }));
    }

    pub fn submit_search(&mut self) {
        self.submit("s", Work::Search(SearchQuery { terms: vec!["x".into()], limit: 10, after: None }), None);
    }

    /// Adds a new ticket to the session.
    pub fn add_ticket(&mut self) -> Ticket {
        let ticket = Ticket { node: NODE, serial: self.next_sequence };
        if let Some(session) = self.root.sessions.touch(self.now, SESSION) {
            session.add_ticket(ticket);
        }
        ticket
    }

    pub fn submit_action(&mut self, ticket: Ticket) {
        let command = ActionCommand { verb: "confirm".into(), target: "pitch".into(), note: "n".into() };
        self.submit("a", Work::Act(command), Some(ticket));
    }

    /// Replies to the sub-request at this index of `sent`.
    pub fn answer(&mut self, index: usize, outcome: SubOutcome) {
        let request = self.sent[index].clone();
        let reply = SubReply {
            attempt: request.attempt,
            searcher: request.searcher,
            snapshot: request.snapshot,
            outcome,
            worked: Default::default(),
        };
        self.send_event(RootEvent::Reply(reply));
    }

    /// Replies to the sub-request at this index of `sent` with one hit for each of its shards.
    pub fn answer_with_hits(&mut self, index: usize) {
        let outcome = SubOutcome::Found(self.sent[index].shards.iter().map(|shard| hits(*shard)).collect());
        self.answer(index, outcome);
    }

    pub fn last_answer(&self) -> &Answer {
        match self.finished.last() {
            Some((_, Outcome::Answer(answer))) => answer,
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    pub fn last_refusal(&self) -> ErrorKind {
        match self.finished.last() {
            Some((_, Outcome::Refusal(refusal))) => refusal.kind,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
}

/// Builds the result of a shard with one hit.
pub fn hits(shard: ShardId) -> ShardHits {
    let hit = Hit { document: format!("d{shard}"), shard, score: 1.0, title: String::new() };
    ShardHits { shard, matched: 1, hits: vec![hit] }
}
