//! Whose turn it is in a weighted set.
//!
//! **Decides** for each request of a route with weighted services which of them serves it: smooth weighted turns, without chance.
//!
//! **Inputs**: the services and their weights (whole numbers; 0 takes none), as the configuration lists them. A changed set starts over.
//!
//! **Buys** exact shares over any stretch of a node's requests, give or take one; by chance they would differ by the root of their number. It has
//! no switch. Each node counts its own requests and knows nothing of others'.
//!
//! **Shown by** the searcher in the log's `event=send`, whose `event=searcher` line names the service, for requests that were logged whole.

use crate::configuration::definition::WeightedService;
use std::sync::Arc;

/// Smooth weighted turns: over any stretch each service is picked as often as its weight says,
/// give or take one.
#[derive(Debug, Default)]
pub struct WeightedTurns {
    credits: Vec<Credit>,
}

#[derive(Debug)]
struct Credit {
    service: Arc<str>,
    weight: u32,
    credit: i64,
}

impl WeightedTurns {
    /// The next service; `None` when no weight is above zero.
    pub fn next(&mut self, set: &[WeightedService]) -> Option<Arc<str>> {
        self.follow(set);
        let total: i64 = self.credits.iter().map(|entry| i64::from(entry.weight)).sum();
        for entry in &mut self.credits {
            entry.credit += i64::from(entry.weight);
        }
        let chosen = self.credits.iter_mut().filter(|entry| entry.weight > 0).max_by_key(|entry| entry.credit)?;
        chosen.credit -= total;
        Some(chosen.service.clone())
    }

    /// Starts over when the set has changed.
    fn follow(&mut self, set: &[WeightedService]) {
        let is_same = self.credits.len() == set.len()
            && self
                .credits
                .iter()
                .zip(set)
                .all(|(known, new)| known.service == new.service && known.weight == new.weight);
        if is_same {
            return;
        }
        let fresh =
            |entry: &WeightedService| Credit { service: entry.service.clone(), weight: entry.weight, credit: 0 };
        self.credits = set.iter().map(fresh).collect();
    }
}
