//! Whether a node reads the store itself or follows a peer of its region that does.
//!
//! Owns the node's role and the times that decide it. Relies on the fleet for which nodes are the region's designated readers and for
//! the last heartbeat of one (an announcement with the time at which the store last answered it), and on the store reader, which asks
//! what the role's [`ReadingMode`] says.
//!
//! | role | updates come from | becomes |
//! | --- | --- | --- |
//! | reader | the store | a follower, once it isn't designated and hears a reader; where it had to read by itself, after `HOLD` |
//! | follower | readers of its region | a reader where it is designated and its region complete, or a pull failed; a prober after `longest_silence` without a heartbeat |
//! | prober | nobody | a reader when the store answers it and `GRACE_FRACTION` of that silence more brings no heartbeat, a follower when it brings one |
//!
//! Each call to the store costs, and so does each byte of an answer that crosses regions. So [`READERS_PER_REGION`] nodes of a region
//! are designated, and send the others their revisions and heartbeats at once; the others pull what is new from them. A follower
//! stays in time whatever becomes of its readers, and a store that is away is asked little: by probes, not by listings.

use staircross_routing::store_reader::ReadingMode;
use staircross_types::BootTime;
use std::time::Duration;

/// Designated readers of a region, of different zones where there are some: the loss of one leaves one, and both are noticed missing
/// within a follower's silence. Two readers a zone were 12 on fleets of six zones, whose calls were nearly all of a quiet day.
pub const READERS_PER_REGION: usize = 2;
/// Time for which a node that had to read by itself goes on doing so. Long against the silence of a follower, so that a region whose readers come and
/// go doesn't list the store at each turn.
const HOLD: Duration = Duration::from_secs(10);
/// Time without a new member of the region after which a node takes it for complete: a joiner asks a seed once a second, and a fifth is
/// added for a late answer. Where nodes chose readers after half a second, most of 195 took themselves for readers.
const QUIET: Duration = Duration::from_millis(1200);
/// Longest wait for the region to be complete at the first start of a fleet, when seeds may be seconds late and there is nothing to serve. Below the
/// time that traffic leaves a fleet to start.
const MAX_FIRST_SETTLING: Duration = Duration::from_secs(3);
/// The same at any later start, as a fraction of the silence that a follower bears. Below 1, so that a designated reader reads before its followers
/// would probe.
const SETTLING_FRACTION: f64 = 0.8;
/// At the first start of a fleet, time that readers get for their first listing: silence counts from its end. For [`QUIET`] and a call.
const FIRST_READING: Duration = Duration::from_millis(1500);
/// Fraction of the silence that a follower bears for which a prober that the store answers waits for its readers to find the store
/// too. By the bound on updates: 0.4 of it, a probe, this third of 0.4 and a call stay below it.
const GRACE_FRACTION: f64 = 0.33;
/// Fraction of the silence that a follower bears for which a reader waits for a large configuration from the store before it asks a
/// peer. Below 1, so that the reader is in time either way.
const LARGE_FRACTION: f64 = 0.75;

/// Where a node's updates come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// From the store.
    Reader,
    /// From readers of its region.
    Follower,
    /// From nobody: it hears no reader, and probes the store.
    Prober,
}

impl StoreRole {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StoreRole::Reader => "reader",
            StoreRole::Follower => "follower",
            StoreRole::Prober => "prober",
        }
    }

    /// What is asked of the store in this role.
    pub fn mode(self) -> ReadingMode {
        match self {
            StoreRole::Reader => ReadingMode::Watching,
            StoreRole::Follower => ReadingMode::Following,
            StoreRole::Prober => ReadingMode::Probing,
        }
    }
}

