//! Counts and violations of a fuzz run.

use crate::sim::{History, Violation};
use serde::Serialize;
use staircross_search::Outcome;
use std::collections::BTreeMap;

/// Counts over all cases of a fuzz run, and the violations found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FuzzSummary {
    /// Number of cases that ran.
    pub cases: u64,
    /// Number of operations that were applied.
    pub steps: u64,
    /// Number of requests that callers made.
    pub requests: u64,
    /// Number of answers to searches.
    pub answers: u64,
    /// Number of refusals.
    pub refusals: u64,
    /// Number of times that a searcher executed an action.
    pub actions: u64,
    /// Number of faults and other counted operations, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Failing cases, each with the shrunk operations that lead to the violations.
    pub violations: Vec<FoundViolation>,
}

/// Violations of one case, with the seed and the operations that reproduce them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FoundViolation {
    /// Descriptions of the violations.
    pub what: Vec<String>,
    /// Seed of the simulated fleet.
    pub world_seed: u64,
    /// Operations of the case after shrinking.
    pub operations: Vec<String>,
}

impl FuzzSummary {
    /// Adds the counts and violations of another summary.
    pub fn merge(&mut self, other: FuzzSummary) {
        self.cases += other.cases;
        self.steps += other.steps;
        self.requests += other.requests;
        self.answers += other.answers;
        self.refusals += other.refusals;
        self.actions += other.actions;
        for (kind, count) in other.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        self.violations.extend(other.violations);
    }

    /// Counts one operation of a kind.
    pub fn count_operation(&mut self, kind: &str) {
        *self.faults.entry(kind.to_owned()).or_default() += 1;
    }

    /// Adds the requests, outcomes and executed actions of a history.
    pub fn add_history(&mut self, history: &History) {
        self.requests += history.requests.len() as u64;
        for (_, outcome) in history.requests.values().flat_map(|record| &record.outcomes) {
            match outcome {
                Outcome::Answer(_) => self.answers += 1,
                Outcome::Refusal(_) => self.refusals += 1,
                Outcome::Acted(_) => {}
            }
        }
        self.actions += history.executions.iter().filter(|execution| execution.note.is_some()).count() as u64;
    }
}

/// Returns the violations as text.
pub fn violation_texts(violations: &[Violation]) -> Vec<String> {
    violations.iter().map(ToString::to_string).collect()
}
