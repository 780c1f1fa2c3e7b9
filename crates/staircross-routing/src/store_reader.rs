//! When the store is read, watched, or left alone.
//!
//! Two lanes read, one the configuration and one the searchers. Each reads once, then watches from
//! the revision it has reached, and reads again only when the store has forgotten the history in
//! between. Every call costs, so after news a lane rests for a moment: a storm of changes is then a
//! few calls. A lane that fails backs off and goes on trying for ever.
//!
//! A store that was away may have forgotten a watch without a word, and a watch that waits looks the
//! same as one that is dead. So a third lane asks now and then for a cheap sign of life; once the
//! store has missed one, both watches are renewed when it is back.

use crate::mirror::{MirrorItem, MirrorUpdate};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// What a lane reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// The configuration.
    Configuration,
    /// The searchers' entries.
    Searchers,
    /// Nothing: only whether the store answers.
    Probe,
}

impl Lane {
    /// All lanes.
    pub const ALL: [Lane; 3] = [Lane::Configuration, Lane::Searchers, Lane::Probe];

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Lane::Configuration => "configuration",
            Lane::Searchers => "searchers",
            Lane::Probe => "probe",
        }
    }
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// The configuration as it is now.
    ReadConfiguration,
    /// A page of searchers' entries, after a key.
    ListSearchers {
        /// Last key of the page before.
        after: Option<String>,
    },
    /// What changes after a revision.
    Watch {
        /// Of what.
        lane: Lane,
        /// The revision.
        after: u64,
        /// How long the store may hold the call.
        wait: Duration,
    },
    /// A sign of life, as cheap as there is.
    Probe,
}

/// What the store said.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Items, and the store's revision. `next` is the key to go on after when there are more.
    Items {
        /// The items.
        update: MirrorUpdate,
        /// The store's revision.
        at: u64,
        /// Where the next page begins.
        next: Option<String>,
    },
    /// Changes up to a revision.
    Changes {
        /// The changes.
        update: MirrorUpdate,
        /// The revision.
        at: u64,
    },
    /// It lives.
    Alive,
    /// The history after the revision asked for is gone.
    HistoryGone,
    /// Refused, or no proper answer; nothing is known.
    Refused {
        /// HTTP status.
        status: u16,
    },
}

/// What the reader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ReaderAction {
    /// Make a call; give up on it and its connection after `patience`.
    Call {
        /// The lane that waits for the reply.
        lane: Lane,
        /// The call.
        call: StoreCall,
        /// Longest wait.
        patience: Duration,
    },
    /// Give up the call that is out on a lane; its end isn't to be told.
    Cancel {
        /// The lane.
        lane: Lane,
    },
    /// Merge what was learned.
    Learned {
        /// From which lane.
        lane: Lane,
        /// What.
        update: MirrorUpdate,
    },
    /// The store answers on this lane again, or no longer.
    Reachable {
        /// The lane.
        lane: Lane,
        /// Whether it answers.
        is_reachable: bool,
    },
}

/// Times of the reader.
#[derive(Clone, Debug)]
pub struct ReaderSettings {
    /// How long the store may hold a watch.
    pub watch: Duration,
    /// Longest wait for any other call, and beyond a watch's end.
    pub patience: Duration,
    /// Rest after news of the configuration.
    pub configuration_rest: Duration,
    /// Rest after news of searchers.
    pub searcher_rest: Duration,
    /// The same when entries have gone: those that only lapsed come back one by one.
    pub lapse_rest: Duration,
    /// Time between signs of life, and while the store is away.
    pub probe: (Duration, Duration),
    /// Time between signs of life while others rely on them.
    pub probe_for_others: Duration,
    /// Longest wait for a sign of life.
    pub probe_patience: Duration,
    /// First and longest wait after a failure.
    pub back_off: (Duration, Duration),
}

