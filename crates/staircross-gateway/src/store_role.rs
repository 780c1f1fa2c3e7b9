//! Decides whether a node reads the store itself or follows a peer of its region that does.
//!
//! This module owns the node's role and the times that decide it. The fleet supplies the designated readers of the
//! region and their newest heartbeat: an announcement that contains the time at which the store last answered the
//! reader. The store reader makes the calls that the role's [`ReadingMode`] allows.
//!
//! | role | updates come from | changes to |
//! | --- | --- | --- |
//! | reader | the store | follower, once it isn't designated and receives a reader's heartbeat; a node that had to read by itself waits for `SELF_READING_TIME` first |
//! | follower | readers of its region | reader, if it is designated and its region is settled, or if a pull failed; prober, after `heartbeat_timeout` without a heartbeat |
//! | prober | no source | reader, if the store answers its probe and no heartbeat arrives within `PROBER_GRACE_FRACTION` of `heartbeat_timeout`; follower, if a heartbeat arrives |
//!
//! Each call to the store has a cost, and so has each byte of an answer that crosses regions. So
//! [`READERS_PER_REGION`] nodes of a region are designated readers and send the others their revisions and heartbeats
//! at once; the others pull the updates from them. A follower stays up to date even when its readers fail, and a
//! store that is down gets few calls: probes, not listings.

use staircross_routing::store_reader::ReadingMode;
use staircross_types::BootTime;
use std::time::Duration;

/// Number of designated readers of a region, in different zones if there are several. The loss of one reader leaves
/// another, and the loss of both is noticed within the heartbeat timeout. With two readers a zone there were 12 in
/// fleets of six zones, and their calls were nearly all of the calls of a quiet day.
pub const READERS_PER_REGION: usize = 2;
/// Time for which a node that had to read by itself continues to read. The time is long compared with the heartbeat
/// timeout, so that a region whose readers come and go doesn't list the store at each change.
const SELF_READING_TIME: Duration = Duration::from_secs(10);
/// Time without a change of a member of the region after which the region counts as settled, that is, all its members
/// are taken to be known. A node that knows a member contacts unknown seeds once a second, and 200 ms are added for a
/// late answer. When the readers were determined after half a second, most of 195 nodes considered themselves readers.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Maximum wait for the region to settle at the first start of a fleet, when seeds may start seconds late and there is
/// nothing to serve yet. This wait is shorter than the time that a fleet has to start before traffic arrives.
const MAX_FIRST_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Maximum wait for the region to settle at any later start, as a fraction of the heartbeat timeout. The fraction is
/// below 1, so that a designated reader reads before its followers would probe.
const MAX_SETTLE_FRACTION: f64 = 0.8;
/// Time that readers get for their first listing at the first start of a fleet; the heartbeat timeout counts from its
/// end. The time covers [`SETTLE_TIME`] and one call.
const FIRST_LISTING_TIME: Duration = Duration::from_millis(1500);
/// Time for which a prober that the store answers waits for its readers to reach the store too, as a fraction of the
/// heartbeat timeout. That timeout is 0.4 of the bound on updates: 0.4 of the bound, a probe, another third of 0.4 and
/// a call together stay below the bound.
const PROBER_GRACE_FRACTION: f64 = 0.33;
/// Time for which a reader waits for a large configuration from the store before it asks a peer, as a fraction of the
/// heartbeat timeout. The fraction is below 1, so that the reader has the configuration in time from either source.
const LARGE_CONFIGURATION_FRACTION: f64 = 0.75;

/// The source of a node's updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// The node reads the store.
    Reader,
    /// The node pulls updates from readers of its region.
    Follower,
    /// The node gets no updates: it receives no heartbeat, and probes the store.
    Prober,
}

impl StoreRole {
    /// Returns the role's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StoreRole::Reader => "reader",
            StoreRole::Follower => "follower",
            StoreRole::Prober => "prober",
        }
    }

    /// Returns the mode in which the store is read in this role.
    pub fn mode(self) -> ReadingMode {
        match self {
            StoreRole::Reader => ReadingMode::Watching,
            StoreRole::Follower => ReadingMode::Following,
            StoreRole::Prober => ReadingMode::Probing,
        }
    }
}

/// Why a node has its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleCause {
    /// The node is a designated reader, and its region is settled.
    Designated,
    /// A pull from a peer failed.
    PullFailed,
    /// The store answered a probe while no reader sent a heartbeat.
    StoreAnswered,
    /// A reader of the region sends heartbeats.
    Heartbeat,
    /// No reader of the region sends heartbeats.
    NoHeartbeat,
}

impl RoleCause {
    /// Returns the cause's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RoleCause::Designated => "designated",
            RoleCause::PullFailed => "pull_failed",
            RoleCause::StoreAnswered => "store_answered",
            RoleCause::Heartbeat => "heartbeat",
            RoleCause::NoHeartbeat => "no_heartbeat",
        }
    }
}

