//! The newest configuration that this node knows, and which part of it a peer is sent.
//!
//! This module holds the newest version and the deltas that led to it. `configuration/delta` computes the difference
//! of two versions; the caller says which configurations a peer accepts.

use crate::configuration::definition::{RouteDefinition, RouteTarget, RoutingDefinition};
use crate::configuration::delta::DefinitionDelta;
use crate::state::store_revision::StoreRevision;
use std::collections::VecDeque;
use std::sync::Arc;

/// Size in bytes above which a configuration is large and isn't sent to followers, because a small machine's link can't
/// carry it to many peers in time. Fourteen followers that pulled 1,800 routes over 20 Mbit/s were up to eight seconds
/// late, but only one second late where each read them from the store. The size is estimated from the routes and the
/// services that they name.
const LARGE_CONFIGURATION_BYTES: usize = 64 * 1024;
/// Estimated size in bytes of a route without the services that it names.
const ROUTE_BYTES: usize = 100;
/// Estimated size in bytes of the name of a service or route.
const NAME_BYTES: usize = 10;
/// Number of deltas that are kept, so that a peer that missed some versions is sent what it lacks instead of reading
/// the store.
const MAX_DELTAS: usize = 4;
/// Largest estimated size in bytes of a delta that is kept; a larger delta is dropped together with all earlier ones.
/// With this limit all four deltas together stay well below the size of a large configuration.
const MAX_DELTA_BYTES: usize = LARGE_CONFIGURATION_BYTES / 8;

/// Which newer configurations a peer accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedConfiguration {
    /// A configuration of any size, because the store doesn't answer the peer.
    Any,
    /// A configuration that isn't large.
    Small,
    /// No configuration, because the link is busy.
    None,
}

/// The form in which a newer configuration is sent to a peer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ConfigurationUpdate {
    /// The whole configuration.
    Whole(Arc<RoutingDefinition>),
    /// The deltas that lead from the peer's version to the newest one.
    Changes(Vec<DefinitionDelta>),
}

/// The newest known version, and the deltas that led to it.
#[derive(Debug, Default)]
pub(crate) struct KnownConfiguration {
    /// The newest version, and the newest revision at which the store is known to have held it.
    newest: Option<(StoreRevision, Arc<RoutingDefinition>)>,
    /// The kept deltas, the newest last; each starts from the version to which the delta before it leads.
    deltas: VecDeque<DefinitionDelta>,
}

impl KnownConfiguration {
    pub fn definition(&self) -> Option<&Arc<RoutingDefinition>> {
        self.newest.as_ref().map(|(_, definition)| definition)
    }

    /// Returns the newest known version; 0 when no configuration is known.
    pub fn version(&self) -> u64 {
        self.definition().map_or(0, |definition| definition.version)
    }

    /// Returns the newest revision at which the store is known to have held the newest version; none when no
    /// configuration is known.
    pub fn held_at(&self) -> StoreRevision {
        self.newest.as_ref().map_or(StoreRevision::NONE, |(revision, _)| *revision)
    }

    /// Records that the store held a version at a revision.
    pub fn note_held(&mut self, version: u64, at: StoreRevision) {
        if let Some((revision, _)) = self.newest.as_mut().filter(|(_, definition)| definition.version == version) {
            *revision = at.max(*revision);
        }
    }

    /// Replaces the known definition by one of a higher version, and returns the new one if it did. Only versions are
    /// compared, not revisions, so the version never falls.
    pub fn replace_if_newer(
        &mut self,
        revision: StoreRevision,
        definition: Arc<RoutingDefinition>,
    ) -> Option<Arc<RoutingDefinition>> {
        self.note_held(definition.version, revision);
        if definition.version <= self.version() && self.newest.is_some() {
            return None;
        }
        let before = self.newest.replace((revision, definition.clone()));
        self.keep_delta(before.map(|(_, before)| before), &definition);
        Some(definition)
    }

    /// Applies the deltas that start from the known version, and returns the resulting definition if it is newer.
    ///
    /// Deltas that can't be applied to the known version, or whose result doesn't match their digest, are ignored. The
    /// node then stays at its version and reads the whole configuration later.
    pub fn apply_deltas(
        &mut self,
        revision: StoreRevision,
        deltas: &[DefinitionDelta],
    ) -> Option<Arc<RoutingDefinition>> {
        let known = self.definition()?.clone();
        let missing = deltas.iter().skip_while(|delta| delta.from != known.version);
        let result = missing.fold(None::<RoutingDefinition>, |definition, delta| {
            let base = definition.as_ref().unwrap_or(&known);
            delta.apply(base).or(definition)
        });
        self.replace_if_newer(revision, Arc::new(result?))
    }

    fn keep_delta(&mut self, before: Option<Arc<RoutingDefinition>>, after: &RoutingDefinition) {
        let delta = before.and_then(|before| DefinitionDelta::between(&before, after));
        let Some(delta) = delta.filter(|delta| delta_bytes(delta) <= MAX_DELTA_BYTES) else {
            return self.deltas.clear();
        };
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns what a peer at `version` is sent, with the revision at which the newest version was written: the deltas
    /// since its version if they are kept, otherwise the whole configuration if the peer accepts it.
    pub fn update_for(
        &self,
        version: u64,
        accepts: AcceptedConfiguration,
    ) -> Option<(StoreRevision, ConfigurationUpdate)> {
        let (written_at, definition) = self.newest.as_ref().filter(|(_, definition)| definition.version > version)?;
        let deltas: Vec<DefinitionDelta> =
            self.deltas.iter().skip_while(|delta| delta.from != version).cloned().collect();
        if !deltas.is_empty() {
            return Some((*written_at, ConfigurationUpdate::Changes(deltas)));
        }
        let is_sent = match accepts {
            AcceptedConfiguration::Any => true,
            AcceptedConfiguration::Small => !is_large(definition),
            AcceptedConfiguration::None => false,
        };
        is_sent.then(|| (*written_at, ConfigurationUpdate::Whole(definition.clone())))
    }
}

fn is_large(definition: &RoutingDefinition) -> bool {
    route_bytes(&definition.routes) > LARGE_CONFIGURATION_BYTES
}

fn delta_bytes(delta: &DefinitionDelta) -> usize {
    let (changed, removed) = delta.changed_routes();
    route_bytes(changed) + NAME_BYTES * removed.len()
}

fn route_bytes(routes: &[RouteDefinition]) -> usize {
    let names = |target: &RouteTarget| match target {
        RouteTarget::Service(_) => 1,
        RouteTarget::Weighted(set) => set.len(),
        RouteTarget::Gather(gather) => gather.shards.len(),
    };
    routes.iter().map(|route| ROUTE_BYTES + NAME_BYTES * names(&route.target)).sum()
}
