//! Simulated searchers around a driver. A sub-request occupies a slot for its work time and queues while all slots
//! are busy.

use super::{Driver, answer};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_routing::engine::SendOrder;
use staircross_routing::{AttemptKey, AttemptOutcome, NotRun, RequestKey, RequestOutcome, RoutingEvent};
use staircross_types::{BootTime, ErrorKind};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Most sub-requests that a searcher queues; it sheds any further ones.
const MAX_QUEUED: usize = 30;

/// One simulated searcher.
struct Backend {
    /// Factor by which its work takes longer than usual.
    slowness: f64,
    busy: usize,
    queue: VecDeque<AttemptKey>,
}

/// Numbers of requests by how they ended: answered within the goal, answered later, refused as overloaded, or failed.
#[derive(Debug, Default)]
pub struct Tally {
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
}

impl Tally {
    pub fn total(&self) -> usize {
        self.in_time + self.late + self.refused + self.failed
    }

    fn of(ends: impl Iterator<Item = EndedRequest>, goal: Duration) -> Tally {
        let mut tally = Tally::default();
        for end in ends {
            match end.outcome {
                RequestOutcome::Merged(_) | RequestOutcome::Passed(_) if end.took <= goal => tally.in_time += 1,
                RequestOutcome::Merged(_) | RequestOutcome::Passed(_) => tally.late += 1,
                RequestOutcome::Refused { kind: ErrorKind::Overloaded, .. } => tally.refused += 1,
                RequestOutcome::Refused { .. } => tally.failed += 1,
            }
        }
        tally
    }

    pub fn fraction(&self, count: usize) -> f64 {
        count as f64 / self.total().max(1) as f64
    }
}

/// A request that has ended.
struct EndedRequest {
    arrived: BootTime,
    took: Duration,
    outcome: RequestOutcome,
}

/// A driver and the simulated searchers that run its attempts.
pub struct Backends {
    pub driver: Driver,
    pub work_time: Duration,
    /// Time from the start of an attempt until its connection is established.
    pub connect_time: Duration,
    slots: usize,
    backends: HashMap<String, Backend>,
    /// Attempts at work by the time at which their work ends; a sequence number keeps equal times in order.
    ends: BinaryHeap<Reverse<(BootTime, u64, AttemptKey)>>,
    instances: HashMap<AttemptKey, String>,
    /// Times at which attempts get their connections, in ascending order.
    connects: VecDeque<(BootTime, AttemptKey)>,
    started_sends: usize,
    tallied_ends: usize,
    arrived: HashMap<RequestKey, BootTime>,
    sequence: u64,
    random: ChaCha8Rng,
}

impl Backends {
    pub fn new(driver: Driver, slots: usize, work_time: Duration) -> Self {
        Backends {
            driver,
            work_time,
            connect_time: Duration::ZERO,
            slots,
            backends: HashMap::new(),
            ends: BinaryHeap::new(),
            instances: HashMap::new(),
            connects: VecDeque::new(),
            started_sends: 0,
            tallied_ends: 0,
            arrived: HashMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(11),
        }
    }

    pub fn set_slowness(&mut self, instance: &str, slowness: f64) {
        self.backend(instance).slowness = slowness;
    }

    fn backend(&mut self, instance: &str) -> &mut Backend {
        let fresh = || Backend { slowness: 1.0, busy: 0, queue: VecDeque::new() };
        self.backends.entry(instance.to_owned()).or_insert_with(fresh)
    }

    /// Offers requests at an even rate for `span`, with the paths taken in turn.
    pub fn offer(&mut self, paths: &[&str], per_second: f64, span: Duration) {
        let end = self.driver.now + span;
        let gap = Duration::from_secs_f64(1.0 / per_second);
        let mut next = self.driver.now;
        let mut count = 0;
        while next < end {
            self.run_until(next);
            let request = self.driver.request(paths[count % paths.len()]);
            self.arrived.insert(request, next);
            self.start_new_sends();
            count += 1;
            next = next + gap;
        }
        self.run_until(end);
    }

    /// Returns a tally of the requests that ended since the last call. Answers within `goal` are in time.
    pub fn tally(&mut self, goal: Duration) -> Tally {
        let ends = self.ends_from(self.tallied_ends);
        self.tallied_ends = self.driver.finished.len();
        Tally::of(ends.into_iter(), goal)
    }

    /// Returns a tally of the ended requests that arrived at or after `from` and before `until`.
    pub fn tally_of_arrivals(&self, goal: Duration, from: BootTime, until: BootTime) -> Tally {
        let arrived_in_span = |end: &EndedRequest| from <= end.arrived && end.arrived < until;
        Tally::of(self.ends_from(0).into_iter().filter(arrived_in_span), goal)
    }

    fn ends_from(&self, first: usize) -> Vec<EndedRequest> {
        let finished = self.driver.finished.iter().zip(&self.driver.finished_at).skip(first);
        let end = |((request, outcome), at): (&(RequestKey, RequestOutcome), &BootTime)| {
            let arrived = self.arrived[request];
            EndedRequest { arrived, took: at.since(arrived), outcome: outcome.clone() }
        };
        finished.map(end).collect()
    }

    fn run_until(&mut self, end: BootTime) {
        while let Some(Reverse((at, _, attempt))) = self.ends.peek().copied() {
            if at > end {
                break;
            }
            self.ends.pop();
            self.connect_until(at);
            self.driver.advance(self.driver.now.until(at));
            self.start_new_sends();
            self.finish_work(attempt);
            self.start_new_sends();
        }
        self.connect_until(end);
        self.driver.advance(self.driver.now.until(end));
        self.start_new_sends();
    }

    fn connect_until(&mut self, end: BootTime) {
        while let Some((at, attempt)) = self.connects.pop_front_if(|(at, _)| *at <= end) {
            self.driver.advance(self.driver.now.until(at));
            self.driver.event(RoutingEvent::Begun { attempt });
        }
    }

    fn start_new_sends(&mut self) {
        while self.started_sends < self.driver.sends.len() {
            let order = self.driver.sends[self.started_sends].clone();
            self.started_sends += 1;
            self.enqueue(&order);
        }
    }

    fn enqueue(&mut self, order: &SendOrder) {
        let instance = order.instance.to_string();
        let slots = self.slots;
        let backend = self.backend(&instance);
        if backend.busy < slots {
            backend.busy += 1;
            self.start_work(&instance, order.attempt);
        } else if backend.queue.len() < MAX_QUEUED {
            backend.queue.push_back(order.attempt);
        } else {
            return self.driver.end(order.attempt, AttemptOutcome::NotRun(NotRun::Shed));
        }
        self.instances.insert(order.attempt, instance);
    }

    fn start_work(&mut self, instance: &str, attempt: AttemptKey) {
        let spread = self.random.random_range(0.6..1.4);
        let work_time = self.work_time.mul_f64(self.backend(instance).slowness * spread);
        self.sequence += 1;
        let end = self.driver.now + self.connect_time + work_time;
        self.ends.push(Reverse((end, self.sequence, attempt)));
        if !self.connect_time.is_zero() {
            self.connects.push_back((self.driver.now + self.connect_time, attempt));
        }
    }

    fn finish_work(&mut self, attempt: AttemptKey) {
        let instance = self.instances.remove(&attempt).expect("the attempt is running");
        let backend = self.backend(&instance);
        match backend.queue.pop_front() {
            Some(next) => self.start_work(&instance, next),
            None => backend.busy -= 1,
        }
        self.driver.end(attempt, answer(200, "stamp", Vec::new()));
    }
}
