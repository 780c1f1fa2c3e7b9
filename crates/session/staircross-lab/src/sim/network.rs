//! The simulated network: message delays, and cuts between nodes and searchers.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A sender or receiver of messages, by its index in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// Index of a node.
    Node(usize),
    /// Index of a searcher.
    Searcher(usize),
}

/// One-way message delays. The defaults are the usual delays that the users state.
#[derive(Clone, Debug)]
pub struct Delays {
    /// Delay within a zone.
    pub near: Duration,
    /// Delay between zones.
    pub far: Duration,
    /// Upper bound of the random delay that is added to each message.
    pub jitter: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Delays { near: Duration::from_micros(200), far: Duration::from_millis(1), jitter: Duration::from_micros(200) }
    }
}

/// The simulated network, with its delays and the directions that are cut.
#[derive(Default)]
pub struct Network {
    delays: Delays,
    cuts: BTreeSet<(Place, Place)>,
}

impl Network {
    /// Returns a network without cuts.
    pub fn new(delays: Delays) -> Self {
        Network { delays, cuts: BTreeSet::new() }
    }

    /// Drops all further messages in one direction.
    pub fn cut(&mut self, from: Place, to: Place) {
        self.cuts.insert((from, to));
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether a message that is sent now gets through.
    pub fn is_open(&self, from: Place, to: Place) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Draws the delay of one message.
    pub fn delay(&self, same_zone: bool, random: &mut ChaCha8Rng) -> Duration {
        let base = if same_zone { self.delays.near } else { self.delays.far };
        let jitter = self.delays.jitter.as_micros() as u64;
        base + Duration::from_micros(random.random_range(0..=jitter))
    }
}
