//! Execution of the cluster engine's actions, and operators' edits of the configuration.

use super::Core;
use crate::api::ReplyBody;
use crate::searchers::SearcherEndpoint;
use spdlog::info;
use staircross_cluster::views::{GossipedReport, ViewRecord};
use staircross_cluster::{ClusterAction, ClusterEvent};
use staircross_config::{EditError, PlatformDocument};
use staircross_language::ConfigStatement;
use staircross_search::{LeafEvent, ProbeReport, Refusal, RootEvent, SearcherView};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, ErrorKind};
use staircross_wire::PeerMessage;
use std::sync::Arc;

impl Core {
    pub(super) fn execute_cluster_actions(&mut self, actions: Vec<ClusterAction>) {
        let mut members_changed = false;
        for action in actions {
            let now = clock::now();
            match action {
                ClusterAction::Send(envelope) => self.peers.send(envelope.to_address, PeerMessage::Cluster(envelope)),
                ClusterAction::ConfigChanged(document) => {
                    self.apply_document(now, &document);
                    members_changed = true;
                }
                ClusterAction::MembersChanged => members_changed = true,
                ClusterAction::ViewChanged(record) => self.apply_view(now, record),
                ClusterAction::SessionStored { token, version, keeper, is_overtaken } => {
                    self.on_session_stored(token, version, keeper, is_overtaken);
                }
                ClusterAction::SessionFetched { token, ask, keeper, copy } => {
                    self.on_session_fetched(now, token, ask, keeper, copy);
                }
                ClusterAction::SessionMoved { token } => self.release_session(token),
                ClusterAction::ReplicationAwaited { by } => self.on_replication_awaited(now, by),
            }
        }
        if members_changed {
            self.session_replication.record_member_change();
            self.update_ownership(clock::now());
        }
    }

    fn apply_document(&mut self, now: BootTime, document: &PlatformDocument) {
        info!(logger: self.logs.cluster, "event=config revision={} services={} drained={}",
            document.revision, document.services.len(), document.drained.len());
        let definitions = document.services.iter().cloned().map(Arc::new).collect();
        self.handle_root_event(now, RootEvent::Services(definitions));
        self.update_leaving_searchers(now);
    }

    /// Passes to the searcher connections and the leaf engine which searchers this node owns now.
    fn update_ownership(&mut self, now: BootTime) {
        let node = self.node;
        let shares = self.cluster.ownership().shares_of(node);
        self.metrics.owned_searchers.set(shares.len() as i64);
        let services = self.cluster.config().map_or(&[][..], |document| &document.services);
        let searchers = services.iter().flat_map(|service| &service.searchers);
        let owned: Vec<SearcherEndpoint> = searchers
            .filter_map(|searcher| {
                let share = *shares.get(&searcher.id)?;
                Some(SearcherEndpoint { searcher: searcher.id, address: searcher.address, connections: share as usize })
            })
            .collect();
        self.searchers.set_owned(&owned);
        self.handle_leaf_event(now, LeafEvent::Owned(shares));
        // The leaf engine doesn't know yet whether searchers that it has just come to own are leaving or drained.
        self.update_leaving_searchers(now);
    }

    /// Passes this node's view of an owned searcher to the cluster engine, which sends it to the other nodes.
    pub(super) fn publish_view(&mut self, now: BootTime, view: &SearcherView) {
        let report = view
            .report
            .as_ref()
            .map(|report| GossipedReport { incarnation: report.incarnation, snapshots: report.snapshots.clone() });
        let event = ClusterEvent::Observed { searcher: view.searcher, report, leaving: view.leaving };
        self.handle_cluster_event(now, event);
    }

    /// Passes a searcher's state, as the cluster engine knows it, to the root and leaf engines.
    fn apply_view(&mut self, now: BootTime, record: ViewRecord) {
        let searcher = record.searcher;
        let report = record.report.map(|report| ProbeReport {
            incarnation: report.incarnation,
            snapshots: report.snapshots,
            draining: record.leaving,
        });
        let view = SearcherView { searcher, report, leaving: record.leaving };
        self.handle_root_event(now, RootEvent::View(view.clone()));
        self.handle_leaf_event(now, LeafEvent::PeerView(view));
    }

    /// Returns the document that an edit of the one in force would give. The edit takes effect only when the
    /// platform publishes that document.
    pub(super) fn plan_edit(&self, statement: &ConfigStatement) -> ReplyBody {
        let Some(document) = self.cluster.config() else {
            let refusal = Refusal::new(ErrorKind::NoConfiguration, "there is no document to edit yet");
            return ReplyBody::Refusal((&refusal).into());
        };
        match document.edited(&statement.change, statement.based_on) {
            Ok(next) => ReplyBody::Planned { document: Box::new(next) },
            Err(error) => {
                let refusal = Refusal::new(error_kind(&error), error.to_string());
                ReplyBody::Refusal((&refusal).into())
            }
        }
    }
}

fn error_kind(error: &EditError) -> ErrorKind {
    match error {
        EditError::Conflict { .. } => ErrorKind::RevisionConflict,
        EditError::UnknownService { .. } => ErrorKind::UnknownService,
        EditError::UnknownSearcher { .. } | EditError::Invalid(_) => ErrorKind::InvalidConfiguration,
    }
}
