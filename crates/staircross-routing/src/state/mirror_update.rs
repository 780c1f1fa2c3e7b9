//! What passes between a mirror and its sources: updates of the store and of peers, what a peer knows already, and the
//! net effect of a merge.
//!
//! The mirror merges updates and answers peers with them. `update_encoding` says how an update is encoded for a peer.

use crate::configuration::definition::RoutingDefinition;
use crate::configuration::delta::DefinitionDelta;
use crate::state::known_configuration::{AcceptedConfiguration, ConfigurationUpdate};
use crate::state::searcher_entry::SearcherEntry;
use crate::state::store_revision::{StoreEpoch, StoreRevision};
use crate::state::unreadable::UnreadableItem;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One item of the store, or a change of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorItem {
    /// The whole configuration.
    Configuration {
        /// Content of the configuration.
        definition: Arc<RoutingDefinition>,
    },
    /// The deltas of the configuration since the version of the asking node, in ascending order of version.
    ConfigurationChanges {
        /// The deltas.
        deltas: Vec<DefinitionDelta>,
    },
    /// A searcher's entry, as it was last written.
    Searcher {
        /// The entry.
        entry: SearcherEntry,
    },
    /// A searcher's entry was removed from the store.
    SearcherGone {
        /// Id of the searcher.
        instance: Arc<str>,
    },
    /// A searcher's entry was overwritten by one that can't be used. Only the node that reads it knows it; peers are told
    /// of the searcher's entry, or of its removal once this has lasted.
    SearcherUnusable {
        /// Id of the searcher.
        instance: Arc<str>,
    },
    /// The evacuation of a zone started or ended: its searchers must get no new work, or may get it again.
    Evacuation {
        /// The zone.
        zone: Arc<str>,
        /// Whether the zone is being evacuated.
        is_active: bool,
    },
}

impl From<ConfigurationUpdate> for MirrorItem {
    fn from(update: ConfigurationUpdate) -> Self {
        match update {
            ConfigurationUpdate::Whole(definition) => MirrorItem::Configuration { definition },
            ConfigurationUpdate::Changes(deltas) => MirrorItem::ConfigurationChanges { deltas },
        }
    }
}

/// Items that changed, and the revisions up to which the update is complete.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MirrorUpdate {
    /// The items, each with the revision of its last change.
    pub items: Vec<(StoreRevision, MirrorItem)>,
    /// Whether the update lists all searchers, so that those it leaves out are gone.
    pub is_complete_for_searchers: bool,
    /// Revision up to which the receiver knows all changes of searchers after merging the update; none when the
    /// sender doesn't know them all.
    pub up_to: StoreRevision,
    /// Revision of the sender's newest change of searchers before which it knows all changes. It is sent because a
    /// listing doesn't show the newest change if that was the removal of a searcher. For the same reason, a listing of
    /// the store has its own revision here: any searcher that it leaves out may have been removed just before.
    pub newest: StoreRevision,
    /// Revision up to which the update holds all changes of the configuration and of evacuations; none when the sender
    /// doesn't know them all. A configuration that the asking node doesn't accept or can't apply may be missing; `version`
    /// shows it.
    pub operator_up_to: StoreRevision,
    /// Version of the sender's configuration, whether or not the update holds it; 0 in what is read from the store, and
    /// from nodes of a build that doesn't say it.
    pub version: u64,
    /// Newest revision at which the sender knows that the store held this version.
    pub version_at: StoreRevision,
    /// Revision at which all evacuated zones were listed, so that those the update leaves out weren't evacuated;
    /// `None` when the update doesn't list them all.
    pub all_evacuations_at: Option<StoreRevision>,
    /// Items that can't be used. The node that read them logs them; they aren't sent to peers.
    pub unreadable: Vec<UnreadableItem>,
}

impl MirrorUpdate {
    /// Returns the update with the revisions that carry no epoch taken as of the given one. The sender knows no epochs, or
    /// hasn't heard the store tell one.
    pub fn assuming_epoch(self, epoch: StoreEpoch) -> Self {
        let items = self.items.into_iter().map(|(revision, item)| (revision.assuming_epoch(epoch), item));
        MirrorUpdate {
            items: items.collect(),
            up_to: self.up_to.assuming_epoch(epoch),
            newest: self.newest.assuming_epoch(epoch),
            operator_up_to: self.operator_up_to.assuming_epoch(epoch),
            version_at: self.version_at.assuming_epoch(epoch),
            all_evacuations_at: self.all_evacuations_at.map(|revision| revision.assuming_epoch(epoch)),
            ..self
        }
    }
}

/// What an asking peer already knows, and which configurations it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerKnowledge {
    /// Revision up to which the peer knows all changes of searchers; none when it has no complete listing.
    pub revision: StoreRevision,
    /// Version of the peer's configuration.
    pub version: u64,
    /// Revision up to which the peer knows all changes of evacuations.
    pub evacuations: StoreRevision,
    /// Which newer configurations the peer accepts; it reads the others from the store.
    pub accepts: AcceptedConfiguration,
}

/// The net effect of a merge. No id is both among the changed and among the removed searchers, even if the update holds
/// several changes of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MirrorChanges {
    /// The newest configuration, if the merge brought a newer one.
    pub configuration: Option<Arc<RoutingDefinition>>,
    /// Entries of new or changed searchers.
    pub searchers: Vec<SearcherEntry>,
    /// Ids of the searchers whose entry is gone.
    pub removed_searchers: Vec<Arc<str>>,
    /// All zones that are being evacuated, if the set changed.
    pub evacuated: Option<Vec<Arc<str>>>,
}
