//! Whether this node's store holds the version of the configuration that is in force.
//!
//! Versions also come from peers. A reply of the store to a call that was made after a version came into force shows that
//! version or a later one, unless the store has come back from an older copy or the version was written to another store.
//!
//! [`StoreVersion`] owns the version that the store has shown. It is for the log and a metric only: nothing is decided by
//! it. Nodes that don't read the store can't tell.

use staircross_routing::store_reader::{Lane, StoreCall, StoreReply};
use staircross_routing::{KeyKind, MirrorItem, MirrorUpdate, StoreRevision};
use staircross_types::BootTime;

/// What is known of whether the store holds the version in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionHolding {
    /// The store has shown nothing since the version came into force.
    #[default]
    Unknown,
    /// The store holds it, or a later one.
    Held,
    /// The store holds an earlier version.
    NotHeld,
}

impl VersionHolding {
    /// Returns the name of the value in log lines.
    pub fn name(self) -> &'static str {
        match self {
            VersionHolding::Unknown => "unknown",
            VersionHolding::Held => "true",
            VersionHolding::NotHeld => "false",
        }
    }
}

/// A change that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingChange {
    /// Whether the store holds the version in force.
    pub holding: VersionHolding,
    /// The version in force.
    pub in_force: u64,
    /// The version that the store has shown last.
    pub shown: u64,
}

/// The version that the store held at a revision.
#[derive(Clone, Copy, Debug)]
struct ShownVersion {
    version: u64,
    at: StoreRevision,
    /// Time of the call that showed it last.
    called_at: BootTime,
}

/// Compares the version in force with what the store shows.
#[derive(Debug, Default)]
pub struct StoreVersion {
    /// `None` if the store has shown no version, or may have changed it unseen since.
    shown: Option<ShownVersion>,
    in_force_since: BootTime,
    /// The change that was returned last, if it is that the version in force isn't held.
    not_held: Option<HoldingChange>,
}

impl StoreVersion {
    /// Returns whether the store has shown an earlier version than the one in force.
    pub fn is_not_held(&self) -> bool {
        self.not_held.is_some()
    }

    /// Forgets what the store has shown, because its address has changed.
    pub fn forget_shown(&mut self) {
        self.shown = None;
    }

    /// Records what the reply to a call made at `called_at` shows. A watch that reports no new version confirms the one that
    /// was shown if it began where that was shown; it may also begin at a revision that a peer has sent.
    pub fn record_reply(&mut self, call: &StoreCall, called_at: BootTime, reply: &StoreReply) {
        self.shown = match (call, reply) {
            (StoreCall::List { lane: Lane::Configuration, after: None }, StoreReply::Items { update, at, .. }) => {
                version_in(update).map(|version| ShownVersion { version, at: *at, called_at })
            }
            (StoreCall::Watch { lane: Lane::Configuration, after, .. }, StoreReply::Changes { update, at }) => {
                let before = self.shown.filter(|shown| shown.at == *after && !has_unreadable_version(update));
                let version = version_in(update).or(before.map(|shown| shown.version));
                version.map(|version| ShownVersion { version, at: *at, called_at })
            }
            _ => return,
        };
    }

    /// Records that another version has come into force. Whether the store holds it is unknown until it shows it. For a
    /// node that reads the store this follows soon, so that what was logged stands until then.
    pub fn record_in_force(&mut self, now: BootTime, version: u64, reads_store: bool) -> Option<HoldingChange> {
        self.in_force_since = now;
        let before = self.not_held.take_if(|_| !reads_store)?;
        Some(HoldingChange { holding: VersionHolding::Unknown, in_force: version, ..before })
    }

    /// Compares the version in force with the one that the store has shown last, and returns the change to be logged. What
    /// was shown by a call made before the version came into force may be older than that version.
    pub fn compare(&mut self, in_force: u64) -> Option<HoldingChange> {
        let ShownVersion { version: shown, called_at, .. } = self.shown?;
        if shown >= in_force {
            self.not_held.take()?;
            return Some(HoldingChange { holding: VersionHolding::Held, in_force, shown });
        }
        let change = HoldingChange { holding: VersionHolding::NotHeld, in_force, shown };
        if called_at < self.in_force_since || self.not_held == Some(change) {
            return None;
        }
        self.not_held = Some(change);
        Some(change)
    }
}

/// Returns the newest version in an update of the store.
fn version_in(update: &MirrorUpdate) -> Option<u64> {
    let versions = update.items.iter().filter_map(|(revision, item)| match item {
        MirrorItem::Configuration { definition } => Some((*revision, definition.version)),
        _ => None,
    });
    versions.max().map(|(_, version)| version)
}

fn has_unreadable_version(update: &MirrorUpdate) -> bool {
    update.unreadable.iter().any(|item| item.kind == KeyKind::Configuration)
}
