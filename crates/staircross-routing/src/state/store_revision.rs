//! Points in the history of the platform's store.
//!
//! The store counts its changes, and each item carries the count of its last change. A store that is restored from an
//! older copy goes on from the copy's count, so it gives the same counts to other changes once more. Each such return
//! begins a new *epoch*. Counts are comparable within an epoch only; what was read in a later epoch is newer.
//!
//! This module defines the order of these points. [`crate::store_reader`] notices new epochs, and the mirror decides
//! what the older copy may undo.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An epoch of the store: the time between two returns from an older copy. A store that doesn't tell its epoch has only
/// one, which is before all others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreEpoch(Option<u64>);

impl StoreEpoch {
    /// The epoch of a store that doesn't tell it.
    pub const UNTOLD: StoreEpoch = StoreEpoch(None);

    /// Creates an epoch from the number that the store tells.
    pub const fn new(number: u64) -> Self {
        StoreEpoch(Some(number))
    }

    /// Returns the number that the store tells; `None` if it tells none.
    pub fn number(self) -> Option<u64> {
        self.0
    }

    /// Returns whether the store doesn't tell its epoch.
    pub fn is_untold(&self) -> bool {
        self.0.is_none()
    }
}

impl fmt::Display for StoreEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => write!(f, "-"),
        }
    }
}

/// A point in the store's history, ordered by epoch first. Shown as its count alone; log lines name the epoch beside it
/// where it matters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// The epoch.
    pub epoch: StoreEpoch,
    /// Number of changes that the store had counted at this point.
    pub count: u64,
}

impl StoreRevision {
    /// The point before all others, which stands for nothing known.
    pub const NONE: StoreRevision = StoreRevision { epoch: StoreEpoch::UNTOLD, count: 0 };

    /// Creates the point at which the store had counted `count` changes in the epoch.
    pub const fn new(epoch: StoreEpoch, count: u64) -> Self {
        StoreRevision { epoch, count }
    }

    /// Returns the point before the last change that was counted.
    pub fn before(self) -> Self {
        StoreRevision { count: self.count.saturating_sub(1), ..self }
    }

    /// Returns this point in the given epoch if its own is untold; [`Self::NONE`] stays what it is.
    pub fn assuming_epoch(self, epoch: StoreEpoch) -> Self {
        if self.epoch.is_untold() && !self.is_none() { StoreRevision { epoch, ..self } } else { self }
    }

    /// Returns whether this is [`Self::NONE`].
    pub fn is_none(&self) -> bool {
        *self == StoreRevision::NONE
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.count)
    }
}
