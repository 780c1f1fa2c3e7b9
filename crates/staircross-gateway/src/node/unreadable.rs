//! Log lines on unusable items in the store.
//!
//! The dialect and the mirror detect unusable items. [`UnreadableLog`](crate::unreadable_log::UnreadableLog)
//! remembers which of them were logged.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::{KeyKind, UnreadableItem};

impl<D: Dialect> GatewayNode<D> {
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
