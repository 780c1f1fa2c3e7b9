//! Reloads the settings while the node runs.
//!
//! Bounds that are read when they are used, the engine's bounds on extra attempts, cold starts and quotas, the
//! heartbeat timeout of followers, the intervals at which the store is read and the store's address take effect at once.
//! Listener addresses stay as they are, and so does everything that is only read at the start. This module relies on
//! `operator` for the file.

use super::GatewayNode;
use super::setup::{cold_bound, extra_bound, quota_bound};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::settings::GatewaySettings;
use staircross_routing::recording::RecordedEvent;
use staircross_routing::store_reader::StoreReader;

impl<D: Dialect> GatewayNode<D> {
    /// Reloads the settings if their file has changed, without waiting for a signal.
    pub(super) fn reload_changed_settings(&mut self) {
        if self.operator.has_file_changed(self.now) {
            self.reload();
        }
    }

    /// Reads and applies the settings; invalid ones are rejected and all old settings stay in force.
    pub(super) fn reload(&mut self) {
        let settings = match self.operator.load() {
            Ok(settings) => settings,
            Err(error) => {
                let line = format_args!("event=reload outcome=refused reason={:?}", error.to_string());
                return self.log.line(self.now, LineKind::NodeEvent, line);
            }
        };
        // Changing a listener's address would cut its connections.
        let keeps_addresses = settings.listen == self.settings.listen;
        let line = format_args!("event=reload outcome=taken addresses_unchanged={keeps_addresses}");
        self.log.line(self.now, LineKind::NodeEvent, line);
        let bound = extra_bound(&settings);
        self.engine.set_extra_bound(bound);
        self.record(RecordedEvent::ExtraBound(bound), &[]);
        let bound = cold_bound(&settings);
        self.engine.set_cold_bound(bound);
        self.record(RecordedEvent::ColdBound(bound), &[]);
        let bound = quota_bound(&settings);
        self.engine.set_quota_bound(self.now, bound);
        self.record(RecordedEvent::QuotaBound(bound), &[]);
        self.store_role.set_heartbeat_timeout(self.now, settings.heartbeat_timeout());
        self.outdated_view.set_settings(settings.outdated_view_settings());
        if settings.store == self.settings.store {
            self.store_reader.set_settings(self.now, settings.store_reader_settings());
        } else {
            self.switch_store(&settings);
        }
        self.settings = GatewaySettings { listen: self.settings.listen.clone(), ..settings };
    }

    /// Switches to another address of the store, and reads everything again from there.
    fn switch_store(&mut self, settings: &GatewaySettings) {
        self.store.set_address(settings.store.address);
        self.store_reader =
            StoreReader::new(settings.store_reader_settings()).with_mode(self.now, self.store_role.role().mode());
        self.outdated_view.forget_question();
    }
}
