//! The types that pass between the reader and the node: calls to the store, replies, actions and settings.
//!
//! The node makes the calls; nothing here makes decisions. The content of updates is defined by the mirror.

use crate::state::mirror::MirrorUpdate;
use crate::state::store_revision::{StoreEpoch, StoreRevision};
use staircross_types::BootTime;
use std::time::Duration;

/// A kind of call to the store, of which at most one is open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Reads what the operator writes: the configuration and evacuations.
    Configuration,
    /// Reads the searchers' entries.
    Searchers,
    /// Reads the further pages of a listing of the searchers, while [`Lane::Searchers`] watches for changes since the first.
    SearcherPages,
    /// Reads nothing, but checks whether the store answers.
    Probe,
}

impl Lane {
    /// All lanes.
    pub const ALL: [Lane; 4] = [Lane::Configuration, Lane::Searchers, Lane::SearcherPages, Lane::Probe];

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Lane::Configuration => "configuration",
            Lane::Searchers => "searchers",
            Lane::Probe => "probe",
            Lane::SearcherPages => "searcher_pages",
        }
    }
}

/// Which calls are made to the store. The mode follows from the node's role in its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingMode {
    /// The configuration and the searchers are listed once and then watched, and the store is probed.
    Watching,
    /// The configuration and the searchers are listed once, unless they are known already. A process that has just
    /// started knows neither.
    Once,
    /// The store is only probed, to find out whether it would answer.
    Probing,
    /// No calls are made, because peers send what is new.
    Following,
}

/// One call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a page of the present items of a lane.
    List {
        /// The lane whose items are read.
        lane: Lane,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Waits for changes of a lane's items after a revision.
    Watch {
        /// The lane whose items are watched.
        lane: Lane,
        /// The revision after which changes are returned.
        after: StoreRevision,
        /// Longest time for which the store may hold the call.
        wait: Duration,
    },
    /// Makes a liveness probe, the cheapest call that there is, which also returns the store's revision.
    Probe,
}

/// The store's reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A page of a listing.
    Items {
        /// The items of the page.
        update: MirrorUpdate,
        /// The store's revision when the page was read.
        at: StoreRevision,
        /// Key after which the next page starts; `None` after the last page.
        next: Option<String>,
    },
    /// The changes that a watch has found.
    Changes {
        /// The changes.
        update: MirrorUpdate,
        /// Revision up to which the changes are complete.
        at: StoreRevision,
    },
    /// The store answered a probe.
    Alive {
        /// The store's revision. The read may be seconds old.
        revision: StoreRevision,
    },
    /// The store no longer has the history after the revision of the watch.
    HistoryGone,
    /// The store refused the call, or its reply was invalid; the state of the store is unknown.
    Refused {
        /// HTTP status code of the reply.
        status: u16,
    },
}

/// Why an open call is given up before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelCause {
    /// The mode makes no calls of the lane, or the listing is begun anew.
    Unused,
    /// The store missed a probe, so it may have dropped the watch.
    ProbeMissed,
    /// A probe showed a change that no watch reported, so the watch's connection may be dead.
    StoreAhead,
    /// A peer showed a change that the watch didn't report, so the watch's connection may be dead.
    PeerAhead,
    /// The store has come back from an older copy, so the call continues from something that it may not have.
    EpochBegan,
    /// The entries are to be listed anew, because the answers of a searcher contradict its entry.
    EntriesDoubted,
    /// This process stood still, so the reply may have been given long ago.
    ProcessGap,
}

impl CancelCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            CancelCause::Unused => "unused",
            CancelCause::ProbeMissed => "probe_missed",
            CancelCause::StoreAhead => "store_ahead",
            CancelCause::PeerAhead => "peer_ahead",
            CancelCause::EpochBegan => "epoch_began",
            CancelCause::EntriesDoubted => "entries_doubted",
            CancelCause::ProcessGap => "process_gap",
        }
    }
}

/// How the reader has learned of a new epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochSource {
    /// By the reply to a lane's call.
    Reply(Lane),
    /// By a peer.
    Peer,
}

impl EpochSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            EpochSource::Reply(lane) => lane.name(),
            EpochSource::Peer => "peer",
        }
    }
}

