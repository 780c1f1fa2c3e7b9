//! What the node knows, and the way of a change from the store, or from a peer, to the decision.
//!
//! Owns the glue only: what is known stands in the mirror, what peers are sent in the fleet, what is decided upon in the engine. Relies on
//! the store reader for when the store is called, and on the store role for whether it is.
//!
//! A change takes one of two ways in, and one way on:
//!
//! 1. *From the store* ([`store`]): the role gives the reader its mode, the reader says which calls are due, the node makes them and hands
//!    back each reply; what a reply holds comes back as [`ReaderAction::Learned`](staircross_routing::store_reader::ReaderAction::Learned).
//! 2. *From a peer* ([`peers`]): each datagram announces the sender's version and revisions ([`fleet`]); a node that is behind pulls what
//!    it lacks from one that is ahead, and has the reader go on from the revision that it got that way.
//! 3. *Merged* ([`GatewayNode::learn`]): the mirror merges by revision and version, so that neither the order nor the way matters, and
//!    returns what was new.
//! 4. *In force*: what was new goes to the engine as events, in the same turn of the loop. The next decision is made by it.
//! 5. *Published*: a designated reader announces its new revisions to its followers at once; they pull, as in 2.

mod fleet;
mod peers;
mod store;

pub(super) use peers::{ANY_SIZE, CHANGES_TARGET, EVACUATIONS_FIELD, VERSION_FIELD};

use super::GatewayNode;
use crate::dialect::Dialect;
use crate::event_log::LineKind;
use staircross_routing::configuration::definition::RoutingDefinition;
use staircross_routing::engine::RoutingEvent;
use staircross_routing::{MirrorUpdate, RouteTable};
use std::sync::Arc;

impl<D: Dialect> GatewayNode<D> {
    /// Merges what was learned, puts what was new in force, and publishes it. `source` is a lane or a peer, for the log.
    fn learn(&mut self, update: MirrorUpdate, source: &str) {
        self.note_unreadable(&update.unreadable, source);
        let mut changes = self.mirror.merge(update);
        let configuration = changes.configuration.take();
        // Evacuations first and the configuration last: requests that were held for want of it are sent as it comes into force.
        if let Some(zones) = changes.evacuated.take() {
            self.note_evacuated(&zones, source);
            self.engine_event(RoutingEvent::Evacuated(zones));
        }
        self.note_searchers(&changes, source);
        if !changes.searchers.is_empty() {
            self.engine_event(RoutingEvent::Searchers(changes.searchers));
        }
        if !changes.gone.is_empty() {
            self.engine_event(RoutingEvent::SearchersGone(changes.gone));
        }
        if let Some(definition) = configuration {
            self.put_in_force(definition, source);
        }
        let is_new = self.fleet.set_knowledge(&self.mirror);
        if is_new && self.fleet.is_designated_reader() {
            self.fleet.notify_followers(self.now);
        }
    }

    fn put_in_force(&mut self, definition: Arc<RoutingDefinition>, source: &str) {
        self.log.line(
            self.now,
            LineKind::Belief,
            format_args!(
                "event=configuration version={} routes={} services={} tenants={} source={source}",
                definition.version,
                definition.routes.len(),
                definition.services.len(),
                definition.tenants.len()
            ),
        );
        self.fleet.set_confirmation_sent(!definition.tenants.is_empty());
        self.engine_event(RoutingEvent::Configuration(Arc::new(RouteTable::new(definition))));
        self.fleet.set_connections(self.engine.lowest_max_connections());
        self.update_fleet_shape();
    }
}
