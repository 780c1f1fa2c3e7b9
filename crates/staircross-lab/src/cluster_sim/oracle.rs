//! The oracle of the cluster model: promise 8, in plain comparisons.
//!
//! - two nodes never hold different states at one revision;
//! - the revision that a run holds never falls, so nothing accepted reverts;
//! - once a change has been answered as accepted, no node is able to act under an older revision;
//! - a change answered as not taken is never found applied;
//! - a node without a lease can't act (it is asked exactly as the runtime asks it).

use staircross_cluster::message::ProposalReply;
use staircross_cluster::{ChangeId, ChangeOutcome, ConfigState};
use staircross_types::{NodeId, body_digest};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterViolation {
    /// What was seen.
    pub what: String,
}

impl fmt::Display for ClusterViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "promise 8: {}", self.what)
    }
}

/// What the oracle has seen.
#[derive(Default)]
pub struct ClusterOracle {
    /// Fingerprint of the state at each revision, and who held it first.
    states: BTreeMap<u64, (String, usize)>,
    /// Highest revision that each run has held.
    held: BTreeMap<NodeId, u64>,
    /// Nodes that are up: the revision under which each could act when last looked at.
    acting: BTreeMap<usize, u64>,
    /// Highest revision answered as accepted.
    accepted: u64,
    proposed_at: BTreeMap<ChangeId, u64>,
    accepted_after: Vec<u64>,
    refused_untaken: BTreeSet<ChangeId>,
    applied: BTreeSet<ChangeId>,
    /// Answers by kind: accepted, refused when applied, not taken, pending.
    pub answers: BTreeMap<&'static str, u64>,
    /// Broken rules.
    pub violations: Vec<ClusterViolation>,
}

impl ClusterOracle {
    fn flag(&mut self, what: String) {
        if self.violations.len() < 20 {
            self.violations.push(ClusterViolation { what });
        }
    }

    /// A node was looked at just after it had handled an event.
    pub fn observe(&mut self, now: u64, node: usize, run: NodeId, may_act: bool, state: &Arc<ConfigState>) {
        let revision = state.revision;
        let before = self.held.insert(run, revision).unwrap_or(0);
        if revision < before {
            self.flag(format!("node {node} fell back from revision {before} to {revision} at {now}"));
        }
        if may_act && revision < self.accepted {
            let accepted = self.accepted;
            self.flag(format!("node {node} may act under {revision} at {now}, {accepted} was accepted before"));
        }
        if may_act {
            self.acting.insert(node, revision);
        } else {
            self.acting.remove(&node);
        }
    }

    /// A node is down.
    pub fn on_down(&mut self, node: usize) {
        self.acting.remove(&node);
    }

    /// A node took a state.
    pub fn on_state(&mut self, node: usize, state: &Arc<ConfigState>) {
        let fingerprint = body_digest(format!("{state:?}").as_bytes());
        let known = self.states.entry(state.revision).or_insert((fingerprint.clone(), node));
        if known.0 != fingerprint {
            let first = known.1;
            self.flag(format!("nodes {first} and {node} hold different states at revision {}", state.revision));
        }
        for entry in &state.history {
            if matches!(entry.outcome, ChangeOutcome::Applied { .. }) {
                self.applied.insert(entry.id);
                if self.refused_untaken.contains(&entry.id) {
                    self.flag(format!("change {} was answered as not taken and is applied", entry.id));
                }
            }
        }
    }

    /// An operator has proposed a change.
    pub fn on_proposed(&mut self, now: u64, id: ChangeId) {
        self.proposed_at.insert(id, now);
    }

    /// An operator got an answer.
    pub fn on_reply(&mut self, now: u64, reply: ProposalReply) {
        let Some(proposed_at) = self.proposed_at.get(&reply.id()).copied() else {
            return;
        };
        match reply {
            ProposalReply::Settled { outcome: ChangeOutcome::Applied { revision }, .. } => {
                *self.answers.entry("accepted").or_default() += 1;
                self.accepted = self.accepted.max(revision);
                self.accepted_after.push(now - proposed_at);
            }
            ProposalReply::Settled { .. } => *self.answers.entry("refused").or_default() += 1,
            ProposalReply::Pending { .. } => *self.answers.entry("pending").or_default() += 1,
            ProposalReply::NotTaken { id } => {
                *self.answers.entry("not_taken").or_default() += 1;
                self.refused_untaken.insert(id);
                if self.applied.contains(&id) {
                    self.flag(format!("change {id} was applied and is answered as not taken"));
                }
            }
        }
    }

    /// Times from proposal to "accepted", in microseconds.
    pub fn accepted_after(&self) -> &[u64] {
        &self.accepted_after
    }

    /// Highest revision answered as accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }
}
