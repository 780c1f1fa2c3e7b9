//! How an update is encoded for a peer.
//!
//! Revisions are encoded as counts, and the epochs beside them. Nodes of a build that knows no epochs read the counts
//! alone, and what they send counts as of the epoch that the receiver knows.

use crate::state::mirror_update::{MirrorItem, MirrorUpdate};
use crate::state::store_revision::{StoreEpoch, StoreRevision};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;

/// The encoded update.
#[derive(Serialize, Deserialize)]
struct EncodedUpdate<'a> {
    items: Vec<(u64, Cow<'a, MirrorItem>)>,
    is_complete_for_searchers: bool,
    up_to: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    newest: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    operator_up_to: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    all_evacuations_at: Option<u64>,
    #[serde(default, skip_serializing_if = "is_zero")]
    version: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    version_at: u64,
    #[serde(default, skip_serializing_if = "UpdateEpochs::are_untold")]
    epochs: UpdateEpochs,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The epochs of an update's revisions.
#[derive(Default, PartialEq, Serialize, Deserialize)]
struct UpdateEpochs {
    up_to: StoreEpoch,
    newest: StoreEpoch,
    operator_up_to: StoreEpoch,
    all_evacuations_at: StoreEpoch,
    version_at: StoreEpoch,
    /// Epochs of the items, each with the number of successive items that have it.
    items: Vec<(StoreEpoch, usize)>,
}

impl UpdateEpochs {
    fn of(update: &MirrorUpdate) -> Self {
        let mut items: Vec<(StoreEpoch, usize)> = Vec::new();
        for (revision, _) in &update.items {
            match items.last_mut() {
                Some((epoch, count)) if *epoch == revision.epoch => *count += 1,
                _ => items.push((revision.epoch, 1)),
            }
        }
        UpdateEpochs {
            up_to: update.up_to.epoch,
            newest: update.newest.epoch,
            operator_up_to: update.operator_up_to.epoch,
            all_evacuations_at: update.all_evacuations_at.unwrap_or_default().epoch,
            version_at: update.version_at.epoch,
            items,
        }
    }

    fn are_untold(&self) -> bool {
        let fields = [self.up_to, self.newest, self.operator_up_to, self.all_evacuations_at, self.version_at];
        fields.iter().chain(self.items.iter().map(|(epoch, _)| epoch)).all(StoreEpoch::is_untold)
    }

    /// Returns the epoch of each item. Items beyond those that the sender listed have an untold one.
    fn of_items(&self) -> impl Iterator<Item = StoreEpoch> + '_ {
        let listed = self.items.iter().flat_map(|(epoch, count)| std::iter::repeat_n(*epoch, *count));
        listed.chain(std::iter::repeat(StoreEpoch::UNTOLD))
    }
}

impl Serialize for MirrorUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let encoded = EncodedUpdate {
            items: self.items.iter().map(|(revision, item)| (revision.count, Cow::Borrowed(item))).collect(),
            is_complete_for_searchers: self.is_complete_for_searchers,
            up_to: self.up_to.count,
            newest: self.newest.count,
            operator_up_to: self.operator_up_to.count,
            all_evacuations_at: self.all_evacuations_at.map(|revision| revision.count),
            version: self.version,
            version_at: self.version_at.count,
            epochs: UpdateEpochs::of(self),
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for MirrorUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = EncodedUpdate::deserialize(deserializer)?;
        let epochs = encoded.epochs;
        let items = encoded.items.into_iter().zip(epochs.of_items());
        let items = items.map(|((count, item), epoch)| (StoreRevision::new(epoch, count), item.into_owned())).collect();
        let listed_at = encoded.all_evacuations_at;
        Ok(MirrorUpdate {
            items,
            is_complete_for_searchers: encoded.is_complete_for_searchers,
            up_to: StoreRevision::new(epochs.up_to, encoded.up_to),
            newest: StoreRevision::new(epochs.newest, encoded.newest),
            operator_up_to: StoreRevision::new(epochs.operator_up_to, encoded.operator_up_to),
            all_evacuations_at: listed_at.map(|count| StoreRevision::new(epochs.all_evacuations_at, count)),
            version: encoded.version,
            version_at: StoreRevision::new(epochs.version_at, encoded.version_at),
            unreadable: Vec::new(),
        })
    }
}
