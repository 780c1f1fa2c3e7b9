//! The schedule of calls to the store: when to list, watch and probe it, and when to make no calls.
//!
//! The reader holds the time of the next call and the known revision of each lane. It makes no calls itself: it returns
//! the calls that are due, and the node passes their results back. The node's role determines the mode; the mirror
//! merges the updates that were read.
//!
//! A *lane* is one kind of call, of which at most one is open at a time. Two lanes read: one the configuration, the
//! other the searchers. Each makes one listing, then watches from the revision that it has reached, and makes a listing
//! again only if the store no longer has the history since that revision. A listing of the searchers may have many pages.
//! A further lane reads all but the first, while the lane of the searchers watches from the first on: a searcher on a page
//! that has been read may leave before the last one is. Every call has a cost, so a lane pauses for a
//! moment after updates, and many changes in a short time cause only a few calls. A lane whose call fails backs off and
//! retries without limit.
//!
//! A store that was unavailable may have dropped a watch silently, and an idle watch looks the same as a dropped one.
//! So the third lane probes: it regularly makes the cheapest call that there is, to find out whether the store answers.
//! If the store misses a probe, both watches are renewed as soon as it answers again. Until then a lane whose call
//! fails makes no further calls and waits for a successful probe.
//!
//! A probe that is answered doesn't show that the connections of the watches work: they may be dead while the store
//! answers on others. So a probe returns the store's revision, and if no lane has reported a change up to there in the time
//! that a call may take, the watches that don't reach it are given up for listings. A watch is also renewed if a peer has
//! shown a change that it missed.
//! Neither shows every missed change: a probe's read may be seconds old, and peers may miss the same change. So the store may
//! hold a watch only for a few seconds.
//!
//! | mode | lanes that make calls | nodes in this mode |
//! | --- | --- | --- |
//! | [`Watching`](ReadingMode::Watching) | all | a reader |
//! | [`Once`](ReadingMode::Once) | both reading lanes, until each has made its listing; the probe while a listing fails | a starting process, and a follower whose peers don't send what it lacks |
//! | [`Probing`](ReadingMode::Probing) | the probe | a prober, which receives no messages from a reader |
//! | [`Following`](ReadingMode::Following) | none | a follower, whose updates come from a reader |
//!
//! | missing reply | timeout | consequence |
//! | --- | --- | --- |
//! | to a listing | [`ReaderSettings::call_timeout`] | the lane backs off |
//! | to a watch | [`ReaderSettings::watch`] plus `call_timeout` | the lane backs off |
//! | to a probe | [`ReaderSettings::probe_timeout`] | the store counts as unavailable |
//! | from a reader, at its followers | set by the gateway's `store_role` | the follower becomes a prober |

mod confirmation;
mod epochs;
mod lane;
mod message;
mod renewal;
mod replies;
mod reported;

pub use message::{
    Backoff, CancelCause, EpochSource, Lane, ProbeIntervals, ReaderAction, ReaderSettings, ReadingMode, StoreCall,
    StoreReply,
};

use crate::state::store_revision::{StoreEpoch, StoreRevision};
use lane::{LaneReader, LaneState};
use reported::ReportedRevisions;
use staircross_types::BootTime;
use std::time::Duration;

/// Schedules the calls to the store.
#[derive(Debug)]
pub struct StoreReader {
    settings: ReaderSettings,
    mode: ReadingMode,
    /// The lanes, in the order of [`Lane::ALL`].
    lanes: [LaneReader; Lane::ALL.len()],
    /// The newest epoch of the store that is known.
    epoch: StoreEpoch,
    /// The store's revision according to the last probe; `None` if that failed.
    probed_revision: Option<StoreRevision>,
    /// The changes that the lanes have reported.
    reported: ReportedRevisions,
    /// Whether the last probe failed, so that the watches must be renewed once the store answers again.
    has_missed_probe: bool,
    /// Whether followers rely on this node's probes of the store.
    has_followers: bool,
    /// Time until which entries may be missing because the store was unavailable.
    disturbed_until: BootTime,
    /// Time until which the pauses after updates of searchers are short, because the process has just restarted.
    starting_until: BootTime,
}

impl StoreReader {
    /// Creates a reader in the mode [`ReadingMode::Watching`] whose first calls are due at once.
    pub fn new(settings: ReaderSettings) -> Self {
        let lanes = Lane::ALL.map(|lane| LaneReader {
            lane,
            state: LaneState::Scheduled { at: BootTime::default() },
            known_revision: None,
            was_known: false,
            partial: None,
            failures: 0,
            is_refused: false,
            is_reachable: false,
            reregistration_until: BootTime::default(),
            answered_at: None,
            called_at: BootTime::default(),
            is_receiving: false,
            must_confirm: false,
            unreported: None,
            listed_beyond: StoreRevision::NONE,
            listing_paused_until: BootTime::default(),
        });
        StoreReader {
            settings,
            mode: ReadingMode::Watching,
            lanes,
            epoch: StoreEpoch::UNTOLD,
            probed_revision: None,
            reported: ReportedRevisions::default(),
            has_missed_probe: false,
            has_followers: false,
            disturbed_until: BootTime::default(),
            starting_until: BootTime::default(),
        }
    }

