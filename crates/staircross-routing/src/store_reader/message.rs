//! Calls to the store, its replies, what the reader wants done, and its times.
//!
//! Owns the types that pass between the reader and the node, which makes the calls; decides nothing. Relies on the mirror for what
//! an update holds.

use crate::state::mirror::MirrorUpdate;
use std::time::Duration;

/// What a lane reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// What the operator writes: the configuration and evacuations.
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

/// What is asked of the store. It follows from the node's role in its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingMode {
    /// Configuration and searchers are read once and then watched; the store is probed.
    Watching,
    /// Both are read once, until they are known; a process that has just started knows nothing.
    Once,
    /// The store is only probed, to find out whether it would answer.
    Probing,
    /// Nothing: peers send what is new.
    Following,
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A page of all that a lane reads, as it is now.
    List {
        /// Of what.
        lane: Lane,
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
    /// A liveness probe, as cheap as there is.
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
    /// Give up the call that is out on a lane; its end isn't to be reported.
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

/// Time between two probes, from one's end to the next's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeIntervals {
    /// While the store answers.
    pub usual: Duration,
    /// While it doesn't: the time by which its return is noticed too late.
    pub while_away: Duration,
}

/// Wait after a failure, which doubles with each further one. What is waited is drawn between half of that and the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// After the first failure.
    pub first: Duration,
    /// After any number of them.
    pub longest: Duration,
}

/// Times of the reader. A longest wait bounds a silence of the store; a rest bounds the rate of calls, and with it how late a
/// change is learned.
#[derive(Clone, Debug)]
pub struct ReaderSettings {
    /// How long the store may hold a watch that has nothing to report.
    pub watch: Duration,
    /// Silence after which a listing is given up, and a watch whose end has passed; its connection goes with it.
    pub patience: Duration,
    /// Rest after updates of the configuration.
    pub configuration_rest: Duration,
    /// Rest after updates of searchers.
    pub searcher_rest: Duration,
    /// The same when entries have gone: those that only lapsed come back one by one.
    pub lapse_rest: Duration,
    /// Time between probes where no follower relies on them.
    pub probe: ProbeIntervals,
    /// Time between probes of a reader with followers while the store answers. It lies well below the silence that they bear, so
    /// that one lost probe is none.
    pub probe_for_others: Duration,
    /// Time between a prober's probes.
    pub probe_in_doubt: Duration,
    /// Silence after which a probe is given up and the store taken for away.
    pub probe_patience: Duration,
    /// Wait of a lane after a call that failed.
    pub back_off: Backoff,
    /// Whether a lane that failed asks nothing while the probe fails too.
    pub lanes_wait_for_probe: bool,
}

/// The gateway shortens the rests and the times between probes to fractions of the bounds in its settings.
impl Default for ReaderSettings {
    fn default() -> Self {
        ReaderSettings {
            // Below the 30 s that the store holds a watch at the most.
            watch: Duration::from_secs(25),
            // Well above the milliseconds of a call, and below bounds on updates, which are seconds.
            patience: Duration::from_millis(1200),
            // A storm of changes is to be a few calls.
            configuration_rest: Duration::from_millis(500),
            searcher_rest: Duration::from_millis(900),
            // On a day with a store that was away, this and a grace for lapsed searchers took the share of rejected requests from
            // 0.019 to 0.001.
            lapse_rest: Duration::from_millis(150),
            // With a probe each two seconds, and watches renewed after a miss, a day on which the store was silent was served to 0.991
            // instead of 0.694; a quiet day took 156 calls instead of 158.
            probe: ProbeIntervals { usual: Duration::from_millis(2000), while_away: Duration::from_millis(400) },
            // The gateway derives both from the silence that followers bear.
            probe_for_others: Duration::from_millis(500),
            probe_in_doubt: Duration::from_millis(600),
            // Below `patience`: the probe is to fail before the lanes do.
            probe_patience: Duration::from_millis(800),
            // A lane that is turned back for a moment is to lose little, and one that fails for long to cost a call a second.
            back_off: Backoff { first: Duration::from_millis(150), longest: Duration::from_millis(1000) },
            lanes_wait_for_probe: true,
        }
    }
}
