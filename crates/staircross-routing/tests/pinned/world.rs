//! A simulation of one engine and its searchers, which have slots, queues and connections, and which answer, reject,
//! crash and restart in simulated time.

use super::journal::Journal;
use crate::common::{HOST, answer, records};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_quota::QuotaMessage;
use staircross_routing::engine::SendOrder;
use staircross_routing::state::request::Unknown;
use staircross_routing::{
    Arrival, AttemptKey, AttemptOutcome, CallerLink, ConfigurationView, ContentKey, Credential, NotRun, ReportedLoad,
    RequestKey, RouteTable, RoutingAction, RoutingDefinition, RoutingEngine, RoutingEvent, RoutingSettings,
    SearcherEntry, SearcherKey,
};
use staircross_types::{BootTime, NodeId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

type Step = Box<dyn FnOnce(&mut World)>;

/// Time at which all scenarios start.
pub const START: BootTime = BootTime::from_millis(1_000_000);
/// Time between the regular ticks, in milliseconds; the engine's wake-up times add others.
const TICK_INTERVAL_MS: u64 = 250;
/// Most sub-requests that a searcher queues; it sheds any further ones.
const MAX_QUEUED: usize = 30;

/// One simulated searcher.
pub struct Searcher {
    pub entry: SearcherEntry,
    /// Factor by which its work takes longer than usual.
    pub slowness: f64,
    /// Most connections that it accepts.
    pub max_connections: usize,
    /// Time until a connection is established, in milliseconds.
    pub connect_ms: u64,
    pub is_reachable: bool,
    /// Fraction of its answers that have status 500.
    pub failure_fraction: f64,
    open_connections: usize,
    busy: usize,
    queue: VecDeque<AttemptKey>,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Connecting,
    Queued,
    Running,
}

struct Attempt {
    instance: String,
    searcher: SearcherKey,
    phase: Phase,
}

/// One engine, its searchers and the attempts between them.
pub struct World {
    pub engine: RoutingEngine,
    pub now: BootTime,
    pub journal: Journal,
    pub random: ChaCha8Rng,
    pub searchers: BTreeMap<String, Searcher>,
    /// Usual time of work in milliseconds.
    pub work_ms: f64,
    /// Contents that crash the searchers that run them.
    pub crashing_contents: BTreeSet<u64>,
    /// Quota messages to peers that the test hasn't delivered yet.
    pub outbox: Vec<(NodeId, Vec<QuotaMessage>)>,
    steps: BTreeMap<(BootTime, u64), Step>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    contents: BTreeMap<RequestKey, u64>,
    sequence: u64,
    next_request: u64,
}

impl World {
    pub fn new(settings: RoutingSettings, definition: Option<RoutingDefinition>, entries: Vec<SearcherEntry>) -> Self {
        let mut world = World {
            engine: RoutingEngine::new(settings),
            now: START,
            journal: Journal::default(),
            random: ChaCha8Rng::seed_from_u64(5),
            searchers: BTreeMap::new(),
            work_ms: 20.0,
            crashing_contents: BTreeSet::new(),
            outbox: Vec::new(),
            steps: BTreeMap::new(),
            attempts: BTreeMap::new(),
            contents: BTreeMap::new(),
            sequence: 0,
            next_request: 1,
        };
        if let Some(definition) = definition {
            world.configure(definition);
        }
        if !entries.is_empty() {
            world.start(entries);
        }
        world.tick_regularly();
        world
    }

    pub fn configure(&mut self, definition: RoutingDefinition) {
        self.event(RoutingEvent::Configuration(Arc::new(RouteTable::new(Arc::new(definition)))));
    }

    /// Starts searchers and tells the engine of their entries.
    pub fn start(&mut self, entries: Vec<SearcherEntry>) {
        for entry in &entries {
            let searcher = Searcher {
                entry: entry.clone(),
                slowness: 1.0,
                max_connections: 40,
                connect_ms: 0,
                is_reachable: true,
                failure_fraction: 0.0,
                open_connections: 0,
                busy: 0,
                queue: VecDeque::new(),
            };
            self.searchers.entry(entry.instance.to_string()).or_insert(searcher);
        }
        self.event(RoutingEvent::Searchers(entries));
    }

    /// Sends a tick to the engine and schedules the next one.
    fn tick_regularly(&mut self) {
        self.event(RoutingEvent::Tick);
        self.after(TICK_INTERVAL_MS as f64, World::tick_regularly);
    }

    /// Schedules a step at a time in milliseconds since the start.
    pub fn at(&mut self, millis: f64, step: impl FnOnce(&mut World) + 'static) {
        self.sequence += 1;
        let time = START + Duration::from_micros((millis * 1000.0) as u64);
        self.steps.insert((time, self.sequence), Box::new(step));
    }

    /// Schedules a step after a time in milliseconds from now.
    pub fn after(&mut self, millis: f64, step: impl FnOnce(&mut World) + 'static) {
        let since = self.now.since(START).as_secs_f64() * 1000.0;
        self.at(since + millis, step);
    }

    /// Runs the simulation until a time in milliseconds since the start.
    pub fn run(&mut self, millis: u64) {
        let end = START + Duration::from_millis(millis);
        loop {
            let step = self.steps.first_key_value().map_or(BootTime::FAR_FUTURE, |((at, _), _)| *at);
            let wake = self.engine.next_wake().unwrap_or(BootTime::FAR_FUTURE);
            if step.min(wake) > end {
                break;
            }
            if wake < step {
                self.now = self.now.max(wake);
                self.event(RoutingEvent::Tick);
            } else if let Some(((at, _), step)) = self.steps.pop_first() {
                self.now = self.now.max(at);
                step(self);
            }
        }
        self.now = end;
    }

    /// Returns the arrival of a new request with a content of its own, without sending it to the engine.
    pub fn arrival(&mut self, path: &str) -> Arrival {
        let key = RequestKey(self.next_request);
        self.next_request += 1;
        Arrival {
            key,
            host: HOST.to_owned(),
            path: path.to_owned(),
            caller_timeout: None,
            waited: Duration::ZERO,
            is_overloaded: false,
            newest_version: 0,
            configuration_view: ConfigurationView::Current,
            knows_searchers: true,
            link: CallerLink::default(),
            content: ContentKey(key.0 << 20),
            credential: Credential::Missing,
        }
    }

    /// Schedules requests at random times within `span` (in milliseconds since the start), at a mean rate of `per_s`.
    /// `change` adjusts each arrival, given its number.
    pub fn offer(&mut self, span: (f64, f64), per_s: f64, path: &'static str, change: fn(&mut Arrival, usize)) {
        let (mut at, mut number) = (span.0, 0);
        while at < span.1 {
            self.at(at, move |world| {
                let mut arrival = world.arrival(path);
                change(&mut arrival, number);
                world.arrive(arrival);
            });
            number += 1;
            at += -(1.0 - self.random.random::<f64>()).ln() * 1000.0 / per_s;
        }
    }

    pub fn arrive(&mut self, arrival: Arrival) {
        self.contents.insert(arrival.key, arrival.content.0);
        self.event(RoutingEvent::Arrived(arrival));
    }

    /// Tells the engine that the callers of the newest requests have disconnected.
    pub fn disconnect_newest_callers(&mut self, count: u64) {
        let newest = self.next_request.saturating_sub(count)..self.next_request;
        newest.for_each(|key| self.event(RoutingEvent::CallerGone(RequestKey(key))));
    }

    /// Passes an event to the engine, records the requested actions in the journal and simulates their effects.
    pub fn event(&mut self, event: RoutingEvent) {
        let mut actions = Vec::new();
        self.engine.on_event(self.now, event, &mut actions);
        for action in &actions {
            self.journal.record_action(self.now, action);
        }
        for action in actions {
            match action {
                RoutingAction::Send(order) => self.connect(&order),
                RoutingAction::Abandon { attempt, answer_timeout, .. } => self.abandon(attempt, answer_timeout),
                RoutingAction::Recall { attempt } if self.phase(attempt) == Some(Phase::Connecting) => {
                    self.after(0.1, move |world| world.end_attempt(attempt, AttemptOutcome::Cancelled));
                }
                RoutingAction::SendQuotas { to, messages } => self.outbox.push((to, messages)),
                _ => {}
            }
        }
    }

    fn phase(&self, attempt: AttemptKey) -> Option<Phase> {
        self.attempts.get(&attempt).map(|attempt| attempt.phase)
    }

    fn connect(&mut self, order: &SendOrder) {
        let (key, instance) = (order.attempt, order.instance.to_string());
        let searcher = self.searchers.get_mut(&instance).expect("only searchers that were started are asked");
        searcher.open_connections += 1;
        let (is_full, connect_ms) = (searcher.open_connections > searcher.max_connections, searcher.connect_ms);
        let is_reachable = searcher.is_reachable;
        self.attempts.insert(key, Attempt { instance, searcher: order.searcher, phase: Phase::Connecting });
        if !is_reachable {
            self.after(3.0, move |world| world.end_attempt(key, AttemptOutcome::NotRun(NotRun::Unconnected)));
        } else if is_full {
            self.after(1.0, move |world| world.end_attempt(key, AttemptOutcome::NotRun(NotRun::ConnectionRejected)));
        } else if connect_ms > 0 {
            self.after(connect_ms as f64, move |world| world.complete_connection(key, connect_ms));
        } else {
            self.enqueue(key);
        }
    }

    fn complete_connection(&mut self, key: AttemptKey, connect_ms: u64) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let searcher = attempt.searcher;
        self.event(RoutingEvent::Connected { searcher, took: Duration::from_millis(connect_ms) });
        self.event(RoutingEvent::Begun { attempt: key });
        self.enqueue(key);
    }

    fn enqueue(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.phase = Phase::Queued;
        let searcher = self.searchers.get_mut(&attempt.instance).expect("the searcher was started");
        if searcher.queue.len() >= MAX_QUEUED {
            self.after(0.5, move |world| world.end_attempt(key, AttemptOutcome::NotRun(NotRun::Shed)));
            return;
        }
        searcher.queue.push_back(key);
        let instance = attempt.instance.clone();
        self.start_next(&instance);
    }

    fn start_next(&mut self, instance: &str) {
        let searcher = self.searchers.get_mut(instance).expect("the searcher was started");
        if searcher.busy >= searcher.entry.slots as usize {
            return;
        }
        let Some(key) = searcher.queue.pop_front() else { return };
        searcher.busy += 1;
        let took = self.work_ms * searcher.slowness * self.random.random_range(0.6..1.4);
        self.attempts.get_mut(&key).expect("the attempt was queued").phase = Phase::Running;
        self.after(took, move |world| world.finish_work(key));
    }

    fn finish_work(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let instance = attempt.instance.clone();
        if self.crashing_contents.contains(&self.contents[&key.request]) {
            return self.crash(&instance);
        }
        let searcher = &self.searchers[&instance];
        let load = ReportedLoad {
            running: searcher.busy as u32,
            waiting: searcher.queue.len() as u32,
            slots: searcher.entry.slots,
            host_slowness: (searcher.slowness > 2.0).then_some((searcher.slowness * 100.0) as u32),
        };
        let status = if self.random.random_bool(searcher.failure_fraction) { 500 } else { 200 };
        let body = records(&[key.request.0 as u8, instance.len() as u8, key.number as u8]);
        let mut outcome = answer(status, &instance, body);
        if let AttemptOutcome::Answered(answer) = &mut outcome {
            answer.report.load = Some(load);
        }
        self.end_attempt(key, outcome);
    }

    /// Crashes a searcher, which breaks its attempts. Its entry is removed after 0.4 s, and an instance that replaces
    /// it starts after 4 s.
    pub fn crash(&mut self, instance: &str) {
        self.searchers.get_mut(instance).expect("the searcher was started").is_reachable = false;
        let its_attempts = self.attempts.iter().filter(|(_, attempt)| attempt.instance == instance);
        let keys: Vec<AttemptKey> = its_attempts.map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.end_attempt(key, AttemptOutcome::Unknown(Unknown::Broken)));
        let gone = instance.to_owned();
        self.after(400.0, move |world| world.event(RoutingEvent::SearchersGone(vec![Arc::from(gone)])));
        let mut entry = self.searchers[instance].entry.clone();
        entry.instance = Arc::from(format!("{}+", entry.instance));
        entry.born_ms = 1 + self.now.since(START).as_millis() as u64;
        self.after(4000.0, move |world| world.start(vec![entry]));
    }

    /// Ends an abandoned attempt: a running one after the engine's answer_timeout, any other after 0.2 ms.
    fn abandon(&mut self, key: AttemptKey, answer_timeout: Duration) {
        let outcome = match self.phase(key) {
            Some(Phase::Running) => AttemptOutcome::Unknown(Unknown::Unanswered),
            Some(_) => AttemptOutcome::Cancelled,
            None => return,
        };
        let is_running = matches!(outcome, AttemptOutcome::Unknown(_));
        let wait = if is_running { answer_timeout.as_secs_f64() * 1000.0 } else { 0.2 };
        self.after(wait, move |world| world.end_attempt(key, outcome));
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let searcher = self.searchers.get_mut(&attempt.instance).expect("the searcher was started");
        searcher.open_connections -= 1;
        searcher.queue.retain(|queued| *queued != key);
        searcher.busy -= usize::from(attempt.phase == Phase::Running);
        self.event(RoutingEvent::Ended { attempt: key, outcome });
        self.start_next(&attempt.instance);
    }
}
