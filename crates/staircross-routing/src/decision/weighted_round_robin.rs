//! Smooth weighted round robin over the services of a weighted route.
//!
//! For each request of a route with weighted services, the rule decides which of them serves it, without random choice.
//!
//! The inputs are the services and their weights (whole numbers; a service of weight 0 gets no requests), as the
//! configuration lists them. A changed set starts over.
//!
//! Over any stretch of a node's requests, each service gets its exact share, give or take one request; with random
//! choice, shares would differ by the square root of the number of requests. The rule can't be turned off. Each node
//! counts its own requests and knows nothing of those of other nodes.
//!
//! The log shows the rule by the searcher in `event=send`, whose `event=searcher` line names the service, for requests
//! that were logged in full.

use crate::configuration::definition::WeightedService;
use std::sync::Arc;

/// Smooth weighted round robin: over any stretch of requests, each service is picked as often as its weight says, give
/// or take one.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<Credit>,
}

/// Weight and accumulated credit of one service.
#[derive(Debug)]
struct Credit {
    service: Arc<str>,
    weight: u32,
    credit: i64,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request, or `None` if no weight is above zero.
    pub fn next(&mut self, set: &[WeightedService]) -> Option<Arc<str>> {
        self.reset_if_changed(set);
        let total: i64 = self.credits.iter().map(|entry| i64::from(entry.weight)).sum();
        for entry in &mut self.credits {
            entry.credit += i64::from(entry.weight);
        }
        let chosen = self.credits.iter_mut().filter(|entry| entry.weight > 0).max_by_key(|entry| entry.credit)?;
        chosen.credit -= total;
        Some(chosen.service.clone())
    }

    /// Resets all credits if the set has changed.
    fn reset_if_changed(&mut self, set: &[WeightedService]) {
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
