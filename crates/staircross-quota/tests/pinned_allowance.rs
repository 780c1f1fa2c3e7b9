//! Pins, as one digest for each kind, what five rate limiters admit, refuse and send each other over a network with
//! delays and a partition.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_quota::{FleetRateLimiter, FleetView, QuotaBound, QuotaEnvelope, QuotaMessage};
use staircross_types::{BootTime, NodeId, Quota};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

const NODES: [NodeId; 5] = [NodeId(21), NodeId(22), NodeId(23), NodeId(24), NodeId(25)];
const BOUND: QuotaBound = QuotaBound { window: Duration::from_secs(5), over: 0.25, slack: 20.0 };
const STEP_MS: u64 = 5;

struct Fleet {
    nodes: Vec<FleetRateLimiter>,
    /// Messages in transit, by the step of their arrival.
    in_transit: BTreeMap<(u64, u64), (usize, NodeId, QuotaMessage)>,
    random: ChaCha8Rng,
    sequence: u64,
    step: u64,
    digests: BTreeMap<&'static str, (usize, Xxh3)>,
}

fn quotas(factor: f64) -> impl Iterator<Item = (Arc<str>, Quota)> {
    let quota =
        |(name, rate): (&str, f64)| (Arc::from(name), Quota { rate_per_s: rate * factor, burst: rate * factor });
    [("small", 3.0), ("usual", 20.0), ("large", 80.0)].map(quota).into_iter()
}

impl Fleet {
    fn new() -> Self {
        let node = |own| {
            let mut node = FleetRateLimiter::new(BOUND, own, BootTime::from_millis(1000), own != NODES[4]);
            node.set_quotas(BootTime::from_millis(1000), quotas(1.0));
            node.set_fleet(BootTime::from_millis(1000), FleetView { serving: NODES.to_vec() });
            node
        };
        Fleet {
            nodes: NODES.map(node).into_iter().collect(),
            in_transit: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(3),
            sequence: 0,
            step: 0,
            digests: BTreeMap::new(),
        }
    }

    fn now(&self) -> BootTime {
        BootTime::from_millis(1000 + self.step * STEP_MS)
    }

    fn record(&mut self, kind: &'static str, node: usize, text: &str) {
        let line = format!("{} {kind} {node} {text}\n", self.now().0);
        let (count, digest) = self.digests.entry(kind).or_default();
        *count += 1;
        digest.update(line.as_bytes());
    }

    /// Whether the second node is cut off now.
    fn is_second_node_cut_off(&self) -> bool {
        (1600..2400).contains(&self.step)
    }

    fn send(&mut self, node: usize, envelopes: Vec<QuotaEnvelope>) {
        for QuotaEnvelope { to, message } in envelopes {
            let (kind, text) = describe(&message);
            self.record(kind, node, &format!("{} {text}", to.0));
            let receiver = NODES.iter().position(|node| *node == to).expect("a node of the fleet");
            let delay = self.random.random_range(1..6);
            if !(self.is_second_node_cut_off() && (node == 1 || receiver == 1)) {
                self.sequence += 1;
                self.in_transit.insert((self.step + delay, self.sequence), (receiver, NODES[node], message));
            }
        }
        for change in self.nodes[node].take_changes() {
            let text = format!(
                "{} {} {} {}",
                change.tenant, change.is_limited, change.admit_fraction, change.is_deciding_locally
            );
            self.record("changed", node, &text);
        }
    }

    fn play_step(&mut self) {
        self.step += 1;
        let now = self.now();
        while let Some(((_, _), (node, from, message))) = self.in_transit.pop_due(self.step) {
            let mut envelopes = Vec::new();
            self.nodes[node].on_message(now, from, message, &mut envelopes);
            self.send(node, envelopes);
        }
        for node in 0..NODES.len() {
            if self.nodes[node].next_wake().is_some_and(|wake| wake <= now) {
                let mut envelopes = Vec::new();
                self.nodes[node].on_tick(now, &mut envelopes);
                self.send(node, envelopes);
            }
        }
        // Demand is below the rates at first; from four to twelve seconds it is six times as high.
        let is_hot = (800..2400).contains(&self.step);
        for (tenant, per_step) in [("small", 0.01), ("usual", 0.07), ("large", 0.3)] {
            let request_count = per_step * if is_hot { 6.0 } else { 1.0 } + self.random.random::<f64>();
            (0..request_count as usize).for_each(|_| self.send_request(tenant));
        }
    }

    fn send_request(&mut self, tenant: &str) {
        let node = self.random.random_range(0..NODES.len());
        let now = self.now();
        let taken = self.nodes[node].try_admit(now, tenant);
        match taken {
            Ok(()) => self.record("admitted", node, tenant),
            Err(refusal) => self.record("refused", node, &format!("{tenant} {}", refusal.retry_after.as_nanos())),
        }
    }

    fn set_view(&mut self, node: usize, serving: &[NodeId]) {
        let now = self.now();
        self.nodes[node].set_fleet(now, FleetView { serving: serving.to_vec() });
    }
}

trait PopDue<V> {
    fn pop_due(&mut self, step: u64) -> Option<((u64, u64), V)>;
}

impl<V> PopDue<V> for BTreeMap<(u64, u64), V> {
    fn pop_due(&mut self, step: u64) -> Option<((u64, u64), V)> {
        self.first_key_value().is_some_and(|((due, _), _)| *due <= step).then(|| self.pop_first()).flatten()
    }
}

fn describe(message: &QuotaMessage) -> (&'static str, String) {
    match message {
        QuotaMessage::Report(report) => {
            let (counts, confirmed) = (report.counts, report.confirmed);
            let numbers = [counts.offered, counts.admitted, confirmed.offered, confirmed.admitted, report.epoch];
            let numbers: Vec<String> = numbers.iter().map(u32::to_string).collect();
            let former_owner = report.former_owner.map_or(0, |former_owner| former_owner.0);
            ("report", format!("{:x} {} {former_owner}", report.tenant.0, numbers.join(" ")))
        }
        QuotaMessage::Grant(grant) => {
            let confirmed =
                grant.confirmation.map(|it| format!("{} {} {}", it.epoch, it.counts.offered, it.counts.admitted));
            (
                "word",
                format!(
                    "{:x} {} {} {}",
                    grant.tenant.0,
                    grant.granted_at,
                    grant.admit_fraction,
                    confirmed.unwrap_or_default()
                ),
            )
        }
    }
}

#[test]
fn messages_refusals_and_changes_of_five_nodes_of_which_one_is_cut_off() {
    let mut fleet = Fleet::new();
    for step in 0..4000 {
        match step {
            // The nodes' views change half a second after the partition begins, and half a second after it ends.
            1700 => {
                let others = [NODES[0], NODES[2], NODES[3], NODES[4]];
                [0, 2, 3, 4].into_iter().for_each(|node| fleet.set_view(node, &others));
                fleet.set_view(1, &NODES[1..2]);
            }
            2500 => (0..NODES.len()).for_each(|node| fleet.set_view(node, &NODES)),
            3000 => {
                let now = fleet.now();
                fleet.nodes.iter_mut().for_each(|node| node.set_quotas(now, quotas(0.5)));
            }
            _ => {}
        }
        fleet.play_step();
    }
    let mut table = String::new();
    for (kind, (count, digest)) in &fleet.digests {
        writeln!(table, "{kind:<12} {count:>6} {:016x}", digest.digest()).expect("a string takes it");
    }
    insta::assert_snapshot!("five_nodes", table);
}
