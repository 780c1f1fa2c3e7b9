//! How long ago the node's configuration was last confirmed, and whether keys may be judged by it.
//!
//! This module owns no state: the fleet knows when the configuration was last confirmed, and the settings say how
//! long ago that may be.

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::ConfigurationView;
use std::time::Duration;

impl<D: Dialect> GatewayNode<D> {
    /// Returns the view by which requests that need a key are judged now.
    pub(super) fn configuration_view(&self) -> ConfigurationView {
        match (self.is_confirmation_overdue(), self.settings.bounds.revoke_strict) {
            (false, _) => ConfigurationView::Current,
            (true, true) => ConfigurationView::Expired,
            (true, false) if self.fleet.is_version_behind() => ConfigurationView::Doubtful,
            (true, false) => ConfigurationView::Current,
        }
    }

    /// Returns whether a key may have been revoked longer ago than the settings allow without this node's knowledge.
    fn is_confirmation_overdue(&self) -> bool {
        let Some(revoke_ms) = self.settings.bounds.revoke_ms else {
            return false;
        };
        let max_age = Duration::from_millis(revoke_ms);
        self.fleet.confirmed_at().is_none_or(|at| self.now.since(at) > max_age)
    }

    /// Logs when the last confirmation becomes too old, and when the configuration is confirmed again. Only nodes
    /// with tenants log this.
    pub(super) fn log_configuration_view(&mut self) {
        let has_tenants = self.engine.table().is_some_and(|table| !table.definition().tenants.is_empty());
        let is_overdue = has_tenants && self.is_confirmation_overdue();
        if is_overdue == self.status.is_confirmation_overdue {
            return;
        }
        self.status.is_confirmation_overdue = is_overdue;
        let strict = self.settings.bounds.revoke_strict;
        let line = format_args!("event=configuration_view confirmed={} strict={strict}", !is_overdue);
        self.log.line(self.now, LineKind::NodeEvent, line);
    }
}