/// Decides a node's role from heartbeats, probes and members.
#[derive(Debug)]
pub struct StoreRoleSelector {
    /// Time without a heartbeat after which a follower becomes a prober.
    heartbeat_timeout: Duration,
    role: StoreRole,
    cause: RoleCause,
    /// Time of the store's last answer to a reader of the region, according to the heartbeats that arrived here.
    heartbeat_at: BootTime,
    /// Time until which the node reads the store even if it isn't designated, and why.
    reads_until: BootTime,
    reads_because: RoleCause,
    /// Time at which a member of the region last joined or changed.
    member_changed_at: BootTime,
    /// Time from which the region counts as settled even if further changes of members arrive.
    settled_by: BootTime,
    /// Time of the store's first answer to a probe since the node became a prober; `None` in other roles.
    probed_at: Option<BootTime>,
}

impl StoreRoleSelector {
    /// Creates the state of a process that has just started: a follower, which becomes a prober after
    /// `heartbeat_timeout` without a heartbeat.
    pub fn new(now: BootTime, heartbeat_timeout: Duration) -> Self {
        StoreRoleSelector {
            heartbeat_timeout,
            role: StoreRole::Follower,
            cause: RoleCause::Heartbeat,
            heartbeat_at: now,
            reads_until: BootTime::default(),
            reads_because: RoleCause::PullFailed,
            member_changed_at: now,
            settled_by: now + heartbeat_timeout.mul_f64(MAX_SETTLE_FRACTION),
            probed_at: None,
        }
    }

    /// Applies the times of a fleet's first start, which give readers time for their first listing.
    pub fn with_first_start(self, now: BootTime) -> Self {
        StoreRoleSelector { settled_by: now + MAX_FIRST_SETTLE_TIME, heartbeat_at: now + FIRST_LISTING_TIME, ..self }
    }

    /// Returns the role as last decided.
    pub fn role(&self) -> StoreRole {
        self.role
    }

    /// Returns why the node has its role.
    pub fn cause(&self) -> RoleCause {
        self.cause
    }

    /// Changes the heartbeat timeout. A shorter one counts from now, because the last heartbeat came at the interval of the
    /// old one.
    pub fn set_heartbeat_timeout(&mut self, now: BootTime, heartbeat_timeout: Duration) {
        if heartbeat_timeout < self.heartbeat_timeout && self.role == StoreRole::Follower {
            self.heartbeat_at = self.heartbeat_at.max(now);
        }
        self.heartbeat_timeout = heartbeat_timeout;
    }

    /// Records a change of a member of the region; further members may follow.
    pub fn record_member_change(&mut self, now: BootTime) {
        self.member_changed_at = now;
    }

    /// Records a heartbeat: the store answered a reader of the region at time `at`.
    pub fn record_heartbeat(&mut self, at: BootTime) {
        self.heartbeat_at = self.heartbeat_at.max(at);
    }

    /// Records that the store answered a probe of this node.
    pub fn record_probe_answered(&mut self, now: BootTime) {
        self.probed_at.get_or_insert(now);
    }

    /// Records that a pull from a peer failed: the node reads the store itself for `SELF_READING_TIME`.
    pub fn record_pull_failed(&mut self, now: BootTime) {
        self.read_for_a_while(now, RoleCause::PullFailed);
    }

    fn read_for_a_while(&mut self, now: BootTime, cause: RoleCause) {
        self.reads_until = now + SELF_READING_TIME;
        self.reads_because = cause;
    }

    /// Returns whether a reader pulls a configuration from a peer even if it is too large to be passed on to every
    /// node. It does so if the store doesn't serve the reader, or not in time: a store that a whole fleet reads at once
    /// takes a while to answer, and peers' links are narrower than the store's.
    pub fn should_pull_any_size(&self, now: BootTime, is_served: bool, behind_since: Option<BootTime>) -> bool {
        let max_wait = self.heartbeat_timeout.mul_f64(LARGE_CONFIGURATION_FRACTION);
        let is_late = behind_since.is_some_and(|since| now.since(since) >= max_wait);
        !is_served || is_late
    }

    /// Decides the role; `is_designated` says whether the node is one of its region's designated readers.
    pub fn decide(&mut self, now: BootTime, is_designated: bool) -> StoreRole {
        (self.role, self.cause) = match self.role {
            _ if is_designated && self.is_region_settled(now) => (StoreRole::Reader, RoleCause::Designated),
            _ if now < self.reads_until => (StoreRole::Reader, self.reads_because),
            _ if now.since(self.heartbeat_at) < self.heartbeat_timeout => (StoreRole::Follower, RoleCause::Heartbeat),
            StoreRole::Reader => (StoreRole::Reader, RoleCause::NoHeartbeat),
            StoreRole::Prober if self.is_probe_grace_over(now) => {
                self.read_for_a_while(now, RoleCause::StoreAnswered);
                (StoreRole::Reader, RoleCause::StoreAnswered)
            }
            StoreRole::Follower | StoreRole::Prober => (StoreRole::Prober, RoleCause::NoHeartbeat),
        };
        if self.role != StoreRole::Prober {
            self.probed_at = None;
        }
        self.role
    }

    fn is_region_settled(&self, now: BootTime) -> bool {
        now >= self.settled_by || now.since(self.member_changed_at) >= SETTLE_TIME
    }

    /// Returns whether the grace time of a prober is over: the store answered it that long ago, and still no heartbeat
    /// has arrived.
    fn is_probe_grace_over(&self, now: BootTime) -> bool {
        let grace = self.heartbeat_timeout.mul_f64(PROBER_GRACE_FRACTION);
        self.probed_at.is_some_and(|at| now.since(at) >= grace)
    }
}