/// An action that the reader requests from the node.
#[derive(Clone, Debug, PartialEq)]
pub enum ReaderAction {
    /// Make a call; give it up and close its connection after `timeout`.
    Call {
        /// The lane that waits for the reply.
        lane: Lane,
        /// The call.
        call: StoreCall,
        /// Time after which the call is given up.
        timeout: Duration,
    },
    /// Give up the open call of a lane; its end must not be reported.
    Cancel {
        /// The lane.
        lane: Lane,
        /// Why the call is given up.
        cause: CancelCause,
    },
    /// Merge an update that a lane has read.
    Learned {
        /// The lane that read the update.
        lane: Lane,
        /// The update.
        update: MirrorUpdate,
    },
    /// All changes of a lane's items up to a time are known, as [`StoreReader::confirm`](super::StoreReader::confirm)
    /// has asked for.
    Confirmed {
        /// The lane.
        lane: Lane,
        /// The time at which the store was asked.
        asked_at: BootTime,
    },
    /// A listing is complete; only for the log.
    Listed {
        /// The lane.
        lane: Lane,
        /// Number of pages.
        pages: u32,
        /// Time from the call for the first page to the last page.
        took: Duration,
    },
    /// The store has come back from an older copy; only for the log.
    EpochBegan {
        /// The new epoch.
        epoch: StoreEpoch,
        /// The epoch before.
        former: StoreEpoch,
        /// How it was learned.
        source: EpochSource,
    },
    /// A reply was given in a former epoch and counts as refused; only for the log.
    FormerEpoch {
        /// The lane whose call was answered.
        lane: Lane,
        /// The epoch of the reply.
        epoch: StoreEpoch,
    },
    /// The store answers the lane's calls again, or has stopped answering them.
    Reachable {
        /// The lane.
        lane: Lane,
        /// Whether the store answers.
        is_reachable: bool,
    },
}

/// Time between two probes, from the end of one to the start of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeIntervals {
    /// Interval while the store answers.
    pub usual: Duration,
    /// Interval while the store doesn't answer; it bounds the delay after which the end of an outage is noticed.
    pub during_outage: Duration,
}

/// Exponential back-off after failed calls. It doubles with each further failure; the actual wait is drawn at random
/// between half of it and the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Back-off after the first failure.
    pub first: Duration,
    /// Longest back-off, after any number of failures.
    pub longest: Duration,
}

/// Timeouts and intervals of the reader. A timeout bounds the time without a reply from the store. A pause of a lane
/// after updates bounds the rate of calls, and with it the delay after which a change is learned.
#[derive(Clone, Debug)]
pub struct ReaderSettings {
    /// Time for which the store may hold a watch that has nothing to report.
    pub watch: Duration,
    /// Time after which a listing without a reply is given up. A watch is given up this long after the time for which
    /// the store may hold it. The connection of the call is closed.
    pub call_timeout: Duration,
    /// Pause of the lane after updates of the configuration.
    pub configuration_pause: Duration,
    /// Pause of the lane after updates of searchers.
    pub searcher_pause: Duration,
    /// Pause of the lane after removals of searchers, because entries that only lapsed are written anew one by one.
    pub removal_pause: Duration,
    /// Intervals between probes if no follower relies on them.
    pub probe: ProbeIntervals,
    /// Interval between the probes of a reader with followers while the store answers. It is well below the followers'
    /// timeout for a reader that sends nothing, so that one lost probe doesn't exceed that timeout.
    pub probe_with_followers: Duration,
    /// Interval between a prober's probes.
    pub probe_as_prober: Duration,
    /// Time after which a probe without a reply is given up and the store counts as unavailable.
    pub probe_timeout: Duration,
    /// Back-off of a lane after failed calls.
    pub back_off: Backoff,
    /// Whether a lane whose last call failed makes no call while probes fail too.
    pub lanes_wait_for_probe: bool,
}

/// The defaults. The gateway shortens the pauses and the probe intervals to fractions of the bounds in its settings.
impl Default for ReaderSettings {
    fn default() -> Self {
        ReaderSettings {
            // The store holds a watch for at most 30 s.
            watch: Duration::from_secs(25),
            // A call takes milliseconds; the bounds on the delay of updates are seconds.
            call_timeout: Duration::from_millis(1200),
            // Many changes in a short time must cause only a few calls.
            configuration_pause: Duration::from_millis(500),
            searcher_pause: Duration::from_millis(900),
            // On a day with an outage of the store, this pause and the grace period for lapsed searchers together
            // reduce the fraction of rejected requests from 0.019 to 0.001.
            removal_pause: Duration::from_millis(150),
            // With a probe every two seconds and watches renewed after a missed probe, the fraction of requests served
            // is 0.991 instead of 0.694 on a day on which the store is silent. A day without outages takes 156 calls
            // instead of 158.
            probe: ProbeIntervals { usual: Duration::from_millis(2000), during_outage: Duration::from_millis(400) },
            // The gateway derives both from the followers' timeout for a reader that sends nothing.
            probe_with_followers: Duration::from_millis(500),
            probe_as_prober: Duration::from_millis(600),
            // The timeout is below `call_timeout`, so that the probe fails before the calls of the other lanes do.
            probe_timeout: Duration::from_millis(800),
            // A short failure must delay a lane little, and a lasting one must cost only about a call a second.
            back_off: Backoff { first: Duration::from_millis(150), longest: Duration::from_millis(1000) },
            lanes_wait_for_probe: true,
        }
    }
}
