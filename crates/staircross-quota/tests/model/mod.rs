//! Simulates a fleet of rate limiters on a network that loses, delays, duplicates and partitions, and records what all
//! of them admit of one tenant.

mod admissions;
mod schedule;

pub use schedule::{AdmissionKind, Callers, Fault, Outcome, Schedule, Scheme, WorstWindow};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_quota::{FleetRateLimiter, FleetView, QuotaBound, QuotaEnvelope, QuotaMessage};
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const TENANT: &str = "tenant";
pub const BOUND: QuotaBound = QuotaBound { window: Duration::from_secs(5), over: 0.25, slack: 20.0 };
/// Length of a schedule.
pub const END_S: f64 = 26.0;
/// Time at which the fault of a schedule begins.
pub const FAULT_S: f64 = 10.0;
const PEAK_RETENTION_S: f64 = 30.0;
/// Time between two membership probes of a node.
const PROBE_INTERVAL_S: f64 = 0.2;
/// Time without a datagram of the membership after which a node regards itself as isolated.
const ISOLATED_AFTER_S: f64 = 0.8;

enum Event {
    Request,
    Message {
        to: NodeId,
        from: NodeId,
        message: QuotaMessage,
    },
    Tick(usize),
    /// The node's view becomes the nodes that it reaches.
    RefreshView(usize),
    Fault,
    /// The fault ends: all nodes reach each other again.
    Heal,
    Stop(usize),
    Kill(usize),
    Start(usize),
    ChangeQuota(usize),
    /// The node's view misses a random part of the other nodes.
    IncompleteView(usize),
    /// The node probes another node, as the membership does.
    Probe(usize),
    /// A datagram of the membership arrives at the node.
    MembershipDatagram(usize),
}

struct Bucket {
    level: f64,
    refilled_at: f64,
}

struct Node {
    id: NodeId,
    rate_limiter: FleetRateLimiter,
    view: Vec<NodeId>,
    /// Largest number of nodes seen lately, and when.
    peak: (usize, f64),
    /// Bucket with the node's fixed share of the quota.
    share_bucket: Bucket,
    quota: Quota,
    is_up: bool,
    is_serving: bool,
    /// Time at which the last datagram of the membership arrived.
    last_datagram_at: f64,
    /// Nodes reach each other only if they are in the same group.
    group: usize,
    next_tick: f64,
}

#[derive(Clone, Copy)]
struct AdmittedRequest {
    at: f64,
    node: usize,
    kind: AdmissionKind,
}

pub struct Simulation {
    schedule: Schedule,
    scheme: Scheme,
    random: ChaCha8Rng,
    /// Separate from `random`, so that the membership's probes don't change what else is drawn in a schedule.
    probe_random: ChaCha8Rng,
    nodes: Vec<Node>,
    events: BTreeMap<(u64, u64), Event>,
    /// Orders events of the same time.
    sequence: u64,
    now: f64,
    next_id: u128,
    admitted: Vec<AdmittedRequest>,
    /// Bucket with the whole quota that sees every request.
    reference_bucket: Bucket,
    /// Bucket of a tenant that limits itself to a part of its quota.
    caller_bucket: Bucket,
    outcome: Outcome,
}

fn boot_time(seconds: f64) -> BootTime {
    BootTime(1_000_000_000 + (seconds * 1e6) as u64)
}

impl Simulation {
    pub fn new(schedule: Schedule, scheme: Scheme) -> Self {
        let mut simulation = Simulation {
            random: ChaCha8Rng::seed_from_u64(schedule.seed),
            probe_random: ChaCha8Rng::seed_from_u64(!schedule.seed),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: 0.0,
            next_id: 1,
            admitted: Vec::new(),
            reference_bucket: Bucket { level: schedule.quota.burst, refilled_at: 0.0 },
            caller_bucket: Bucket { level: 0.0, refilled_at: 0.0 },
            outcome: Outcome::default(),
            schedule,
            scheme,
        };
        for _ in 0..simulation.schedule.nodes {
            let node = simulation.new_node(true, simulation.schedule.quota);
            simulation.nodes.push(node);
        }
        (0..simulation.nodes.len()).for_each(|node| simulation.refresh_view(node));
        for node in 0..simulation.nodes.len() {
            let first = simulation.probe_random.random_range(0.0..PROBE_INTERVAL_S);
            simulation.schedule_at(first, Event::Probe(node));
        }
        simulation.schedule_at(FAULT_S, Event::Fault);
        simulation.schedule_next_request();
        simulation
    }