impl Default for ReaderSettings {
    fn default() -> Self {
        ReaderSettings {
            watch: Duration::from_secs(25),
            patience: Duration::from_millis(1200),
            configuration_rest: Duration::from_millis(500),
            searcher_rest: Duration::from_millis(900),
            lapse_rest: Duration::from_millis(150),
            probe: (Duration::from_millis(2000), Duration::from_millis(400)),
            probe_for_others: Duration::from_millis(500),
            probe_patience: Duration::from_millis(800),
            back_off: (Duration::from_millis(150), Duration::from_millis(1000)),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum LaneState {
    /// The next call is due at a time.
    Resting { until: BootTime },
    /// A call is out.
    Calling,
    /// Nothing is asked: a peer tells what is new.
    Suspended,
}

#[derive(Debug)]
struct LaneReader {
    lane: Lane,
    state: LaneState,
    /// Revision that changes are known up to; `None` before the first read.
    after: Option<u64>,
    /// Pages of a listing that isn't whole yet, its revision and where it goes on.
    partial: Option<(MirrorUpdate, u64, String)>,
    failures: u32,
    is_reachable: bool,
}

/// Decides about calls to the store.
#[derive(Debug)]
pub struct StoreReader {
    settings: ReaderSettings,
    lanes: [LaneReader; 3],
    /// Whether the store has missed a sign of life since the watches began.
    was_away: bool,
    /// Whether others rely on this node's signs of life.
    has_followers: bool,
    /// Until when rests after news of searchers are short.
    is_young_until: BootTime,
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
        });
        StoreReader { settings, lanes, was_away: false, has_followers: false, is_young_until: BootTime::default() }
    }

    /// One that asks nothing at first if `is_following`.
    pub fn with_following(mut self, is_following: bool) -> Self {
        if is_following {
            self.lanes.iter_mut().for_each(|lane| lane.state = LaneState::Suspended);
        }
        self
    }

    /// One that looks again soon after news of searchers until a time. A process that was started anew knows
    /// only what the store holds now, and entries may just be coming back.
    pub fn with_young_until(mut self, is_young_until: BootTime) -> Self {
        self.is_young_until = is_young_until;
        self
    }

    /// When a call is due next.
    pub fn next_wake(&self) -> Option<BootTime> {
        let due = self.lanes.iter().filter_map(|lane| match lane.state {
            LaneState::Resting { until } => Some(until),
            LaneState::Calling | LaneState::Suspended => None,
        });
        due.min()
    }

    /// Whether the store answered last on both lanes.
    pub fn is_reachable(&self) -> bool {
        self.lanes.iter().all(|lane| lane.is_reachable || lane.lane == Lane::Probe)
    }