    /// Sets the initial mode, if it isn't [`ReadingMode::Watching`].
    pub fn with_mode(mut self, now: BootTime, mode: ReadingMode) -> Self {
        self.set_mode(now, mode, &mut Vec::new());
        self
    }

    /// Makes the pauses after updates of searchers short until `starting_until`. A restarted process knows only what
    /// the store holds now, and lapsed entries may just be in the course of being written anew.
    pub fn with_starting_until(mut self, starting_until: BootTime) -> Self {
        self.starting_until = starting_until;
        self
    }

    /// Changes the settings of a running reader. A probe that is due later than the new settings allow is made earlier.
    pub fn set_settings(&mut self, now: BootTime, settings: ReaderSettings) {
        self.settings = settings;
        let latest = now + self.probe_interval(!self.has_missed_probe);
        if let LaneState::Scheduled { at } = &mut self.lane_mut(Lane::Probe).state {
            *at = (*at).min(latest);
        }
    }

    /// Returns the time at which the next call is due.
    pub fn next_wake(&self) -> Option<BootTime> {
        let due = self.lanes.iter().filter_map(|lane| match lane.state {
            LaneState::Scheduled { at } => Some(at),
            LaneState::Calling | LaneState::AwaitingProbe | LaneState::Suspended => None,
        });
        due.min()
    }

    /// Returns whether the store answers both reading lanes.
    pub fn is_reachable(&self) -> bool {
        let are_pages_served = !self.has_pages() || self.lane(Lane::SearcherPages).failures == 0;
        let is_served = |lane| self.lane(lane).is_reachable;
        is_served(Lane::Configuration) && is_served(Lane::Searchers) && are_pages_served
    }

    /// Returns how long the store has sent no reply to a lane's calls; `None` if the mode makes no calls of the lane. A
    /// watch that has nothing to report is as silent as one whose connection is dead.
    pub fn silence(&self, now: BootTime, lane: Lane) -> Option<Duration> {
        self.lane(lane).answered_at.map(|at| now.since(at))
    }

    /// Returns the time of the last call of a lane.
    pub fn called_at(&self, lane: Lane) -> BootTime {
        self.lane(lane).called_at
    }

    /// Returns whether a watch of the configuration is open. A store that answers then sends changes at once.
    pub fn watches_configuration(&self) -> bool {
        let lane = self.lane(Lane::Configuration);
        lane.known_revision.is_some() && lane.state == LaneState::Calling && !self.has_missed_probe
    }

    /// Returns whether everything that the last probe showed is known. A probe that shows more doesn't confirm that the
    /// configuration is the newest.
    pub fn knows_probed_revision(&self) -> bool {
        self.probed_revision.is_some_and(|revision| self.is_known(revision))
    }

    /// Returns whether a reading lane has reached the revision.
    fn is_known(&self, revision: StoreRevision) -> bool {
        self.lanes.iter().filter_map(|lane| lane.known_revision).any(|known| known >= revision)
    }

