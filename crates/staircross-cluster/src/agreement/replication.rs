//! Replication: how entries reach the voters, are committed, learned and settled.

use super::{Agreement, AgreementAction, AgreementMessage, CLOCK_DRIFT, LogEntry, Role};
use crate::config_state::{Change, ChangeBody, ConfigState};
use staircross_types::{BootTime, NodeId};

/// Most entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 32;

impl Agreement {
    /// Appends a change to the leader's own log.
    pub(super) fn append_own(&mut self, change: Change) -> u64 {
        let index = self.last_index() + 1;
        self.log.push(LogEntry { term: self.term, index, change });
        index
    }

    /// A leader's regular work.
    pub(super) fn lead(&mut self, now: BootTime, actions: &mut Vec<AgreementAction>) {
        self.refresh_progress(now);
        let every = self.settings.heartbeat_every;
        let due: Vec<NodeId> = self
            .progress
            .iter()
            .filter(|(_, progress)| now.since(progress.last_sent) >= every)
            .map(|(node, _)| *node)
            .collect();
        for node in due {
            self.send_append(now, node, actions);
        }
        self.advance_commit(now, actions);
        self.advance_settled(now, actions);
    }

    pub(super) fn broadcast(&mut self, now: BootTime, actions: &mut Vec<AgreementAction>) {
        let voters: Vec<NodeId> = self.progress.keys().copied().collect();
        for node in voters {
            self.send_append(now, node, actions);
        }
    }

