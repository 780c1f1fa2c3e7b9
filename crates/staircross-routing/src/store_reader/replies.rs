//! What follows from the end of a call: its reply, its failure, or an answer that is too long.

use super::StoreReader;
use super::lane::LaneState;
use super::message::{CancelCause, Lane, ReaderAction, ReadingMode, StoreReply};
use crate::state::searcher_entry::REREGISTRATION_TIME;
use crate::state::store_revision::{StoreEpoch, StoreRevision};
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Longest time from the first successful probe after an outage of the store to the next probe, which confirms that the
/// renewed watches are held; a watch starts within milliseconds. Followers wait for a reader's announcement that it
/// reaches the store for a third of their timeout for a reader that sends nothing. Without an announcement each of them
/// reads the store itself, which costs some ten calls. With a probe this early, a day with an outage of the store took
/// 750 calls instead of 1,339.
const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(150);

impl StoreReader {
    /// Handles the reply to the open call of a lane, which the store gave in `epoch`.
    pub fn on_reply(
        &mut self,
        now: BootTime,
        lane: Lane,
        epoch: StoreEpoch,
        reply: StoreReply,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        if self.begin_epoch_of_reply(now, lane, epoch, &reply, actions) {
            return;
        }
        let is_former = epoch < self.epoch;
        let mut settings = self.settings.clone();
        if now < self.starting_until {
            settings.searcher_pause = settings.searcher_pause.min(settings.removal_pause);
        }
        if lane == Lane::Probe {
            let revision = if let StoreReply::Alive { revision } = reply { Some(revision) } else { None };
            return self.on_probe_result(now, revision, actions);
        }
        if is_former {
            actions.push(ReaderAction::FormerEpoch { lane, epoch });
        }
        if let (false, StoreReply::Items { update, .. } | StoreReply::Changes { update, .. }) = (is_former, &reply) {
            self.reported.add(update);
            self.lane_mut(lane).note_update(update);
        }
        let reader = self.lane_mut(lane);
        match reply {
            _ if is_former => {
                reader.is_refused = true;
                return reader.handle_failure(now, &settings, random, actions);
            }
            StoreReply::Alive { .. } => reader.state = LaneState::Scheduled { at: now },
            StoreReply::Refused { .. } => {
                reader.is_refused = true;
                return reader.handle_failure(now, &settings, random, actions);
            }
            StoreReply::HistoryGone => {
                reader.state = LaneState::Scheduled { at: now };
                self.forget_history(lane, actions);
            }
            StoreReply::Items { update, at, next } => {
                reader.state = LaneState::Scheduled { at: now };
                let items_lane = if lane == Lane::SearcherPages { Lane::Searchers } else { lane };
                self.lane_mut(items_lane).handle_page(now, update, at, next, actions);
            }
            StoreReply::Changes { update, at } => reader.handle_changes(now, update, at, &settings, actions),
        }
        self.note_known_by_all();
        let reader = self.lane_mut(lane);
        let was_failing = std::mem::take(&mut reader.failures) > 0;
        reader.is_refused = false;
        reader.answered_at = Some(now);
        reader.set_reachable(true, actions);
        if was_failing {
            self.disturbed_until = now + REREGISTRATION_TIME;
        }
    }

    /// Handles the failure of the open call of a lane: its connection broke, or it timed out.
    pub fn on_failed(&mut self, now: BootTime, lane: Lane, random: &mut ChaCha8Rng, actions: &mut Vec<ReaderAction>) {
        let settings = self.settings.clone();
        if lane == Lane::Probe {
            return self.on_probe_result(now, None, actions);
        }
        self.lane_mut(lane).handle_failure(now, &settings, random, actions);
    }

    /// Handles an answer to the open call of a lane that is longer than allowed. Changes that don't fit into one answer
    /// are read as a listing, which has pages.
    pub fn on_answer_too_long(
        &mut self,
        now: BootTime,
        lane: Lane,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.on_failed(now, lane, random, actions);
        self.forget_history(lane, actions);
    }

    /// Records up to where both reading lanes know all changes of their items.
    fn note_known_by_all(&mut self) {
        let known = [Lane::Configuration, Lane::Searchers].map(|lane| self.lane(lane).known_revision);
        if let [Some(configuration), Some(searchers)] = known {
            self.reported.complete_up_to(configuration.min(searchers));
        }
    }

    /// Makes the next call of a lane a listing from its beginning.
    fn forget_history(&mut self, lane: Lane, actions: &mut Vec<ReaderAction>) {
        let reader = self.lane_mut(lane);
        reader.known_revision = None;
        reader.partial = None;
        if lane == Lane::Searchers {
            self.discard_pages(actions);
        }
    }

    /// Handles the end of a probe; `revision` is the store's revision, or `None` if the store didn't answer.
    fn on_probe_result(&mut self, now: BootTime, revision: Option<StoreRevision>, actions: &mut Vec<ReaderAction>) {
        let is_alive = revision.is_some();
        let wait = self.probe_interval(is_alive);
        let is_back = is_alive && self.has_missed_probe;
        // The next probe confirms that the watches renewed below are held.
        let wait = if is_back { wait.min(MAX_CONFIRMATION_DELAY) } else { wait };
        let probe = self.lane_mut(Lane::Probe);
        probe.state = LaneState::Scheduled { at: now + wait };
        probe.set_reachable(is_alive, actions);
        self.has_missed_probe = !is_alive;
        self.probed_revision = revision;
        if !is_alive {
            self.forget_unreported_changes();
            return;
        }
        if is_back {
            self.disturbed_until = now + REREGISTRATION_TIME;
            self.renew_watches(now, CancelCause::ProbeMissed, actions);
            return;
        }
        if !self.ask_for_missed_changes(now, actions) {
            self.mark_held_watches_reachable(actions);
        }
        self.note_unreported_changes(now);
    }

    pub(super) fn probe_interval(&self, is_alive: bool) -> Duration {
        match (self.mode, is_alive, self.has_followers) {
            (ReadingMode::Probing, ..) => self.settings.probe_as_prober,
            (_, true, true) => self.settings.probe_with_followers,
            (_, true, false) => self.settings.probe.usual,
            (_, false, _) => self.settings.probe.during_outage,
        }
    }
}
