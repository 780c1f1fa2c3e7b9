//! Elections: who leads a term.

use super::{Agreement, AgreementAction, AgreementMessage, Progress, Role};
use crate::config_state::{Change, ChangeBody, ChangeId};
use rand_chacha::ChaCha8Rng;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;

impl Agreement {
    /// Asks whether an election would be won. A node that is cut off asks in vain and raises no term.
    pub(super) fn start_poll(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<AgreementAction>) {
        self.role = Role::Polling;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.me);
        self.reset_election(now, random);
        self.ask_for_votes(self.term + 1, true, actions);
        self.count_votes(now, random, actions);
    }

    fn start_election(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<AgreementAction>) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.me);
        self.votes.clear();
        self.votes.insert(self.me);
        self.reset_election(now, random);
        self.ask_for_votes(self.term, false, actions);
        self.count_votes(now, random, actions);
    }

    fn ask_for_votes(&self, term: u64, is_poll: bool, actions: &mut Vec<AgreementAction>) {
        let last_index = self.last_index();
        let last_term = self.term_at(last_index).unwrap_or(0);
        for voter in self.other_voters() {
            let message = AgreementMessage::VoteRequest { term, last_index, last_term, is_poll };
            self.send(voter, message, actions);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_vote_request(
        &mut self,
        now: BootTime,
        from: NodeId,
        term: u64,
        last_index: u64,
        last_term: u64,
        is_poll: bool,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<AgreementAction>,
    ) {
        let hears_leader = self.role == Role::Leader
            || (self.leader.is_some() && now.since(self.leader_heard) < self.settings.election_timeout);
        // A voter that hears the leader lets nobody unseat it.
        if hears_leader && self.leader != Some(from) {
            self.reply_vote(from, false, is_poll, actions);
            return;
        }
        if !is_poll && term > self.term {
            self.step_down(term);
        }
        let own_last = self.last_index();
        let own_term = self.term_at(own_last).unwrap_or(0);
        let is_up_to_date = (last_term, last_index) >= (own_term, own_last);
        let granted = if is_poll {
            term > self.term && is_up_to_date
        } else {
            let is_free = self.voted_for.is_none_or(|voted| voted == from);
            term == self.term && is_up_to_date && is_free
        };
        if granted && !is_poll {
            self.voted_for = Some(from);
            self.reset_election(now, random);
        }
        self.reply_vote(from, granted, is_poll, actions);
    }

    fn reply_vote(&self, to: NodeId, granted: bool, is_poll: bool, actions: &mut Vec<AgreementAction>) {
        let message = AgreementMessage::VoteReply { term: self.term, granted, is_poll };
        self.send(to, message, actions);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_vote_reply(
        &mut self,
        now: BootTime,
        from: NodeId,
        term: u64,
        granted: bool,
        is_poll: bool,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<AgreementAction>,
    ) {
        if term > self.term {
            self.step_down(term);
            return;
        }
        let expected = match self.role {
            Role::Polling => is_poll,
            Role::Candidate => !is_poll && term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if expected && granted {
            self.votes.insert(from);
            self.count_votes(now, random, actions);
        }
    }

    fn count_votes(&mut self, now: BootTime, random: &mut ChaCha8Rng, actions: &mut Vec<AgreementAction>) {
        let has_majority = self.latest_voters().has_majority(|node| self.votes.contains(&node));
        if !has_majority {
            return;
        }
        match self.role {
            Role::Polling => self.start_election(now, random, actions),
            Role::Candidate => self.become_leader(now, actions),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self, now: BootTime, actions: &mut Vec<AgreementAction>) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.leader_heard = now;
        self.progress = BTreeMap::new();
        self.learned_at.clear();
        self.refresh_progress(now);
        // Entries of earlier terms commit only together with one of this term.
        self.append_own(Change { id: ChangeId(0), body: ChangeBody::Noop });
        self.broadcast(now, actions);
        self.advance_commit(now, actions);
    }

    /// Keeps a record for each voter other than this one.
    pub(super) fn refresh_progress(&mut self, now: BootTime) {
        let voters = self.other_voters();
        let next_index = self.last_index() + 1;
        self.progress.retain(|node, _| voters.contains(node));
        for voter in voters {
            self.progress.entry(voter).or_insert(Progress {
                next_index,
                matched: 0,
                learned: 0,
                last_heard: now,
                last_sent: BootTime::default(),
            });
        }
    }

    pub(super) fn step_down(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
        }
        self.role = Role::Follower;
        self.leader = None;
        // Whoever waits is told "pending" by its own node and can ask for the change by its id.
        self.waiting.clear();
    }

    /// Recognizes the leader of `term`; `false` when that term is over.
    pub(super) fn follow(&mut self, now: BootTime, leader: NodeId, term: u64, random: &mut ChaCha8Rng) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.step_down(term);
        }
        self.leader = Some(leader);
        self.leader_heard = now;
        self.is_active = true;
        self.reset_election(now, random);
        true
    }
}
