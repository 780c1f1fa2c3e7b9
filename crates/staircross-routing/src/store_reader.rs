//! When the store is read, watched, or left alone.
//!
//! Owns the times of all calls to the store and the revision that each lane has reached. It makes no call itself: it says which are
//! due, and the node hands back what became of them. Relies on the node for its role, which gives the mode, and on the mirror, which
//! merges whatever was read.
//!
//! A *lane* is a kind of call with at most one call out. Two lanes read, one the configuration and one the searchers. Each lists once,
//! then watches from the revision it has reached, and lists again only when the store has forgotten the history in between. Every call
//! costs, so after updates a lane rests for a moment: a storm of changes is then a few calls. A lane that fails backs off and goes on
//! trying for ever.
//!
//! A store that was away may have forgotten a watch without a word, and a watch that is held looks the same as one that is dead. So the
//! third lane probes: now and then it makes the cheapest call there is, to learn whether the store answers. Once the store has missed
//! a probe, both watches are renewed when it is back, and a lane that fails meanwhile leaves it to the probe to find that out.
//!
//! | mode | lanes that ask | who is in it |
//! | --- | --- | --- |
//! | [`Watching`](ReadingMode::Watching) | all | a reader |
//! | [`Once`](ReadingMode::Once) | both that read, until each has listed; the probe while a listing fails | a starting process, and a follower whose peers don't pass on what it lacks |
//! | [`Probing`](ReadingMode::Probing) | the probe | a prober, which hears no reader |
//! | [`Following`](ReadingMode::Following) | none | a follower, whose updates come from a reader |
//!
//! | silence | bounded by | what follows |
//! | --- | --- | --- |
//! | of a store that is listed | [`ReaderSettings::patience`] | the lane backs off |
//! | of a store that holds a watch | [`ReaderSettings::watch`] and `patience` | the lane backs off |
//! | of a store that is probed | [`ReaderSettings::probe_patience`] | the store counts as away |
//! | of a reader, at its followers | the gateway's `store_role` | the follower becomes a prober |

mod lane;
mod message;

pub use message::{Backoff, Lane, ProbeIntervals, ReaderAction, ReaderSettings, ReadingMode, StoreCall, StoreReply};

use lane::{LaneReader, LaneState};
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Longest time from a store's return to the next probe, which shows that renewed watches are held. Followers wait for a reader's
/// announcement that the store serves it for a third of the silence that they bear; those that hear none all read by themselves, some
/// ten calls each. With a probe this soon, a day on which the store was away took 750 calls instead of 1,339. A watch is begun within
/// milliseconds.
const CONFIRMATION: Duration = Duration::from_millis(150);

/// Decides about calls to the store.
#[derive(Debug)]
pub struct StoreReader {
    settings: ReaderSettings,
    mode: ReadingMode,
    /// In the order of [`Lane::ALL`].
    lanes: [LaneReader; 3],
    /// Whether the store has missed a probe since the watches began.
    was_away: bool,
    /// Whether others rely on this node's probes of the store.
    has_followers: bool,
    /// Until when the rests after updates of searchers are short.
    starting_until: BootTime,
}

impl StoreReader {
    /// A reader that begins at once.
    pub fn new(settings: ReaderSettings) -> Self {
        let lanes = Lane::ALL.map(|lane| LaneReader {
            lane,
            state: LaneState::Resting { until: BootTime::default() },
            after: None,
            partial: None,
            failures: 0,
            is_reachable: false,
            returns_until: BootTime::default(),
        });
        StoreReader {
            settings,
            mode: ReadingMode::Watching,
            lanes,
            was_away: false,
            has_followers: false,
            starting_until: BootTime::default(),
        }
    }

    /// One that begins in another mode than watching.
    pub fn with_mode(mut self, now: BootTime, mode: ReadingMode) -> Self {
        self.set_mode(now, mode, &mut Vec::new());
        self
    }

    /// One that looks again soon after updates of searchers until a time. A restarted process knows
    /// only what the store holds now, and entries may just be coming back.
    pub fn with_starting_until(mut self, starting_until: BootTime) -> Self {
        self.starting_until = starting_until;
        self
    }

