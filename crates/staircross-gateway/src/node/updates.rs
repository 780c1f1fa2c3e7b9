//! How updates from the store and from peers reach the routing engine.
//!
//! This module only connects other components: the mirror holds the known state, the fleet announces it to peers, and
//! the engine decides by it. The store reader decides when the store is called, and the store role whether it is
//! called at all.
//!
//! An update passes through these steps:
//!
//! 1. *From the store* ([`store`]): the role sets the reader's mode, the reader says which calls are due, and the
//!    node makes them and passes each reply to the reader. The reader returns the contents of a reply as
//!    [`ReaderAction::Learned`](staircross_routing::store_reader::ReaderAction::Learned).
//! 2. *Or from a peer* ([`peers`]): each datagram announces the sender's version and revisions ([`fleet`]). A node
//!    that is behind pulls the missing updates from a node that is ahead. Its reader then continues from the revision
//!    that the pull has reached.
//! 3. *Merged* ([`GatewayNode::apply_update`]): the mirror merges by revision and version, so neither the order nor
//!    the source matters, and returns the changes.
//! 4. *Applied*: the changes go to the engine as events in the same turn of the event loop, so the next decision uses
//!    them.
//! 5. *Published*: a designated reader announces its new revisions to its followers at once; they pull them as in
//!    step 2.

mod fleet;
mod peers;
mod source;
mod store;

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use crate::store_role::StoreRole;
use source::UpdateSource;
use staircross_routing::configuration::definition::RoutingDefinition;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::state::mirror::MirrorChanges;
use staircross_routing::{MirrorUpdate, RouteTable};
use std::sync::Arc;

impl<D: Dialect> GatewayNode<D> {
    /// Merges an update, applies the changes and publishes them.
    fn apply_update(&mut self, update: MirrorUpdate, source: UpdateSource) {
        self.log_unreadable(&update.unreadable, source.name());
        let changes = self.mirror.merge(update);
        self.apply_changes(changes, source);
    }

    /// Lets the store's entries count for searchers of which another entry has counted for long enough.
    pub(super) fn settle_disputes(&mut self) {
        let changes = self.mirror.settle_disputes(self.now, self.settings.max_dispute());
        if changes != MirrorChanges::default() {
            self.apply_changes(changes, UpdateSource::Settled);
        }
    }

    /// Lets the store be right about searchers that have had time to write since it came back from an older copy. While
    /// this node doesn't hear of what the store holds, it can't know whether they have.
    pub(super) fn settle_return(&mut self) {
        let hears_of_store = match self.store_role.role() {
            StoreRole::Reader => self.store_reader.is_reachable(),
            StoreRole::Follower => true,
            StoreRole::Prober => false,
        };
        let changes = self.mirror.settle_return(self.now, hears_of_store);
        if changes != MirrorChanges::default() {
            self.apply_changes(changes, UpdateSource::Restored);
        }
    }

    /// Applies changes to the engine and publishes them.
    fn apply_changes(&mut self, mut changes: MirrorChanges, source: UpdateSource) {
        let configuration = changes.configuration.take();
        // Evacuations are applied first and the configuration last: requests that were held until the configuration
        // is known are sent as soon as it is applied.
        if let Some(zones) = changes.evacuated.take() {
            self.log_evacuated(&zones, source.name());
            self.process_routing_event(RoutingEvent::Evacuated(zones));
        }
        self.log_searchers(&changes, source.name());
        if !changes.searchers.is_empty() {
            self.process_routing_event(RoutingEvent::Searchers(changes.searchers));
        }
        if !changes.removed_searchers.is_empty() {
            let removed = changes.removed_searchers;
            let may_have_lapsed = self.store_reader.note_removals(self.now, removed.len());
            self.process_routing_event(match may_have_lapsed {
                true => RoutingEvent::SearchersGone(removed),
                false => RoutingEvent::SearchersLeft(removed),
            });
        }
        if let Some(definition) = configuration {
            self.apply_configuration(definition, source);
        }
        let is_new = self.fleet.set_known_revisions(&self.mirror);
        if is_new && self.fleet.is_designated_reader() {
            self.fleet.notify_followers(self.now);
        }
    }

    /// Logs a new configuration, passes it to the engine and updates everything that depends on it.
    fn apply_configuration(&mut self, definition: Arc<RoutingDefinition>, source: UpdateSource) {
        let peer = source.peer().map_or_else(|| "-".to_owned(), |peer| peer.to_string());
        self.log.line(
            self.now,
            LineKind::NodeEvent,
            format_args!(
                "event=configuration version={} routes={} services={} tenants={} source={} peer={peer}",
                definition.version,
                definition.routes.len(),
                definition.services.len(),
                definition.tenants.len(),
                source.name()
            ),
        );
        self.note_version_in_force(definition.version);
        self.fleet.set_announces_confirmation(!definition.tenants.is_empty());
        self.process_routing_event(RoutingEvent::Configuration(Arc::new(RouteTable::new(definition))));
        self.fleet.set_searcher_connections(self.engine.lowest_max_connections());
        self.update_fleet_shape();
    }
}
