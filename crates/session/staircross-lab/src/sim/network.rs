//! The simulated network: message delays, and cuts between nodes and searchers.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// A sender or receiver of messages, by its index in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// Index of a node.
    Node(usize),
    /// Index of a searcher.
    Searcher(usize),
}

/// One-way message delays. The defaults are the usual delays that the users state.
#[derive(Clone, Debug)]
pub struct Delays {
    /// Delay within a zone.
    pub same_zone: Duration,
    /// Delay between zones.
    pub cross_zone: Duration,
    /// Upper bound of the random delay that is added to each message.
    pub max_jitter: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Delays {
            same_zone: Duration::from_micros(200),
            cross_zone: Duration::from_millis(1),
            max_jitter: Duration::from_micros(200),
        }
    }
}

/// The simulated network, with its delays and the directions that are cut.
#[derive(Default)]
pub struct Network {
    delays: Delays,
    cuts: BTreeSet<(Endpoint, Endpoint)>,
}

impl Network {
    /// Returns a network without cuts.
    pub fn new(delays: Delays) -> Self {
        Network { delays, cuts: BTreeSet::new() }
    }

    /// Drops all further messages in one direction.
    pub fn cut(&mut self, from: Endpoint, to: Endpoint) {
        self.cuts.insert((from, to));
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether a message that is sent now gets through.
    pub fn can_deliver(&self, from: Endpoint, to: Endpoint) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Draws the delay of one message.
    pub fn draw_delay(&self, is_same_zone: bool, random: &mut ChaCha8Rng) -> Duration {
        let base = if is_same_zone { self.delays.same_zone } else { self.delays.cross_zone };
        let max_jitter = self.delays.max_jitter.as_micros() as u64;
        base + Duration::from_micros(random.random_range(0..=max_jitter))
    }
}
