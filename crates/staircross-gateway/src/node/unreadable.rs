//! Lines on items of the store that can't be used.
//!
//! What makes an item unreadable is found by the dialect and the mirror; which of them were logged is kept in
//! [`UnreadableLog`](crate::unreadable_log::UnreadableLog).

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::{KeyKind, UnreadableItem};

impl<D: Dialect> GatewayNode<D> {
    /// Counts and logs what the store holds that can't be used, once for each change of it.
    pub(super) fn note_unreadable(&mut self, items: &[UnreadableItem], source: &str) {
        for UnreadableItem { kind, key, revision, reason } in
            items.iter().filter(|item| self.log_limits.unreadable.is_new(item))
        {
            self.metrics.unreadable_items += 1;
            let line_kind = match kind {
                KeyKind::Configuration => LineKind::Belief,
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
