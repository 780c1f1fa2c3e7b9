//! Delays and cuts between places.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A node or a searcher, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// A node.
    Node(usize),
    /// A searcher.
    Searcher(usize),
}

/// Usual one-way delays, as the users give them.
#[derive(Clone, Debug)]
pub struct Delays {
    /// Within a zone.
    pub near: Duration,
    /// Between zones.
    pub far: Duration,
    /// Random part, at most.
    pub jitter: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Delays { near: Duration::from_micros(200), far: Duration::from_millis(1), jitter: Duration::from_micros(200) }
    }
}

/// The network: one-way cuts and delays.
#[derive(Default)]
pub struct Network {
    delays: Delays,
    cuts: BTreeSet<(Place, Place)>,
}

impl Network {
    /// A whole network.
    pub fn new(delays: Delays) -> Self {
        Network { delays, cuts: BTreeSet::new() }
    }

    /// Cuts one direction.
    pub fn cut(&mut self, from: Place, to: Place) {
        self.cuts.insert((from, to));
    }

    /// Heals everything.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether a message gets through now.
    pub fn is_open(&self, from: Place, to: Place) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Time that a message takes.
    pub fn delay(&self, same_zone: bool, random: &mut ChaCha8Rng) -> Duration {
        let base = if same_zone { self.delays.near } else { self.delays.far };
        let jitter = self.delays.jitter.as_micros() as u64;
        base + Duration::from_micros(random.random_range(0..=jitter))
    }
}