    /// Stops asking because a peer tells what is new, or begins again where the peer's word has led.
    pub fn set_following(&mut self, now: BootTime, is_following: bool, actions: &mut Vec<ReaderAction>) {
        for lane in &mut self.lanes {
            if is_following && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane });
            }
            if is_following {
                lane.state = LaneState::Suspended;
                lane.partial = None;
            } else if lane.state == LaneState::Suspended {
                lane.failures = 0;
                lane.state = LaneState::Resting { until: now };
            }
        }
        if is_following {
            self.was_away = false;
        }
    }

    /// Notes whether others rely on this node's signs of life; they come more often then, the first at once.
    pub fn set_has_followers(&mut self, now: BootTime, has_followers: bool) {
        let begins = has_followers && !self.has_followers;
        self.has_followers = has_followers;
        let probe = self.lane_mut(Lane::Probe);
        if begins && matches!(probe.state, LaneState::Resting { .. }) {
            probe.state = LaneState::Resting { until: now };
        }
    }

    /// Makes the calls that are due.
    pub fn on_tick(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        for lane in &mut self.lanes {
            if matches!(lane.state, LaneState::Resting { until } if until <= now) {
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
        if now < self.is_young_until {
            settings.searcher_rest = settings.searcher_rest.min(settings.lapse_rest);
        }
        if lane == Lane::Probe {
            return self.on_sign_of_life(now, matches!(reply, StoreReply::Alive), actions);
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
            return self.on_sign_of_life(now, false, actions);
        }
        self.lane_mut(lane).fail(now, &settings, random, actions);
    }

    fn on_sign_of_life(&mut self, now: BootTime, is_alive: bool, actions: &mut Vec<ReaderAction>) {
        let (usual, while_away) = self.settings.probe;
        let wait = match (is_alive, self.has_followers) {
            (true, true) => self.settings.probe_for_others,
            (true, false) => usual,
            (false, _) => while_away,
        };
        let probe = self.lane_mut(Lane::Probe);
        probe.state = LaneState::Resting { until: now + wait };
        probe.set_reachable(is_alive, actions);
        let is_back = is_alive && self.was_away;
        self.was_away = !is_alive;
        if is_back {
            self.renew_watches(now, actions);
        }
    }

    fn renew_watches(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        for lane in &mut self.lanes {
            if lane.lane != Lane::Probe && lane.state == LaneState::Calling {
                actions.push(ReaderAction::Cancel { lane: lane.lane });
                lane.state = LaneState::Resting { until: now };
            }
        }
    }

    /// A peer told everything up to `revision`; a lane that has read nothing yet can watch from there.
    pub fn on_told(&mut self, lane: Lane, revision: u64) {
        let reader = self.lane_mut(lane);
        if reader.after.is_none_or(|after| after < revision) {
            reader.after = Some(revision);
            reader.partial = None;
        }
    }

    fn lane_mut(&mut self, lane: Lane) -> &mut LaneReader {
        match lane {
            Lane::Configuration => &mut self.lanes[0],
            Lane::Searchers => &mut self.lanes[1],
            Lane::Probe => &mut self.lanes[2],
        }
    }
}

impl LaneReader {
    fn next_call(&self, settings: &ReaderSettings) -> ReaderAction {
        if self.lane == Lane::Probe {
            return ReaderAction::Call { lane: self.lane, call: StoreCall::Probe, patience: settings.probe_patience };
        }
        let (call, patience) = match (self.after, &self.partial, self.lane) {
            (Some(after), _, lane) => {
                let call = StoreCall::Watch { lane, after, wait: settings.watch };
                (call, settings.watch + settings.patience)
            }
            (None, Some((_, _, key)), _) => (StoreCall::ListSearchers { after: Some(key.clone()) }, settings.patience),
            (None, None, Lane::Configuration) => (StoreCall::ReadConfiguration, settings.patience),
            (None, None, Lane::Searchers | Lane::Probe) => {
                (StoreCall::ListSearchers { after: None }, settings.patience)
            }
        };
        ReaderAction::Call { lane: self.lane, call, patience }
    }

    fn take_page(
        &mut self,
        now: BootTime,
        update: MirrorUpdate,
        at: u64,
        next: Option<String>,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.state = LaneState::Resting { until: now };
        let (mut whole, first_at) = match self.partial.take() {
            Some((before, first_at, _)) => (before, first_at),
            None => (MirrorUpdate::default(), at),
        };
        whole.items.extend(update.items);
        if let Some(key) = next {
            self.partial = Some((whole, first_at, key));
            return;
        }
        // Pages are no snapshot: only what holds since the first page is known, the watch tells the rest.
        if self.lane == Lane::Searchers {
            whole.is_complete_for_searchers = true;
            whole.up_to = first_at;
        }
        self.after = Some(first_at);
        actions.push(ReaderAction::Learned { lane: self.lane, update: whole });
    }

    fn take_changes(
        &mut self,
        now: BootTime,
        mut update: MirrorUpdate,
        at: u64,
        settings: &ReaderSettings,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.after = Some(self.after.map_or(at, |after| after.max(at)));
        if update.items.is_empty() {
            self.state = LaneState::Resting { until: now };
        } else {
            let has_ends = update.items.iter().any(|(_, item)| matches!(item, MirrorItem::SearcherGone { .. }));
            let rest = match self.lane {
                Lane::Configuration => settings.configuration_rest,
                Lane::Searchers | Lane::Probe if has_ends => settings.lapse_rest.min(settings.searcher_rest),
                Lane::Searchers | Lane::Probe => settings.searcher_rest,
            };
            self.state = LaneState::Resting { until: now + rest };
        }
        if self.lane == Lane::Searchers {
            update.up_to = at;
        }
        actions.push(ReaderAction::Learned { lane: self.lane, update });
    }

    fn fail(
        &mut self,
        now: BootTime,
        settings: &ReaderSettings,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        let (first, longest) = settings.back_off;
        let wait = (first * (1 << self.failures.min(6))).min(longest);
        self.failures = self.failures.saturating_add(1);
        // Spread, so that nodes that failed together don't come back together.
        let spread = random.random_range(0.5..1.0);
        self.state = LaneState::Resting { until: now + wait.mul_f64(spread) };
        self.set_reachable(false, actions);
    }

    fn set_reachable(&mut self, is_reachable: bool, actions: &mut Vec<ReaderAction>) {
        if self.is_reachable != is_reachable {
            self.is_reachable = is_reachable;
            actions.push(ReaderAction::Reachable { lane: self.lane, is_reachable });
        }
    }
}