    fn new_node(&mut self, is_first: bool, quota: Quota) -> Node {
        // A restarted node has a new identity, as in a real fleet.
        self.next_id += 1;
        let id = NodeId(u128::from(self.random.random::<u64>()) << 64 | self.next_id);
        let mut rate_limiter = FleetRateLimiter::new(BOUND, id, boot_time(self.now), is_first);
        rate_limiter.set_quotas(boot_time(self.now), [(Arc::from(TENANT), quota)].into_iter());
        let level = if is_first { self.random.random::<f64>() } else { 0.0 };
        let share_bucket = Bucket { level, refilled_at: self.now };
        let peak = (8, self.now);
        Node {
            id,
            rate_limiter,
            view: vec![id],
            peak,
            share_bucket,
            quota,
            is_up: true,
            is_serving: true,
            last_datagram_at: self.now,
            group: 0,
            next_tick: f64::MAX,
        }
    }

    pub fn run(mut self) -> Outcome {
        while let Some(((micros, _), event)) = self.events.pop_first() {
            self.now = micros as f64 / 1e6;
            if self.now >= END_S {
                break;
            }
            self.handle(event);
        }
        let (worst, first, last) = self.worst_window();
        self.outcome.worst = worst;
        self.outcome.window = self.window_by_kind(first, last);
        self.outcome
    }

    fn schedule_at(&mut self, seconds: f64, event: Event) {
        self.sequence += 1;
        self.events.insert(((seconds * 1e6) as u64, self.sequence), event);
    }

