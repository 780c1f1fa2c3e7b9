//! Whether a node reads the store itself or follows a peer of its zone that does.
//!
//! Each call to the store costs, and so does each byte of an answer that crosses zones. In a zone of more
//! than a few nodes two of them read; they tell the others of the zone at once what revision they have
//! reached, and that the store still answers them. The others pull what is new from them. Whoever hears no
//! such sign for a part of the time that news may take reads by itself, so that a node follows in time
//! whatever becomes of its readers.

use staircross_types::BootTime;
use std::time::Duration;

/// Nodes of each zone that read, those with the lowest ids.
pub const READERS_PER_ZONE: usize = 2;
/// Time for which a node that had to read by itself goes on doing so.
const HOLD: Duration = Duration::from_secs(10);
/// At the first start of a fleet: time until nodes know their zone's readers, and until these have told what
/// they read. There is nothing to serve yet, and all would read everything.
const FIRST_SETTLING: Duration = Duration::from_millis(500);
const FIRST_READING: Duration = Duration::from_millis(1500);

/// Where a node has its news from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// From the store.
    Reader,
    /// From readers of its zone.
    Follower,
}

impl StoreRole {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            StoreRole::Reader => "reader",
            StoreRole::Follower => "follower",
        }
    }
}

/// Keeps a node's role.
#[derive(Debug)]
pub struct RoleKeeper {
    longest_silence: Duration,
    role: StoreRole,
    /// When the store last answered a reader of the zone, as far as it was heard here.
    sign: Option<BootTime>,
    reads_until: BootTime,
    /// Nobody reads until then, and none but readers by designation until the second.
    settles_until: BootTime,
    waits_until: BootTime,
}

impl RoleKeeper {
    /// A node that reads until it hears of a reader. Without a sign for `longest_silence` it reads by itself.
    pub fn new(longest_silence: Duration) -> Self {
        RoleKeeper {
            longest_silence,
            role: StoreRole::Reader,
            sign: None,
            reads_until: BootTime::default(),
            settles_until: BootTime::default(),
            waits_until: BootTime::default(),
        }
    }

    /// The fleet starts for the first time: others are given time to read.
    pub fn with_first_start(self, now: BootTime) -> Self {
        let settles_until = now + FIRST_SETTLING;
        let waits_until = settles_until + FIRST_READING;
        RoleKeeper { role: StoreRole::Follower, settles_until, waits_until, ..self }
    }

    /// The role as last decided.
    pub fn role(&self) -> StoreRole {
        self.role
    }

    /// Changes how long a follower bears silence.
    pub fn set_longest_silence(&mut self, longest_silence: Duration) {
        self.longest_silence = longest_silence;
    }

    /// Notes that the store answered a reader of the zone at a time.
    pub fn note_sign(&mut self, at: BootTime) {
        self.sign = Some(self.sign.map_or(at, |known| known.max(at)));
    }

    /// Notes that the node lacks something that its peers did not give it.
    pub fn note_unserved(&mut self, now: BootTime) {
        self.reads_until = now + HOLD;
    }

    /// Decides the role; `is_designated` when the node is one of its zone's readers.
    pub fn decide(&mut self, now: BootTime, is_designated: bool) -> StoreRole {
        if now < self.settles_until || (now < self.waits_until && !is_designated) {
            return self.role;
        }
        let hears_signs = self.sign.is_some_and(|sign| now.since(sign) < self.longest_silence);
        if !is_designated && !hears_signs && self.role == StoreRole::Follower {
            self.reads_until = now + HOLD;
        }
        let follows = !is_designated && hears_signs && now >= self.reads_until;
        self.role = if follows { StoreRole::Follower } else { StoreRole::Reader };
        self.role
    }
}
