//! Proposals: from an operator's or the platform's change to the answer.

use super::{Agreement, AgreementAction, Role, Waiting};
use crate::config_state::{Change, ChangeBody, ChangeId, ChangeOutcome};
use crate::message::ProposalReply;
use staircross_types::{BootTime, NodeId};

impl Agreement {
    /// Takes a change to be proposed for `from`; every change gets an answer, now or later.
    pub fn propose(&mut self, now: BootTime, from: NodeId, change: Change, actions: &mut Vec<AgreementAction>) {
        let id = change.id;
        if let Some(outcome) = self.settled_outcome(id) {
            let reply = ProposalReply::Settled { id, outcome };
            actions.push(AgreementAction::Proposed { to: from, reply });
            return;
        }
        if self.role == Role::Leader
            && let Some(index) = self.index_of(id)
        {
            self.waiting.push(Waiting { id, from, index });
            return;
        }
        if self.index_of(id).is_some() || self.taken.contains(id) {
            actions.push(AgreementAction::Proposed { to: from, reply: ProposalReply::Pending { id } });
            return;
        }
        if self.refused.contains(id) || !self.may_propose(now) || !self.is_voter_step_allowed(&change) {
            self.refused.remember(id);
            actions.push(AgreementAction::Proposed { to: from, reply: ProposalReply::NotTaken { id } });
            return;
        }
        self.taken.remember(id);
        let index = self.append_own(change);
        self.waiting.push(Waiting { id, from, index });
        self.refresh_progress(now);
        self.broadcast(now, actions);
        self.advance_commit(now, actions);
    }

    /// Whether this node leads, has committed in its own term, and has just heard from a majority
    /// of every region. Without that, a change would most likely hang: better to refuse it as not taken.
    pub fn may_propose(&self, now: BootTime) -> bool {
        let is_established = self.role == Role::Leader && self.commit_term() == self.term;
        is_established && self.latest_voters().has_majority(|node| self.hears(now, node))
    }

    /// Whether a voter has just answered this leader.
    pub fn hears(&self, now: BootTime, node: NodeId) -> bool {
        let recent = self.settings.election_timeout;
        let heard = self.progress.get(&node).is_some_and(|progress| now.since(progress.last_heard) < recent);
        node == self.me || heard
    }

    /// Whether a platform document of this revision or a later one is in the log, committed or not.
    pub fn has_platform_revision(&self, revision: u64) -> bool {
        let in_log = self.log.iter().filter_map(|entry| match &entry.change.body {
            ChangeBody::Platform(document) => Some(document.revision),
            _ => None,
        });
        self.state.platform_revision() >= revision || in_log.max().is_some_and(|newest| newest >= revision)
    }

    fn index_of(&self, id: ChangeId) -> Option<u64> {
        self.log.iter().find(|entry| entry.change.id == id).map(|entry| entry.index)
    }

    fn is_voter_step_allowed(&self, change: &Change) -> bool {
        let ChangeBody::Voters(voters) = &change.body else {
            return true;
        };
        let is_one_step = voters.is_one_step_from(self.latest_voters());
        is_one_step && !voters.voters.is_empty() && !self.has_unlearned_voters()
    }

    /// Whether this node has answered a change as not taken.
    pub fn has_refused(&self, id: ChangeId) -> bool {
        self.refused.contains(id)
    }

    /// What became of a change that is in force everywhere, or was refused when applied.
    pub fn settled_outcome(&self, id: ChangeId) -> Option<ChangeOutcome> {
        let entry = self.state.outcome_of(id)?;
        (entry.revision <= self.settled).then_some(entry.outcome)
    }

    /// Answers those whose change has settled.
    pub(super) fn answer_settled(&mut self, actions: &mut Vec<AgreementAction>) {
        let waiting = std::mem::take(&mut self.waiting);
        for entry in waiting {
            if entry.index > self.settled {
                self.waiting.push(entry);
                continue;
            }
            let reply = match self.state.outcome_of(entry.id) {
                Some(known) => ProposalReply::Settled { id: entry.id, outcome: known.outcome },
                None => ProposalReply::Pending { id: entry.id },
            };
            actions.push(AgreementAction::Proposed { to: entry.from, reply });
        }
    }
}