    /// When a call is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        let due = self.lanes.iter().filter_map(|lane| match lane.state {
            LaneState::Resting { until } => Some(until),
            LaneState::Calling | LaneState::AwaitingProbe | LaneState::Suspended => None,
        });
        due.min()
    }

    /// Whether the store answered last on both lanes.
    pub fn is_reachable(&self) -> bool {
        self.lanes.iter().all(|lane| lane.is_reachable || lane.lane == Lane::Probe)
    }

    /// Whether a watch of the configuration is out, to which a store that answers sends at once what is new.
    pub fn watches_configuration(&self) -> bool {
        let lane = self.lane(Lane::Configuration);
        lane.after.is_some() && lane.state == LaneState::Calling && !self.was_away
    }

    /// Changes what is asked: calls of lanes that aren't wanted any more are cancelled, other lanes go on from the revision that they
    /// or a peer's update have reached.
    pub fn set_mode(&mut self, now: BootTime, mode: ReadingMode, actions: &mut Vec<ReaderAction>) {
        self.mode = mode;
        let has_failed_read = self.has_failed_read();
        for lane in &mut self.lanes {
            let is_wanted = lane.is_wanted(mode, has_failed_read);
            if !is_wanted && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane });
            }
            if !is_wanted {
                lane.state = LaneState::Suspended;
                lane.partial = None;
            } else if lane.state == LaneState::Suspended {
                lane.failures = 0;
                lane.state = LaneState::Resting { until: now };
            }
        }
        if mode == ReadingMode::Following {
            self.was_away = false;
        }
    }

    /// Notes whether others rely on this node's probes of the store; they come more often then, the first at once.
    pub fn set_has_followers(&mut self, now: BootTime, has_followers: bool) {
        let begins = has_followers && !self.has_followers;
        self.has_followers = has_followers;
        let probe = self.lane_mut(Lane::Probe);
        if begins && matches!(probe.state, LaneState::Resting { .. }) {
            probe.state = LaneState::Resting { until: now };
        }
    }

    /// Reads the configuration once by itself: peers have a newer one that is too large to be passed on. A node that watches reads
    /// it anyway.
    pub fn read_configuration(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        if self.mode == ReadingMode::Following || (self.mode == ReadingMode::Once && !self.is_reading_once()) {
            self.lane_mut(Lane::Configuration).after = None;
            self.set_mode(now, ReadingMode::Once, actions);
        }
    }

    /// Whether a node that follows is reading something by itself.
    pub fn is_reading_once(&self) -> bool {
        self.mode == ReadingMode::Once && self.lanes.iter().any(|lane| lane.is_wanted(self.mode, false))
    }

    /// Whether something that is wanted couldn't be read the last time.
    fn has_failed_read(&self) -> bool {
        self.lanes.iter().any(|lane| lane.is_wanted(self.mode, false) && lane.failures > 0)
    }

    /// Whether searchers that live may be missing from what is known: entries lapse while the store is away, and are written anew
    /// one by one. A restarted process can't know which those are.
    pub fn may_lack_searchers(&self, now: BootTime) -> bool {
        now < self.starting_until || now < self.lane(Lane::Searchers).returns_until
    }

    /// Makes the calls that are due.
    pub fn on_tick(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        let (mode, has_failed_read) = (self.mode, self.has_failed_read());
        for lane in &mut self.lanes {
            if !lane.is_wanted(mode, has_failed_read) {
                lane.state = LaneState::Suspended;
            } else if lane.state == LaneState::Suspended {
                lane.state = LaneState::Resting { until: now };
            }
            let is_due = matches!(lane.state, LaneState::Resting { until } if until <= now);
            let waits = self.settings.lanes_wait_for_probe && self.was_away;
            if is_due && waits && lane.failures > 0 {
                lane.state = LaneState::AwaitingProbe;
            } else if is_due {
                lane.state = LaneState::Calling;
                actions.push(lane.next_call(&self.settings));
            }
        }
    }

    /// Takes a reply.
    pub fn on_reply(
        &mut self,
        now: BootTime,
        lane: Lane,
        reply: StoreReply,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        let mut settings = self.settings.clone();
        if now < self.starting_until {
            settings.searcher_rest = settings.searcher_rest.min(settings.lapse_rest);
        }
        if lane == Lane::Probe {
            return self.on_probe_ended(now, matches!(reply, StoreReply::Alive), actions);
        }
        let reader = self.lane_mut(lane);
        match reply {
            StoreReply::Alive => reader.state = LaneState::Resting { until: now },
            StoreReply::Refused { .. } => return reader.fail(now, &settings, random, actions),
            StoreReply::HistoryGone => {
                reader.after = None;
                reader.partial = None;
                reader.state = LaneState::Resting { until: now };
            }
            StoreReply::Items { update, at, next } => reader.take_page(now, update, at, next, actions),
            StoreReply::Changes { update, at } => reader.take_changes(now, update, at, &settings, actions),
        }
        reader.failures = 0;
        reader.set_reachable(true, actions);
    }

    /// A call brought no reply: its connection broke, or its time was over.
    pub fn on_failed(&mut self, now: BootTime, lane: Lane, random: &mut ChaCha8Rng, actions: &mut Vec<ReaderAction>) {
        let settings = self.settings.clone();
        if lane == Lane::Probe {
            return self.on_probe_ended(now, false, actions);
        }
        self.lane_mut(lane).fail(now, &settings, random, actions);
    }

    fn on_probe_ended(&mut self, now: BootTime, is_alive: bool, actions: &mut Vec<ReaderAction>) {
        let wait = self.probe_interval(is_alive);
        let is_back = is_alive && self.was_away;
        // The next probe shows that the watches renewed below are held.
        let wait = if is_back { wait.min(CONFIRMATION) } else { wait };
        let probe = self.lane_mut(Lane::Probe);
        probe.state = LaneState::Resting { until: now + wait };
        probe.set_reachable(is_alive, actions);
        self.was_away = !is_alive;
        if is_back {
            self.renew_watches(now, actions);
        } else if is_alive {
            self.note_held_watches(actions);
        }
    }

    fn probe_interval(&self, is_alive: bool) -> Duration {
        match (self.mode, is_alive, self.has_followers) {
            (ReadingMode::Probing, ..) => self.settings.probe_in_doubt,
            (_, true, true) => self.settings.probe_for_others,
            (_, true, false) => self.settings.probe.usual,
            (_, false, _) => self.settings.probe.while_away,
        }
    }

    /// A store that answers the probe holds the watches that were begun from a revision that a peer had sent; they are answered
    /// only when something changes.
    fn note_held_watches(&mut self, actions: &mut Vec<ReaderAction>) {
        let is_held = |lane: &&mut LaneReader| {
            lane.lane != Lane::Probe && lane.state == LaneState::Calling && lane.after.is_some() && lane.failures == 0
        };
        self.lanes.iter_mut().filter(is_held).for_each(|lane| lane.set_reachable(true, actions));
    }

    /// Has lanes ask again: those whose watch may have been forgotten, and those that wait for the store.
    fn renew_watches(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        for lane in &mut self.lanes {
            if lane.lane != Lane::Probe && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane });
                lane.state = LaneState::Resting { until: now };
                lane.failures = 0;
            } else if lane.state == LaneState::AwaitingProbe {
                lane.state = LaneState::Resting { until: now };
                lane.failures = 0;
            }
        }
    }

    /// With what a peer sent, everything up to `revision` is known, 0 when nothing is; a lane that has read nothing yet can watch from
    /// there. A listing that is under way goes on: its next page would be taken for the whole.
    pub fn on_peer_report(&mut self, lane: Lane, revision: u64) {
        let reader = self.lane_mut(lane);
        let is_listing = reader.after.is_none() && (reader.state == LaneState::Calling || reader.partial.is_some());
        if revision > 0 && !is_listing && reader.after.is_none_or(|after| after < revision) {
            reader.after = Some(revision);
        }
    }

    fn lane(&self, lane: Lane) -> &LaneReader {
        &self.lanes[lane as usize]
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut LaneReader {
        &mut self.lanes[lane as usize]
    }
}
