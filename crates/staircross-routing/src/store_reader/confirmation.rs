//! Confirms, on request, that all changes in the store are known.
//!
//! A watch that is open says nothing about the changes of the last moments: it may have been answered while this process
//! stood still, or its connection may be dead. So both reading lanes ask anew, whatever the mode: with a watch that the
//! store answers at once, because it may hold it for hardly any time, or with a listing if nothing is known yet. Its reply
//! confirms the lane as of the time at which it was asked for.

use super::StoreReader;
use super::lane::{LaneReader, LaneState};
use super::message::{CancelCause, Lane, ReaderAction};
use staircross_types::BootTime;

impl StoreReader {
    /// Asks for a confirmation of both reading lanes now. Their open calls are given up.
    pub fn confirm(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        // The pages that were read before may have changed.
        self.discard_pages(actions);
        for lane in [Lane::Configuration, Lane::Searchers] {
            self.lane_mut(lane).begin_confirmation(now, actions);
        }
    }

    /// Returns whether the store has failed or refused a call for a confirmation that is still wanted.
    pub fn is_confirmation_failing(&self) -> bool {
        self.lanes.iter().any(|lane| lane.must_confirm && lane.failures > 0)
    }

    /// Gives up the confirmations that haven't arrived. Lanes that the mode doesn't use make no more calls.
    pub fn end_confirmation(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        self.lanes.iter_mut().for_each(|lane| lane.must_confirm = false);
        self.set_mode(now, self.mode, actions);
    }
}

impl LaneReader {
    fn begin_confirmation(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        self.must_confirm = true;
        self.partial = None;
        if self.state == LaneState::Calling {
            actions.push(ReaderAction::Cancel { lane: self.lane, cause: CancelCause::ProcessGap });
        }
        self.state = LaneState::Scheduled { at: now };
        self.failures = 0;
    }

    /// Reports the confirmation that a complete reply brings, if one was asked for. `asked_at` is the time of the call
    /// after which no change can be unknown.
    pub(super) fn report_confirmation(&mut self, asked_at: BootTime, actions: &mut Vec<ReaderAction>) {
        if std::mem::take(&mut self.must_confirm) {
            actions.push(ReaderAction::Confirmed { lane: self.lane, asked_at });
        }
    }
}
