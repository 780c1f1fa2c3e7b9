//! Settings that change while the node runs.
//!
//! What of them is in force at once: the bounds, the silence that is borne, the store's address. Listeners stay as they are, and
//! what was read at the start. Relies on `operator` for the file.

use super::GatewayNode;
use super::setup::{cold_bound, extra_bound, quota_bound};
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::settings::GatewaySettings;
use staircross_routing::recording::RecordedEvent;
use staircross_routing::store_reader::StoreReader;
use std::net::SocketAddr;

impl<D: Dialect> GatewayNode<D> {
    /// Settings may change without any signal.
    pub(super) fn look_at_settings(&mut self) {
        if self.operator.sees_change(self.now) {
            self.reload();
        }
    }

    /// Takes changed settings; bad ones are refused and everything stays as it is.
    pub(super) fn reload(&mut self) {
        let settings = match self.operator.load() {
            Ok(settings) => settings,
            Err(error) => {
                let line = format_args!("event=reload outcome=refused reason={:?}", error.to_string());
                return self.log.line(self.now, LineKind::Belief, line);
            }
        };
        // Addresses that are in use can't be moved without cutting somebody off.
        let keeps_addresses = settings.listen == self.settings.listen;
        let line = format_args!("event=reload outcome=taken addresses_unchanged={keeps_addresses}");
        self.log.line(self.now, LineKind::Belief, line);
        let bound = extra_bound(&settings);
        self.engine.set_extra_bound(bound);
        self.record(RecordedEvent::ExtraBound(bound), &[]);
        let bound = cold_bound(&settings);
        self.engine.set_cold_bound(bound);
        self.record(RecordedEvent::ColdBound(bound), &[]);
        let bound = quota_bound(&settings);
        self.engine.set_quota_bound(self.now, bound);
        self.record(RecordedEvent::QuotaBound(bound), &[]);
        self.role.set_longest_silence(settings.longest_silence());
        if settings.store != self.settings.store {
            self.follow_store(settings.store.address);
        }
        self.settings = GatewaySettings { listen: self.settings.listen.clone(), ..settings };
    }

    /// The store has moved: everything is read anew there.
    fn follow_store(&mut self, address: SocketAddr) {
        self.store.set_address(address);
        self.reader = StoreReader::new(self.settings.reader()).with_mode(self.now, self.role.role().mode());
    }
}
