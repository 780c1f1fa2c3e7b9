//! Which open watches are made anew because their connections may be dead, and which count as held.
//!
//! A watch that has nothing to report looks like one whose connection is dead. Evidence comes from elsewhere: a probe
//! that the store missed, a change that a probe or a peer has shown, or a reply that has begun to arrive. [`super`] says
//! which changes none of these shows.

use super::StoreReader;
use super::lane::{LaneReader, LaneState};
use super::message::{CancelCause, Lane, ReaderAction};
use crate::state::store_revision::StoreRevision;
use staircross_types::BootTime;

/// A revision of the store that a probe returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbedRevision {
    pub revision: StoreRevision,
    /// Time of the reply.
    pub at: BootTime,
}

impl StoreReader {
    /// Sets whether a part of the reply to a lane's open call has arrived. The connection of such a call works, however
    /// long the reply takes, so the call isn't made anew for a change that it hasn't reported yet.
    pub fn set_receiving(&mut self, lane: Lane, is_receiving: bool) {
        self.lane_mut(lane).is_receiving = is_receiving;
    }

    /// Remembers the first probe that showed a change which no watch has reported by now.
    pub(super) fn note_unreported_change(&mut self, now: BootTime) {
        let newest = self.probed_revision.map(|revision| ProbedRevision { revision, at: now });
        let is_unreported = |probed: &ProbedRevision| !self.is_known(probed.revision);
        self.unreported = self.unreported.filter(is_unreported).or(newest.filter(is_unreported));
    }

    /// Returns whether a probe has shown a change that no watch has reported, though each has been open for the time that
    /// a call may take. The change may also be of a key that nobody watches.
    pub(super) fn have_watches_missed_change(&self, now: BootTime) -> bool {
        let Some(missed) = self.unreported.filter(|probed| !self.is_known(probed.revision)) else {
            return false;
        };
        let mut watches = self.lanes.iter().filter(|lane| matches!(lane.lane, Lane::Configuration | Lane::Searchers));
        watches.all(|lane| {
            lane.state == LaneState::Calling
                && !lane.is_receiving
                && lane.known_revision.is_some()
                && now.since(lane.called_at.max(missed.at)) >= self.settings.call_timeout
        })
    }

    /// Marks lanes with an open watch as reachable, since a store that answers the probe holds their watches. A watch
    /// that started from a revision that a peer had sent has had no reply yet, because it is answered only when
    /// something changes. The same holds for a watch that replaces one that got no reply, if it was sent before the
    /// probe. After a refusal, or two failures, the store must answer the lane first.
    pub(super) fn mark_held_watches_reachable(&mut self, actions: &mut Vec<ReaderAction>) {
        let probed_at = self.lane(Lane::Probe).called_at;
        let is_held = |lane: &&mut LaneReader| {
            lane.lane != Lane::Probe
                && lane.state == LaneState::Calling
                && lane.known_revision.is_some()
                && (lane.failures == 0 || (lane.failures == 1 && !lane.is_refused && lane.called_at < probed_at))
        };
        self.lanes.iter_mut().filter(is_held).for_each(|lane| lane.set_reachable(true, actions));
    }

    /// Makes a new call due on the lanes whose watch the store may have dropped and on those that wait for a probe.
    pub(super) fn renew_watches(&mut self, now: BootTime, cause: CancelCause, actions: &mut Vec<ReaderAction>) {
        self.unreported = None;
        for lane in &mut self.lanes {
            if lane.lane != Lane::Probe && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane, cause });
                lane.state = LaneState::Scheduled { at: now };
                lane.failures = 0;
            } else if lane.state == LaneState::AwaitingProbe {
                lane.state = LaneState::Scheduled { at: now };
                lane.failures = 0;
            }
        }
    }

    /// Records that a peer's update made all changes up to `revision` known; none if it made nothing completely known. The
    /// lane then watches from there, even if it has read nothing itself. A listing in progress continues, because its
    /// next page would otherwise be taken for the whole listing.
    ///
    /// An open watch that a peer has overtaken is renewed: it should have reported the change before the peer did, so
    /// its connection may be dead.
    pub fn on_peer_report(
        &mut self,
        now: BootTime,
        lane: Lane,
        revision: StoreRevision,
        actions: &mut Vec<ReaderAction>,
    ) {
        if revision.epoch < self.epoch {
            return;
        }
        self.on_peer_epoch(now, revision.epoch, actions);
        let reader = self.lane_mut(lane);
        let is_listing =
            reader.known_revision.is_none() && (reader.state == LaneState::Calling || reader.partial.is_some());
        if revision.is_none() || is_listing || reader.known_revision.is_some_and(|known| known >= revision) {
            return;
        }
        reader.known_revision = Some(revision);
        reader.was_known = true;
        if reader.state == LaneState::Calling && !reader.is_receiving {
            actions.push(ReaderAction::Cancel { lane, cause: CancelCause::PeerAhead });
            reader.state = LaneState::Scheduled { at: now };
        }
    }
}