/// Keeps a node's role.
#[derive(Debug)]
pub struct RoleKeeper {
    /// Time without a heartbeat that a follower bears.
    longest_silence: Duration,
    role: StoreRole,
    /// When the store last answered a reader of the region, as far as it was heard here.
    heartbeat_at: BootTime,
    /// Until when a node that isn't designated reads all the same.
    reads_until: BootTime,
    /// When a member of the region was learned of last.
    learned_at: BootTime,
    /// From when on the region counts as complete whatever is learned.
    settles_until: BootTime,
    /// When the store first answered a probe of this node, while it hears no reader.
    probed_at: Option<BootTime>,
}

impl RoleKeeper {
    /// A process that has just started and reads the store once. Without a heartbeat for `longest_silence` it becomes a
    /// prober.
    pub fn new(now: BootTime, longest_silence: Duration) -> Self {
        RoleKeeper {
            longest_silence,
            role: StoreRole::Follower,
            heartbeat_at: now,
            reads_until: BootTime::default(),
            learned_at: now,
            settles_until: now + longest_silence.mul_f64(SETTLING_FRACTION),
            probed_at: None,
        }
    }

    /// The fleet starts for the first time: others are given time to read.
    pub fn with_first_start(self, now: BootTime) -> Self {
        RoleKeeper { settles_until: now + MAX_FIRST_SETTLING, heartbeat_at: now + FIRST_READING, ..self }
    }

    /// The role as last decided.
    pub fn role(&self) -> StoreRole {
        self.role
    }

    /// Changes how long a follower bears silence.
    pub fn set_longest_silence(&mut self, longest_silence: Duration) {
        self.longest_silence = longest_silence;
    }

    /// Notes that a member of the region was learned of: there may be more.
    pub fn note_learned(&mut self, now: BootTime) {
        self.learned_at = now;
    }

    /// Notes that the store answered a reader of the region at a time.
    pub fn note_heartbeat(&mut self, at: BootTime) {
        self.heartbeat_at = self.heartbeat_at.max(at);
    }

    /// Notes that the store answered a probe of this node.
    pub fn note_probe_answered(&mut self, now: BootTime) {
        self.probed_at.get_or_insert(now);
    }

    /// Notes that a peer failed to send what the node lacks: it reads by itself for `HOLD`.
    pub fn note_unserved(&mut self, now: BootTime) {
        self.reads_until = now + HOLD;
    }

    /// Whether a node that reads asks a peer even for a configuration that is too large to be passed on to everybody: the store
    /// doesn't serve it, or not in time. A store that is being read by a whole fleet at once takes a while to answer, and
    /// peers' links are narrower than the store's.
    pub fn takes_any_size(&self, now: BootTime, is_served: bool, behind_since: Option<BootTime>) -> bool {
        let patience = self.longest_silence.mul_f64(LARGE_FRACTION);
        let is_late = behind_since.is_some_and(|since| now.since(since) >= patience);
        !is_served || is_late
    }

    /// Decides the role; `is_designated` when the node is one of its region's designated readers.
    pub fn decide(&mut self, now: BootTime, is_designated: bool) -> StoreRole {
        let is_reader = (is_designated && self.knows_region(now)) || now < self.reads_until;
        self.role = match self.role {
            _ if is_reader => StoreRole::Reader,
            _ if now.since(self.heartbeat_at) < self.longest_silence => StoreRole::Follower,
            StoreRole::Reader => StoreRole::Reader,
            StoreRole::Prober if self.must_read(now) => {
                self.reads_until = now + HOLD;
                StoreRole::Reader
            }
            StoreRole::Follower | StoreRole::Prober => StoreRole::Prober,
        };
        if self.role != StoreRole::Prober {
            self.probed_at = None;
        }
        self.role
    }

    fn knows_region(&self, now: BootTime) -> bool {
        now >= self.settles_until || now.since(self.learned_at) >= QUIET
    }

    /// Whether the store answers this node and still no reader is heard.
    fn must_read(&self, now: BootTime) -> bool {
        let grace = self.longest_silence.mul_f64(GRACE_FRACTION);
        self.probed_at.is_some_and(|at| now.since(at) >= grace)
    }
}
