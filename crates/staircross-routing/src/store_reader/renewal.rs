//! Which open watches are made anew because their connections may be dead, and which count as held.
//!
//! A watch that has nothing to report looks like one whose connection is dead. Evidence comes from elsewhere: a probe
//! that the store missed, a change that a probe or a peer has shown, or a reply that has begun to arrive. [`super`] says
//! which changes none of these shows.

use super::StoreReader;
use super::lane::{LaneReader, LaneState};
use super::message::{CancelCause, Lane, ReaderAction};
use super::reported::{ProbedRevision, ReportedRevisions};
use crate::state::mirror::MirrorUpdate;
use crate::state::store_revision::StoreRevision;
use staircross_types::BootTime;
use std::time::Duration;

/// Time for which missed changes are looked for by watches alone, after a listing that showed no change. Probes also show
/// the changes of other keys, which may come all the time.
const LISTING_PAUSE: Duration = Duration::from_secs(30);

impl StoreReader {
    /// Sets whether a part of the reply to a lane's open call has arrived. The connection of such a call works, however
    /// long the reply takes, so the call isn't made anew for a change that it hasn't reported yet.
    pub fn set_receiving(&mut self, lane: Lane, is_receiving: bool) {
        self.lane_mut(lane).is_receiving = is_receiving;
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

    /// Asks anew on each lane whose watch has missed a change. Returns whether there is one.
    pub(super) fn ask_for_missed_changes(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) -> bool {
        let (call_timeout, reported) = (self.settings.call_timeout, &self.reported);
        let missed = self.lanes.iter_mut().filter(|lane| lane.has_missed_change(now, call_timeout, reported));
        missed.map(|lane| lane.ask_for_missed_change(now, actions)).count() > 0
    }

    /// Remembers, for each lane, the first probe that showed a change which its watch has neither reported by now nor shown
    /// to be of other keys.
    pub(super) fn note_unreported_changes(&mut self, now: BootTime) {
        let unreported = self.probed_revision.filter(|revision| !self.reported.reach(*revision));
        let newest = unreported.map(|revision| ProbedRevision { revision, at: now });
        let reported = &self.reported;
        self.lanes.iter_mut().for_each(|lane| lane.note_probed(newest, reported));
    }

    /// Forgets the changes that probes have shown.
    pub(super) fn forget_unreported_changes(&mut self) {
        self.lanes.iter_mut().for_each(|lane| lane.unreported = None);
    }

    /// Makes a new call due on the lanes whose watch the store may have dropped and on those that wait for a probe.
    pub(super) fn renew_watches(&mut self, now: BootTime, cause: CancelCause, actions: &mut Vec<ReaderAction>) {
        self.forget_unreported_changes();
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

impl LaneReader {
    fn note_probed(&mut self, newest: Option<ProbedRevision>, reported: &ReportedRevisions) {
        let earlier = self.unreported.filter(|probed| self.lacks(probed, reported));
        self.unreported = earlier.or(newest.filter(|probed| self.lacks(probed, reported)));
    }

    /// Returns whether the lane may lack a change of its items up to what a probe has shown.
    fn lacks(&self, probed: &ProbedRevision, reported: &ReportedRevisions) -> bool {
        let is_beyond = self.known_revision.is_some_and(|known| known < probed.revision);
        is_beyond && !reported.reach(probed.revision)
    }

    /// Returns whether a probe has shown a change that the open watch hasn't reported in the time that a call may take. A
    /// watch that was made since then had the change to report at once. The change may also be of a key that the lane
    /// doesn't watch; each reply of the lane, even without changes, then makes the revision known.
    fn has_missed_change(&self, now: BootTime, call_timeout: Duration, reported: &ReportedRevisions) -> bool {
        let missed = self.unreported.filter(|probed| self.lacks(probed, reported));
        let is_watching = self.state == LaneState::Calling && !self.is_receiving;
        is_watching && missed.is_some_and(|missed| now.since(missed.at) >= call_timeout)
    }

    /// Makes a call due for a change that the watch has missed: its connection is dead, or the store reports changes late.
    /// In the second case a new watch would be answered just as late, and the reply to the old one is lost. So the call is
    /// a listing, unless the last of these showed no change: then it is a watch that the store answers at once.
    fn ask_for_missed_change(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        actions.push(ReaderAction::Cancel { lane: self.lane, cause: CancelCause::StoreAhead });
        self.state = LaneState::Scheduled { at: now };
        self.failures = 0;
        self.unreported = None;
        if now < self.listing_paused_until {
            self.must_confirm = true;
            return;
        }
        self.listing_paused_until = now + LISTING_PAUSE;
        self.listed_beyond = self.known_revision.take().unwrap_or(StoreRevision::NONE);
    }

    /// Allows the next listing for a missed change at once if an update shows a change that wasn't known at the last one.
    pub(super) fn note_update(&mut self, update: &MirrorUpdate) {
        if update.items.iter().any(|(revision, _)| *revision > self.listed_beyond) {
            self.listing_paused_until = BootTime::default();
        }
    }
}
