//! The configuration that this node knows, and how much of it a peer is sent.
//!
//! Owns the newest version and the changes that led to it. Relies on `configuration/delta` for what lies between two versions, and on the
//! caller for what a peer takes.

use crate::configuration::definition::{RouteDefinition, RouteTarget, RoutingDefinition};
use crate::configuration::delta::DefinitionDelta;
use std::collections::VecDeque;
use std::sync::Arc;

/// A configuration of more bytes is large, and isn't passed on to followers: many peers at once would not get it in time over a small
/// machine's link. Fourteen followers that pulled 1,800 routes over 20 Mbit/s were up to eight seconds late, and a second where each read
/// them from the store. Its size is estimated from its routes and the services that they name.
const LARGE_CONFIGURATION: usize = 64 * 1024;
/// Estimated bytes of a route without the services that it names.
const ROUTE_BYTES: usize = 100;
/// Estimated bytes of the name of a service or route.
const NAME_BYTES: usize = 10;
/// Changes of the configuration that are remembered, so that a peer that missed some is sent what it lacks instead of reading
/// the store.
const MAX_DELTAS: usize = 4;
/// Most bytes of one such change, by the same estimate; a larger one is forgotten with all before it. So that all four together stay well below a
/// large configuration.
const LARGE_DELTA: usize = LARGE_CONFIGURATION / 8;

/// Which newer configuration is passed on to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenConfiguration {
    /// One of any size: the store doesn't serve the peer.
    Any,
    /// One that isn't large.
    Small,
    /// None, since the link is busy.
    None,
}

/// What a peer is sent of a newer configuration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ConfigurationUpdate {
    /// The whole.
    Whole(Arc<RoutingDefinition>),
    /// What changed since the version that it has.
    Changes(Vec<DefinitionDelta>),
}

/// The newest version known, and what led to it.
#[derive(Debug, Default)]
pub(crate) struct KnownConfiguration {
    /// With the store's revision at which it was written.
    newest: Option<(u64, Arc<RoutingDefinition>)>,
    /// The newest change last; each starts where the one before led to.
    deltas: VecDeque<DefinitionDelta>,
}

impl KnownConfiguration {
    pub fn definition(&self) -> Option<&Arc<RoutingDefinition>> {
        self.newest.as_ref().map(|(_, definition)| definition)
    }

    /// 0 when none is known.
    pub fn version(&self) -> u64 {
        self.definition().map_or(0, |definition| definition.version)
    }

    /// Takes a definition if it is newer, and returns it then. Versions only rise, whatever the revisions say.
    pub fn take(&mut self, revision: u64, definition: Arc<RoutingDefinition>) -> Option<Arc<RoutingDefinition>> {
        if definition.version <= self.version() && self.newest.is_some() {
            return None;
        }
        let before = self.newest.replace((revision, definition.clone()));
        self.remember_delta(before.map(|(_, before)| before), &definition);
        Some(definition)
    }

    /// Changes that don't lead from the version known here to the one that they say are ignored: the node stays behind, and reads the whole.
    pub fn take_deltas(&mut self, revision: u64, deltas: &[DefinitionDelta]) -> Option<Arc<RoutingDefinition>> {
        let known = self.definition()?.clone();
        let lacking = deltas.iter().skip_while(|delta| delta.from != known.version);
        let result = lacking.fold(None::<RoutingDefinition>, |definition, delta| {
            let base = definition.as_ref().unwrap_or(&known);
            delta.apply(base).or(definition)
        });
        self.take(revision, Arc::new(result?))
    }

    fn remember_delta(&mut self, before: Option<Arc<RoutingDefinition>>, after: &RoutingDefinition) {
        let delta = before.and_then(|before| DefinitionDelta::between(&before, after));
        let Some(delta) = delta.filter(|delta| delta_bytes(delta) <= LARGE_DELTA) else {
            return self.deltas.clear();
        };
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// What a peer at a version is sent: the changes since where they are remembered, otherwise the whole if it takes that.
    pub fn update_for(&self, version: u64, takes: TakenConfiguration) -> Option<(u64, ConfigurationUpdate)> {
        let (at, definition) = self.newest.as_ref().filter(|(_, definition)| definition.version > version)?;
        let deltas: Vec<DefinitionDelta> =
            self.deltas.iter().skip_while(|delta| delta.from != version).cloned().collect();
        if !deltas.is_empty() {
            return Some((*at, ConfigurationUpdate::Changes(deltas)));
        }
        let is_passed_on = match takes {
            TakenConfiguration::Any => true,
            TakenConfiguration::Small => !is_large(definition),
            TakenConfiguration::None => false,
        };
        is_passed_on.then(|| (*at, ConfigurationUpdate::Whole(definition.clone())))
    }
}

fn is_large(definition: &RoutingDefinition) -> bool {
    route_bytes(&definition.routes) > LARGE_CONFIGURATION
}

fn delta_bytes(delta: &DefinitionDelta) -> usize {
    let (set, gone) = delta.changed_routes();
    route_bytes(set) + NAME_BYTES * gone.len()
}

fn route_bytes(routes: &[RouteDefinition]) -> usize {
    let names = |target: &RouteTarget| match target {
        RouteTarget::Service(_) => 1,
        RouteTarget::Weighted(set) => set.len(),
        RouteTarget::Gather(gather) => gather.shards.len(),
    };
    routes.iter().map(|route| ROUTE_BYTES + NAME_BYTES * names(&route.target)).sum()
}
