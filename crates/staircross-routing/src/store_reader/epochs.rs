//! What the reader does when the store has come back from an older copy, which begins a new epoch.
//!
//! What the lanes have reached in a former epoch says nothing about the new one: the store may have counted past it again
//! and then reports neither the loss of its history nor the changes in between. So each lane that has reached anything
//! lists anew. An epoch is learned from any answer of any lane, or from a peer, and never falls: answers of a former epoch
//! come from a slow connection or from a store that is behind, and change nothing.

use super::StoreReader;
use super::lane::{LaneReader, LaneState};
use super::message::{CancelCause, EpochSource, Lane, ReaderAction, StoreReply};
use crate::state::searcher_entry::REREGISTRATION_TIME;
use crate::state::store_revision::StoreEpoch;
use staircross_types::BootTime;

impl StoreReader {
    /// Returns the newest epoch that is known.
    pub fn epoch(&self) -> StoreEpoch {
        self.epoch
    }

    /// Records that a peer knows of an epoch of the store.
    pub fn on_peer_epoch(&mut self, now: BootTime, epoch: StoreEpoch, actions: &mut Vec<ReaderAction>) {
        if epoch > self.epoch {
            self.begin_epoch(now, epoch, EpochSource::Peer, actions);
        }
    }

    /// Begins the epoch of the reply to a lane's call if it is new. Returns whether the reply can't be used: what it reports
    /// continues from a former epoch.
    pub(super) fn begin_epoch_of_reply(
        &mut self,
        now: BootTime,
        lane: Lane,
        epoch: StoreEpoch,
        reply: &StoreReply,
        actions: &mut Vec<ReaderAction>,
    ) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        let reader = self.lane_mut(lane);
        let starts_listing = lane != Lane::SearcherPages && !reader.has_reached_anything();
        reader.state = LaneState::Suspended;
        self.begin_epoch(now, epoch, EpochSource::Reply(lane), actions);
        let continues = match reply {
            StoreReply::Items { .. } | StoreReply::Changes { .. } => !starts_listing,
            StoreReply::Alive { .. } | StoreReply::HistoryGone | StoreReply::Refused { .. } => false,
        };
        if continues && lane != Lane::SearcherPages {
            let reader = self.lane_mut(lane);
            reader.state = LaneState::Scheduled { at: now };
            reader.answered_at = Some(now);
        }
        continues
    }

    /// Forgets what the lanes have reached, and gives up their open calls that continue from it. A listing whose first
    /// page is still to come goes on: its reply tells its own epoch.
    fn begin_epoch(&mut self, now: BootTime, epoch: StoreEpoch, source: EpochSource, actions: &mut Vec<ReaderAction>) {
        let former = std::mem::replace(&mut self.epoch, epoch);
        if !former.is_untold() {
            actions.push(ReaderAction::EpochBegan { epoch, former, source });
            self.disturbed_until = now + REREGISTRATION_TIME;
        }
        self.probed_revision = None;
        self.forget_unreported_changes();
        for lane in self.lanes.iter_mut().filter(|lane| lane.has_reached_anything()) {
            lane.known_revision = None;
            lane.partial = None;
            if lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane, cause: CancelCause::EpochBegan });
                lane.state = LaneState::Scheduled { at: now };
            }
        }
        self.discard_pages(actions);
    }
}

impl LaneReader {
    /// Returns whether the lane's calls continue from something that it has read.
    fn has_reached_anything(&self) -> bool {
        self.known_revision.is_some() || self.partial.is_some()
    }
}
