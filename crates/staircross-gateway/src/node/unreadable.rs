//! Log lines on unusable items in the store, and on answers of the store that don't tell its epoch.
//!
//! The dialect and the mirror detect unusable items. [`UnreadableLog`](crate::unreadable_log::UnreadableLog)
//! remembers which of them were logged.

use super::GatewayNode;
use crate::dialect::{Dialect, EpochFault};
use crate::event_log::LineKind;
use staircross_http::HeaderBlock;
use staircross_routing::{KeyKind, StoreEpoch, UnreadableItem};

impl<D: Dialect> GatewayNode<D> {
    /// Returns the epoch in which the store gave an answer; the known one if the answer doesn't tell. Each kind of fault is
    /// logged once. A store that has never told its epoch needn't.
    pub(super) fn read_store_epoch(&mut self, headers: &HeaderBlock) -> StoreEpoch {
        let known = self.store_reader.epoch();
        let fault = match self.dialect.store_epoch(headers) {
            Ok(epoch) => return epoch,
            Err(EpochFault::Missing) if known.is_untold() => return known,
            Err(fault) => fault,
        };
        self.metrics.unreadable_epochs += 1;
        if !self.log_limits.epoch_faults.contains(&fault) {
            self.log_limits.epoch_faults.push(fault);
            let line = format_args!("event=unreadable_epoch reason={} assumed={known}", fault.name());
            self.log.line(self.now, LineKind::Drop, line);
        }
        known
    }

    /// Counts and logs the store's unusable items, once for each revision of an item.
    pub(super) fn log_unreadable(&mut self, items: &[UnreadableItem], source: &str) {
        for UnreadableItem { kind, key, revision, reason } in
            items.iter().filter(|item| self.log_limits.unreadable.insert(item))
        {
            self.metrics.unreadable_items += 1;
            let line_kind = match kind {
                KeyKind::Configuration => LineKind::NodeEvent,
                KeyKind::Searcher | KeyKind::Evacuation | KeyKind::Unknown => LineKind::Drop,
            };
            let (kind, revision) = (kind.name(), revision.unwrap_or_default());
            let line = format_args!(
                "event=unreadable_item kind={kind} key={key} revision={revision} reason={reason} source={source}"
            );
            self.log.line(self.now, line_kind, line);
        }
    }
}