    /// Sets the mode. Open calls of lanes that the mode doesn't use are cancelled; the other lanes continue from the
    /// revision that they or a peer's update have reached.
    pub fn set_mode(&mut self, now: BootTime, mode: ReadingMode, actions: &mut Vec<ReaderAction>) {
        self.mode = mode;
        if matches!(mode, ReadingMode::Following | ReadingMode::Probing) {
            self.lanes.iter_mut().for_each(|lane| lane.drop_listing(now, actions));
        }
        let (has_failed_read, has_pages) = (self.has_failed_read(), self.has_pages());
        for lane in &mut self.lanes {
            let is_used = lane.is_used(mode, has_failed_read, has_pages);
            if !is_used && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane, cause: CancelCause::Unused });
            }
            if !is_used {
                lane.state = LaneState::Suspended;
                lane.answered_at = None;
            } else if lane.state == LaneState::Suspended {
                lane.failures = 0;
                lane.state = LaneState::Scheduled { at: now };
            }
        }
        if mode == ReadingMode::Following {
            self.has_missed_probe = false;
        }
    }

    /// Sets whether followers rely on this node's probes of the store. If they do, probes are more frequent, and the
    /// first one is due at once.
    pub fn set_has_followers(&mut self, now: BootTime, has_followers: bool) {
        let begins = has_followers && !self.has_followers;
        self.has_followers = has_followers;
        let probe = self.lane_mut(Lane::Probe);
        if begins && matches!(probe.state, LaneState::Scheduled { .. }) {
            probe.state = LaneState::Scheduled { at: now };
        }
    }

    /// Makes a node that doesn't watch the store read the configuration from it once, because peers have a newer
    /// configuration that is too large to be sent. A node that watches the store reads it anyway.
    pub fn read_configuration(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        if self.mode == ReadingMode::Following || (self.mode == ReadingMode::Once && !self.is_reading_once()) {
            self.lane_mut(Lane::Configuration).known_revision = None;
            self.set_mode(now, ReadingMode::Once, actions);
        }
    }

    /// Lists the searchers anew, because what is known of them may be wrong. A prober, which the store may not answer,
    /// lists them once it has another role.
    pub fn read_searchers_again(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        if self.mode == ReadingMode::Probing {
            return;
        }
        let is_following = self.mode == ReadingMode::Following;
        self.discard_pages(actions);
        let lane = self.lane_mut(Lane::Searchers);
        lane.known_revision = None;
        if lane.state == LaneState::Calling {
            actions.push(ReaderAction::Cancel { lane: Lane::Searchers, cause: CancelCause::EntriesDoubted });
        }
        if lane.failures == 0 && lane.state != LaneState::Suspended {
            lane.state = LaneState::Scheduled { at: now };
        }
        if is_following {
            self.set_mode(now, ReadingMode::Once, actions);
        }
    }

    /// Returns whether a lane has yet to complete its listing in the mode [`ReadingMode::Once`].
    pub fn is_reading_once(&self) -> bool {
        let has_pages = self.has_pages();
        self.mode == ReadingMode::Once && self.lanes.iter().any(|lane| lane.is_used(self.mode, false, has_pages))
    }

    /// Returns whether the last call of any lane that the mode uses has failed.
    fn has_failed_read(&self) -> bool {
        let has_pages = self.has_pages();
        self.lanes.iter().any(|lane| lane.is_used(self.mode, false, has_pages) && lane.failures > 0)
    }

    /// Returns whether further pages of a listing of the searchers are to be read.
    fn has_pages(&self) -> bool {
        self.lane(Lane::Searchers).partial.is_some()
    }

    /// Drops the pages that have been read of an incomplete listing of the searchers.
    fn discard_pages(&mut self, actions: &mut Vec<ReaderAction>) {
        self.lane_mut(Lane::Searchers).partial = None;
        let pages = self.lane_mut(Lane::SearcherPages);
        if std::mem::replace(&mut pages.state, LaneState::Suspended) == LaneState::Calling {
            actions.push(ReaderAction::Cancel { lane: Lane::SearcherPages, cause: CancelCause::Unused });
        }
    }

    /// Returns whether live searchers may be missing from the known entries. Entries lapse while the store is
    /// unavailable and are written anew one by one; a restarted process can't know which entries those are.
    pub fn may_lack_searchers(&self, now: BootTime) -> bool {
        now < self.starting_until || now < self.lane(Lane::Searchers).reregistration_until
    }

    /// Records that the entries of `removals` searchers were removed together, and returns whether they may have lapsed: the
    /// store was unavailable, they are many, or this process has just started. Otherwise the searchers are leaving.
    pub fn note_removals(&mut self, now: BootTime, removals: usize) -> bool {
        let lane = self.lane_mut(Lane::Searchers);
        lane.note_removals(now, removals);
        let is_failing = lane.failures > 0;
        is_failing || self.has_missed_probe || now < self.disturbed_until || self.may_lack_searchers(now)
    }

    /// Requests the calls that are due.
    pub fn on_tick(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        let (mode, has_failed_read) = (self.mode, self.has_failed_read());
        let mut next_page = self.lane(Lane::Searchers).partial.as_ref().map(|partial| partial.next_key.clone());
        let has_pages = next_page.is_some();
        for lane in &mut self.lanes {
            if !lane.is_used(mode, has_failed_read, has_pages) {
                if lane.state == LaneState::Calling {
                    actions.push(ReaderAction::Cancel { lane: lane.lane, cause: CancelCause::Unused });
                }
                lane.state = LaneState::Suspended;
                lane.answered_at = None;
            } else if lane.state == LaneState::Suspended {
                lane.state = LaneState::Scheduled { at: now };
            }
            let is_due = matches!(lane.state, LaneState::Scheduled { at } if at <= now);
            let waits = self.settings.lanes_wait_for_probe && self.has_missed_probe;
            if is_due && waits && lane.failures > 0 {
                lane.state = LaneState::AwaitingProbe;
            } else if is_due {
                lane.state = LaneState::Calling;
                lane.answered_at.get_or_insert(now);
                lane.called_at = now;
                lane.is_receiving = false;
                let page = if lane.lane == Lane::SearcherPages { next_page.take() } else { None };
                actions.push(lane.next_call(&self.settings, page));
            }
        }
    }

    fn lane(&self, lane: Lane) -> &LaneReader {
        &self.lanes[lane as usize]
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut LaneReader {
        &mut self.lanes[lane as usize]
    }
}
