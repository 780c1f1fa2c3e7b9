//! What a fuzz run tried and found.

use crate::sim::{History, Violation};
use serde::Serialize;
use staircross_search::Outcome;
use std::collections::BTreeMap;

/// Counts over all cases.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FuzzSummary {
    /// Cases run.
    pub cases: u64,
    /// Operations applied.
    pub steps: u64,
    /// Requests made.
    pub requests: u64,
    /// Answers given.
    pub answers: u64,
    /// Refusals given.
    pub refusals: u64,
    /// Actions that ran.
    pub actions: u64,
    /// Faults applied, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Broken promises, each with the shrunk operations that lead to it.
    pub violations: Vec<FoundViolation>,
}

/// A broken promise and how to see it again.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FoundViolation {
    /// What was broken.
    pub what: Vec<String>,
    /// Seed of the world.
    pub world_seed: u64,
    /// The operations, shrunk.
    pub operations: Vec<String>,
}

impl FuzzSummary {
    /// Adds another's counts.
    pub fn add(&mut self, other: FuzzSummary) {
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

    /// Counts a fault or another operation.
    pub fn count(&mut self, kind: &str) {
        *self.faults.entry(kind.to_owned()).or_default() += 1;
    }

    /// Adds the counts of a history of requests.
    pub fn add_history(&mut self, history: &History) {
        self.requests += history.requests.len() as u64;
        for (_, outcome) in history.requests.values().flat_map(|record| &record.outcomes) {
            match outcome {
                Outcome::Answer(_) => self.answers += 1,
                Outcome::Refusal(_) => self.refusals += 1,
                Outcome::Acted(_) => {}
            }
        }
        self.actions += history.runs.iter().filter(|run| run.note.is_some()).count() as u64;
    }
}

/// Violations as texts.
pub fn texts(violations: &[Violation]) -> Vec<String> {
    violations.iter().map(ToString::to_string).collect()
}