    fn send_append(&mut self, now: BootTime, to: NodeId, actions: &mut Vec<AgreementAction>) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        progress.last_sent = now;
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.term_at(previous_index) else {
            self.send_install(to, actions);
            return;
        };
        let skipped = (previous_index - self.base_index) as usize;
        let entries: Vec<LogEntry> = self.log.iter().skip(skipped).take(MAX_ENTRIES_PER_MESSAGE).cloned().collect();
        let message = AgreementMessage::Append {
            term: self.term,
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            settled: self.settled,
        };
        self.send(to, message, actions);
    }

    /// Sends the committed state; the entries after it follow by [`Self::send_append`].
    fn send_install(&mut self, to: NodeId, actions: &mut Vec<AgreementAction>) {
        let message = AgreementMessage::Install {
            term: self.term,
            last_term: self.commit_term(),
            state: Box::new(self.state.clone()),
            settled: self.settled,
        };
        self.send(to, message, actions);
    }

    pub(super) fn reject_append(&self, to: NodeId, actions: &mut Vec<AgreementAction>) {
        let message =
            AgreementMessage::AppendReply { term: self.term, matches: false, last_match: 0, learned: self.commit };
        self.send(to, message, actions);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<LogEntry>,
        commit: u64,
        settled: u64,
        actions: &mut Vec<AgreementAction>,
    ) {
        let is_swallowed = previous_index < self.base_index;
        if !is_swallowed && self.term_at(previous_index) != Some(previous_term) {
            let last_match = self.last_index().min(previous_index.saturating_sub(1)).max(self.commit);
            self.reply_append(from, false, last_match, actions);
            return;
        }
        let last_sent = previous_index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit_up_to(commit.min(last_sent), actions);
        self.settled = self.settled.max(settled.min(self.commit));
        self.reply_append(from, true, last_sent, actions);
    }

    fn take_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit {
            return;
        }
        match self.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) => {
                let keep = (entry.index - self.base_index - 1) as usize;
                self.log.truncate(keep);
                self.log.push(entry);
            }
            None => self.log.push(entry),
        }
    }

    fn reply_append(&self, to: NodeId, matches: bool, last_match: u64, actions: &mut Vec<AgreementAction>) {
        let message = AgreementMessage::AppendReply { term: self.term, matches, last_match, learned: self.commit };
        self.send(to, message, actions);
    }

    pub(super) fn on_install(
        &mut self,
        from: NodeId,
        last_term: u64,
        state: ConfigState,
        settled: u64,
        actions: &mut Vec<AgreementAction>,
    ) {
        if self.term_at(state.revision) == Some(last_term) {
            // A late copy of what the log holds already. Entries after it may have been counted by the
            // leader, so they must stay.
            self.commit_up_to(state.revision, actions);
        } else if state.revision > self.commit {
            self.base_index = state.revision;
            self.base_term = last_term;
            self.commit = state.revision;
            self.log.clear();
            self.state = state;
            self.settled = self.settled.max(settled.min(self.commit));
            actions.push(AgreementAction::Committed);
        }
        self.reply_append(from, true, self.commit, actions);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append_reply(
        &mut self,
        now: BootTime,
        from: NodeId,
        term: u64,
        matches: bool,
        last_match: u64,
        learned: u64,
        actions: &mut Vec<AgreementAction>,
    ) {
        if term > self.term {
            self.step_down(term);
            return;
        }
        if self.role != Role::Leader || term < self.term {
            return;
        }
        let last_index = self.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_heard = now;
        progress.learned = progress.learned.max(learned);
        if matches {
            progress.matched = progress.matched.max(last_match.min(last_index));
            progress.next_index = progress.matched + 1;
        } else {
            progress.next_index = (last_match + 1).clamp(1, last_index + 1);
        }
        let has_more = progress.next_index <= last_index;
        let commit_before = self.commit;
        self.advance_commit(now, actions);
        self.advance_settled(now, actions);
        if self.commit > commit_before {
            // Everyone should learn of it at once: leases turn on it.
            self.broadcast(now, actions);
        } else if has_more {
            self.send_append(now, from, actions);
        }
    }

    /// Commits what a majority of every region holds, if it is of this term.
    pub(super) fn advance_commit(&mut self, now: BootTime, actions: &mut Vec<AgreementAction>) {
        let mut index = self.last_index();
        while index > self.commit {
            let is_of_this_term = self.term_at(index) == Some(self.term);
            if is_of_this_term && self.is_held_by_majority(index) {
                self.commit_up_to(index, actions);
                self.advance_settled(now, actions);
                return;
            }
            index -= 1;
        }
    }

    fn is_held_by_majority(&self, index: u64) -> bool {
        self.latest_voters().has_majority(|node| {
            node == self.me || self.progress.get(&node).is_some_and(|progress| progress.matched >= index)
        })
    }

    /// Settles what a majority of every region has known to be committed for longer than a lease.
    ///
    /// A lease needs the word of a majority of one region's voters, so every lease asked for after
    /// that moment is for this revision or a later one, and every lease asked for before has lapsed.
    fn advance_settled(&mut self, now: BootTime, actions: &mut Vec<AgreementAction>) {
        if self.role != Role::Leader {
            return;
        }
        let is_learned = self.state.voters.has_majority(|node| self.has_learned(self.commit, node));
        if is_learned && self.commit > self.settled {
            self.learned_at.entry(self.commit).or_insert(now);
        }
        let wait = self.settings.lease + self.settings.lease / CLOCK_DRIFT;
        let lapsed = self.learned_at.iter().filter(|(_, since)| now.since(**since) >= wait).map(|(index, _)| *index);
        if let Some(index) = lapsed.max() {
            self.learned_at.retain(|known, _| *known > index);
            self.settled = self.settled.max(index);
            self.answer_settled(actions);
        }
    }

    /// Applies entries up to `index` and drops old ones.
    pub(super) fn commit_up_to(&mut self, index: u64, actions: &mut Vec<AgreementAction>) {
        let index = index.min(self.last_index());
        if index <= self.commit {
            return;
        }
        while self.commit < index {
            let offset = (self.commit - self.base_index) as usize;
            let Some(entry) = self.log.get(offset) else {
                break;
            };
            self.state.apply(entry.index, &entry.change);
            self.commit = entry.index;
        }
        self.drop_old_entries();
        actions.push(AgreementAction::Committed);
    }

    fn drop_old_entries(&mut self) {
        let committed = (self.commit - self.base_index) as usize;
        let surplus = committed.saturating_sub(self.settings.kept_entries);
        if surplus == 0 {
            return;
        }
        let Some(last_dropped) = self.log.get(surplus - 1) else {
            return;
        };
        self.base_index = last_dropped.index;
        self.base_term = last_dropped.term;
        self.log.drain(..surplus);
    }

    /// Whether a change of voters is under way that a majority of the new set hasn't learned to be
    /// committed.
    ///
    /// Once it has, every majority of the set before holds somebody who knows of the new one, since
    /// majorities of sets one step apart overlap. So whoever asks by the old set hears of the new.
    pub(super) fn has_unlearned_voters(&self) -> bool {
        let last = self.log.iter().rev().find(|entry| matches!(entry.change.body, ChangeBody::Voters(_)));
        let Some(index) = last.map(|entry| entry.index) else {
            return false;
        };
        index > self.commit || !self.latest_voters().has_majority(|node| self.has_learned(index, node))
    }

    fn has_learned(&self, index: u64, node: NodeId) -> bool {
        node == self.me || self.progress.get(&node).is_some_and(|progress| progress.learned >= index)
    }
}
