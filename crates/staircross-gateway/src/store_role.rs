//! Whether a node reads the store itself or follows a peer of its region that does.
//!
//! Each call to the store costs, and so does each byte of an answer that crosses regions. In a region of more
//! than a few nodes two of them read; they tell the others of the region at once what revision they have
//! reached, and that the store still answers them. The others pull what is new from them. Whoever hears no
//! such heartbeat for a part of the time that updates may take probes the store, and if that answers while still no reader is
//! heard, reads by itself; so a node follows in time whatever becomes of its readers, and a store that is away is
//! asked little.

use staircross_routing::store_reader::ReadingMode;
use staircross_types::BootTime;
use std::time::Duration;

/// Nodes of each region that read, of different zones where there are some.
pub const READERS_PER_REGION: usize = 2;
/// Time for which a node that had to read by itself goes on doing so.
const HOLD: Duration = Duration::from_secs(10);
/// A node knows its region when it has learned of no other member for so long: whoever joins asks a seed once a second.
const QUIET: Duration = Duration::from_millis(1200);
/// Longest time that a node waits to know its region: at the first start of a fleet, when seeds may be seconds late and there
/// is nothing to serve, and later, as a part of the silence that a follower bears.
const MAX_FIRST_SETTLING: Duration = Duration::from_secs(3);
const SETTLING_FRACTION: f64 = 0.8;
/// At the first start of a fleet: time until readers have told what they read.
const FIRST_READING: Duration = Duration::from_millis(1500);
/// Part of the silence that a follower bears for which it then waits for its readers to find the store too.
const GRACE_FRACTION: f64 = 0.33;

/// Part of the silence that a follower bears for which a reader waits for a large configuration from the store.
const LARGE_FRACTION: f64 = 0.75;

/// Where a node has its updates from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// From the store.
    Reader,
    /// From readers of its region.
    Follower,
    /// From nobody: it hears no reader, and asks whether the store answers.
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
    longest_silence: Duration,
    role: StoreRole,
    /// When the store last answered a reader of the region, as far as it was heard here.
    heartbeat: BootTime,
    reads_until: BootTime,
    /// When a member of the region was learned of last; until when the region may be incomplete at the latest.
    learned_at: BootTime,
    settles_until: BootTime,
    /// When the store first answered a probe of this node, while it hears no reader.
    probed_at: Option<BootTime>,
}

impl RoleKeeper {
    /// A process that has just started and reads the store once. Without a heartbeat for `longest_silence` it looks whether it
    /// must read by itself.
    pub fn new(now: BootTime, longest_silence: Duration) -> Self {
        RoleKeeper {
            longest_silence,
            role: StoreRole::Follower,
            heartbeat: now,
            reads_until: BootTime::default(),
            learned_at: now,
            settles_until: now + longest_silence.mul_f64(SETTLING_FRACTION),
            probed_at: None,
        }
    }

    /// The fleet starts for the first time: others are given time to read.
    pub fn with_first_start(self, now: BootTime) -> Self {
        RoleKeeper { settles_until: now + MAX_FIRST_SETTLING, heartbeat: now + FIRST_READING, ..self }
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
        self.heartbeat = self.heartbeat.max(at);
    }

    /// Notes that the store answered a probe of this node.
    pub fn note_probe_answered(&mut self, now: BootTime) {
        self.probed_at.get_or_insert(now);
    }

    /// Notes that the node lacks something that its peers did not give it.
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

    /// Decides the role; `is_designated` when the node is one of its region's readers.
    pub fn decide(&mut self, now: BootTime, is_designated: bool) -> StoreRole {
        let is_reader = (is_designated && self.knows_region(now)) || now < self.reads_until;
        self.role = match self.role {
            _ if is_reader => StoreRole::Reader,
            _ if now.since(self.heartbeat) < self.longest_silence => StoreRole::Follower,
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
