//! Calls to the store, its replies, and what the reader wants done.

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

/// What is asked of the store.
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
    /// Rest after updates of the configuration.
    pub configuration_rest: Duration,
    /// Rest after updates of searchers.
    pub searcher_rest: Duration,
    /// The same when entries have gone: those that only lapsed come back one by one.
    pub lapse_rest: Duration,
    /// Time between probes, and while the store is away.
    pub probe: (Duration, Duration),
    /// Time between probes while others rely on their answers.
    pub probe_for_others: Duration,
    /// Time between probes of a node that has lost its readers.
    pub probe_in_doubt: Duration,
    /// Longest wait for a probe's answer.
    pub probe_patience: Duration,
    /// First and longest wait after a failure.
    pub back_off: (Duration, Duration),
    /// Whether a lane that failed asks nothing while the probe fails too.
    pub lanes_wait_for_probe: bool,
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
            probe_in_doubt: Duration::from_millis(600),
            probe_patience: Duration::from_millis(800),
            back_off: (Duration::from_millis(150), Duration::from_millis(1000)),
            lanes_wait_for_probe: true,
        }
    }
}