    fn schedule_after(&mut self, min_delay: f64, max_delay: f64, event: Event) {
        let delay = self.random.random_range(min_delay..max_delay);
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => {
                self.handle_request();
                self.schedule_next_request();
            }
            Event::Message { to, from, message } => {
                let Some(node) = self.nodes.iter().position(|node| node.id == to && node.is_up) else {
                    return;
                };
                let mut envelopes = Vec::new();
                self.nodes[node].rate_limiter.on_message(boot_time(self.now), from, message, &mut envelopes);
                self.send(node, envelopes);
            }
            Event::Tick(node) => {
                self.nodes[node].next_tick = f64::MAX;
                if !self.nodes[node].is_up {
                    return;
                }
                let mut envelopes = Vec::new();
                self.nodes[node].rate_limiter.on_tick(boot_time(self.now), &mut envelopes);
                self.send(node, envelopes);
            }
            Event::Probe(node) => self.probe(node),
            Event::MembershipDatagram(node) => {
                self.nodes[node].last_datagram_at = self.now;
                self.nodes[node].rate_limiter.set_isolated(false);
            }
            Event::RefreshView(node) => self.refresh_view(node),
            Event::Fault => self.begin_fault(),
            Event::Heal => {
                self.nodes.iter_mut().for_each(|node| node.group = 0);
                (0..self.nodes.len()).for_each(|node| self.schedule_after(0.2, 1.0, Event::RefreshView(node)));
            }
            Event::Stop(node) => {
                self.nodes[node].is_serving = false;
                (0..self.nodes.len()).for_each(|other| self.schedule_after(0.05, 0.3, Event::RefreshView(other)));
                self.schedule_at(self.now + 1.0, Event::Kill(node));
            }
            Event::Kill(node) => {
                self.nodes[node].is_up = false;
                self.nodes[node].is_serving = false;
            }
            Event::Start(node) => {
                let quota = self.nodes[node].quota;
                self.nodes[node] = self.new_node(false, quota);
                (0..self.nodes.len()).for_each(|other| self.schedule_after(0.05, 0.4, Event::RefreshView(other)));
            }
            Event::ChangeQuota(node) => {
                let factor = if self.schedule.fault == Fault::QuotaDown { 1.0 / 3.0 } else { 2.0 };
                let quota = scaled(self.schedule.quota, factor);
                self.nodes[node].quota = quota;
                let quotas = [(Arc::from(TENANT), quota)].into_iter();
                self.nodes[node].rate_limiter.set_quotas(boot_time(self.now), quotas);
            }
            Event::IncompleteView(node) => {
                let own = self.nodes[node].id;
                let others = self.nodes.iter().map(|other| other.id);
                let view: Vec<NodeId> = others.filter(|id| *id == own || self.random.random_bool(0.8)).collect();
                self.set_view(node, view);
            }
        }
    }

    fn probe(&mut self, node: usize) {
        self.schedule_at(self.now + PROBE_INTERVAL_S, Event::Probe(node));
        let state = &mut self.nodes[node];
        if !state.is_up {
            return;
        }
        if self.now - state.last_datagram_at >= ISOLATED_AFTER_S {
            state.rate_limiter.set_isolated(true);
        }
        let (group, count) = (state.group, state.view.len());
        let target = state.view[self.probe_random.random_range(0..count)];
        let is_target = |other: &Node| other.id == target && other.is_up && other.group == group;
        let Some(target) = self.nodes.iter().position(is_target).filter(|target| *target != node) else {
            return;
        };
        let [request_delay, reply_delay] = [(); 2].map(|()| self.probe_random.random_range(0.001..0.030));
        let [is_request_delivered, is_reply_delivered] =
            [(); 2].map(|()| !self.probe_random.random_bool(self.schedule.loss_rate));
        if is_request_delivered {
            self.schedule_at(self.now + request_delay, Event::MembershipDatagram(target));
        }
        if is_request_delivered && is_reply_delivered {
            self.schedule_at(self.now + request_delay + reply_delay, Event::MembershipDatagram(node));
        }
    }

    fn begin_fault(&mut self) {
        let count = self.nodes.len();
        match self.schedule.fault {
            Fault::None => {}
            Fault::ThirdCut => (0..count / 3).for_each(|node| self.nodes[node].group = 1 + node),
            Fault::Halves => (0..count / 2).for_each(|node| self.nodes[node].group = 1),
            Fault::KillAll => {
                for node in 0..count {
                    self.handle(Event::Kill(node));
                    self.schedule_after(0.5, 1.5, Event::Start(node));
                }
            }
            Fault::Roll => {
                for node in 0..count {
                    let at = self.now + 0.4 * node as f64;
                    self.schedule_at(at, Event::Stop(node));
                    self.schedule_at(at + 1.6, Event::Start(node));
                }
            }
            Fault::KillFifth => {
                (0..count / 5).for_each(|node| self.handle(Event::Kill(node)));
                let owner = self.nodes[count - 1].rate_limiter.view(boot_time(self.now), TENANT).map(|view| view.owner);
                let owner = self.nodes.iter().position(|node| Some(node.id) == owner).unwrap_or(0);
                self.handle(Event::Kill(owner));
            }
            Fault::WrongMembership => {
                for node in 0..count {
                    self.schedule_after(0.0, 0.2, Event::IncompleteView(node));
                    self.schedule_after(2.8, 3.2, Event::RefreshView(node));
                }
            }
            Fault::QuotaDown | Fault::QuotaUp => {
                (0..count).for_each(|node| self.schedule_after(0.0, 1.0, Event::ChangeQuota(node)));
            }
        }
        if matches!(self.schedule.fault, Fault::ThirdCut | Fault::Halves | Fault::KillFifth) {
            (0..count).for_each(|node| self.schedule_after(2.5, 3.3, Event::RefreshView(node)));
            self.schedule_at(self.now + 8.0, Event::Heal);
        }
    }

    fn refresh_view(&mut self, node: usize) {
        let group = self.nodes[node].group;
        let seen = |other: &&Node| other.is_serving && other.group == group;
        let view = self.nodes.iter().filter(seen).map(|other| other.id).collect();
        self.set_view(node, view);
    }

    fn set_view(&mut self, node: usize, view: Vec<NodeId>) {
        let now = self.now;
        let state = &mut self.nodes[node];
        if view.len() >= state.peak.0 || now - state.peak.1 > PEAK_RETENTION_S {
            state.peak = (view.len(), now);
        }
        let fleet = FleetView { serving: view.clone() };
        state.rate_limiter.set_fleet(boot_time(now), fleet);
        state.view = view;
        self.send(node, Vec::new());
    }

    fn send(&mut self, node: usize, envelopes: Vec<QuotaEnvelope>) {
        for QuotaEnvelope { to, message } in envelopes {
            self.outcome.datagrams += 1;
            let from = self.nodes[node].id;
            let group = self.nodes[node].group;
            let is_reachable = self.nodes.iter().any(|other| other.id == to && other.is_up && other.group == group);
            if !is_reachable || self.random.random_bool(self.schedule.loss_rate) {
                continue;
            }
            self.schedule_after(0.001, 0.030, Event::Message { to, from, message });
            if self.random.random_bool(self.schedule.duplication_rate) {
                self.schedule_after(0.001, 0.200, Event::Message { to, from, message });
            }
        }
        if let Some(wake) = self.nodes[node].rate_limiter.next_wake() {
            let due = (wake.0 - 1_000_000_000) as f64 / 1e6;
            let due = due.max(self.now) + self.random.random_range(0.0..0.01);
            if due < self.nodes[node].next_tick {
                self.nodes[node].next_tick = due;
                self.schedule_at(due, Event::Tick(node));
            }
        }
    }

    fn schedule_next_request(&mut self) {
        let is_hot = self.now >= self.schedule.hot_start_s;
        let factor = if is_hot { self.schedule.hot_factor } else { 1.0 };
        let demand = self.schedule.quota.rate_per_s * self.schedule.base_demand * factor;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / demand;
        // A change of demand must not be skipped by a long gap.
        let at = self.now + gap;
        let change = self.schedule.hot_start_s;
        self.schedule_at(if self.now + 1e-3 < change && at > change { change } else { at }, Event::Request);
    }

    fn handle_request(&mut self) {
        let count = self.nodes.len();
        let first = match self.schedule.callers {
            Callers::Spread => self.random.random_range(0..count),
            Callers::OneNode => 0,
            Callers::Moving => self.now as usize * 7 % count,
        };
        let Some(node) = (0..count).map(|step| (first + step) % count).find(|node| self.nodes[*node].is_serving) else {
            return;
        };
        if !self.may_send() {
            return;
        }
        self.outcome.requests += 1;
        let is_admitted_by_reference = self.is_admitted_by_reference(node);
        let view_before = self.nodes[node].rate_limiter.view(boot_time(self.now), TENANT);
        let is_admitted = match self.scheme {
            Scheme::Owner => self.nodes[node].rate_limiter.try_admit(boot_time(self.now), TENANT).is_ok(),
            Scheme::FixedShares => self.take_fixed_share(node, 0.0),
            Scheme::FixedSharesAndOne => self.take_fixed_share(node, 1.0),
        };
        if is_admitted {
            let kind = self.classify_admission(node, view_before);
            self.admitted.push(AdmittedRequest { at: self.now, node, kind });
        } else {
            self.outcome.refused += 1;
        }
        self.outcome.reference_admissions += f64::from(u8::from(is_admitted_by_reference));
        self.outcome.shortfall =
            self.outcome.shortfall.max(self.outcome.reference_admissions - self.admitted.len() as f64);
        self.send(node, Vec::new());
    }

    /// Returns whether the tenant sends a request that it has; a tenant that limits itself may not.
    fn may_send(&mut self) -> bool {
        let Some((rate_fraction, burst_fraction)) = self.schedule.self_limit else {
            return true;
        };
        let quota = self.schedule.quota;
        let level =
            self.caller_bucket.level + (self.now - self.caller_bucket.refilled_at) * quota.rate_per_s * rate_fraction;
        self.caller_bucket = Bucket { level: level.min(quota.burst * burst_fraction).max(0.0), refilled_at: self.now };
        let may_send = self.caller_bucket.level >= 1.0;
        self.caller_bucket.level -= f64::from(u8::from(may_send));
        may_send
    }

    /// Returns whether one bucket with the node's whole quota admits the request.
    fn is_admitted_by_reference(&mut self, node: usize) -> bool {
        let quota = self.nodes[node].quota;
        let level = self.reference_bucket.level + (self.now - self.reference_bucket.refilled_at) * quota.rate_per_s;
        self.reference_bucket = Bucket { level: level.min(quota.burst.max(1.0)), refilled_at: self.now };
        let is_admitted_by_reference = self.reference_bucket.level >= 1.0;
        self.reference_bucket.level -= f64::from(u8::from(is_admitted_by_reference));
        is_admitted_by_reference
    }

    /// Decides by a bucket with the node's fixed share of the quota.
    fn take_fixed_share(&mut self, node: usize, extra_burst: f64) -> bool {
        let node = &mut self.nodes[node];
        let fleet = node.peak.0.max(node.view.len()) as f64;
        let capacity = (node.quota.burst / fleet + extra_burst).max(1.0);
        let level =
            node.share_bucket.level + (self.now - node.share_bucket.refilled_at) * node.quota.rate_per_s / fleet;
        node.share_bucket = Bucket { level: level.min(capacity), refilled_at: self.now };
        let is_admitted = node.share_bucket.level >= 1.0;
        node.share_bucket.level -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

fn scaled(quota: Quota, factor: f64) -> Quota {
    Quota { rate_per_s: quota.rate_per_s * factor, burst: quota.burst * factor }
}
