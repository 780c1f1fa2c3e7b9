//! Configuration: from agreed changes to engines, and from operators to proposals.

use super::Core;
use super::callers::CallerReply;
use crate::api::ReplyBody;
use crate::searchers::OwnedAddress;
use crossbeam::channel::Sender;
use spdlog::info;
use staircross_cluster::message::ProposalReply;
use staircross_cluster::views::{SpreadEvidence, ViewRecord};
use staircross_cluster::{
    Change, ChangeBody, ChangeId, ChangeOutcome, ClusterAction, ClusterEvent, ConfigState, ServiceEdit,
};
use staircross_language::ConfigStatement;
use staircross_language::statement::ConfigEdit;
use staircross_search::{Evidence, LeafEvent, Refusal, RootEvent, SearcherView};
use staircross_types::boot_clock as clock;
use staircross_types::{BootTime, ErrorKind};
use staircross_wire::PeerMessage;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a change to be in force everywhere before it is reported as pending.
const CHANGE_WAIT: Duration = Duration::from_secs(8);

/// A change that an operator waits for.
pub(super) struct PendingChange {
    due: BootTime,
    reply: Sender<CallerReply>,
}

impl Core {
    pub(super) fn do_cluster(&mut self, actions: Vec<ClusterAction>) {
        let mut members_changed = false;
        for action in actions {
            let now = clock::now();
            match action {
                ClusterAction::Send(envelope) => self.peers.send(envelope.to_address, PeerMessage::Cluster(envelope)),
                ClusterAction::ConfigChanged(state) => {
                    self.take_config(now, &state);
                    members_changed = true;
                }
                ClusterAction::MembersChanged => members_changed = true,
                ClusterAction::Proposed(reply) => self.on_proposed(reply),
                ClusterAction::ViewChanged(record) => self.take_view(now, record),
                ClusterAction::SessionStored { token, version, is_overtaken } => {
                    self.on_session_stored(token, version, is_overtaken);
                }
                ClusterAction::SessionFetched { token, ask, copy } => self.on_session_fetched(now, token, ask, copy),
                ClusterAction::SessionMoved { token } => self.drop_session(token),
            }
        }
        if members_changed {
            self.update_ownership(clock::now());
        }
    }

    fn take_config(&mut self, now: BootTime, state: &Arc<ConfigState>) {
        info!(logger: self.logs.cluster, "event=config revision={} platform_revision={} services={} voters={}",
            state.revision, state.platform_revision(), state.services().len(), state.voters.voters.len());
        let definitions = state.services().into_iter().map(Arc::new).collect();
        self.root_event(now, RootEvent::Services(definitions));
        self.update_listed(now);
    }

    fn update_ownership(&mut self, now: BootTime) {
        let node = self.node;
        let shares = self.cluster.ownership().shares_of(node);
        self.metrics.owned_searchers.set(shares.len() as i64);
        let services = self.cluster.config().services();
        let searchers = services.iter().flat_map(|service| &service.searchers);
        let owned: Vec<OwnedAddress> = searchers
            .filter_map(|searcher| {
                let share = *shares.get(&searcher.id)?;
                Some(OwnedAddress { searcher: searcher.id, address: searcher.address, connections: share as usize })
            })
            .collect();
        self.searchers.set_owned(&owned);
        self.leaf_event(now, LeafEvent::Owned(shares));
        // Owners that have just come in know nothing of marks made before.
        self.update_listed(now);
    }

    pub(super) fn spread_view(&mut self, now: BootTime, view: &SearcherView) {
        let evidence = view.evidence.as_ref().map(|evidence| SpreadEvidence {
            incarnation: evidence.incarnation,
            snapshots: evidence.snapshots.clone(),
        });
        let event = ClusterEvent::Observed { searcher: view.searcher, evidence, leaving: view.leaving };
        self.cluster_event(now, event);
    }

    fn take_view(&mut self, now: BootTime, record: ViewRecord) {
        let searcher = record.searcher;
        let evidence = record.evidence.map(|evidence| Evidence {
            incarnation: evidence.incarnation,
            snapshots: evidence.snapshots,
            draining: record.leaving,
        });
        let view = SearcherView { searcher, evidence, leaving: record.leaving };
        self.root_event(now, RootEvent::View(view.clone()));
        self.leaf_event(now, LeafEvent::PeerView(view));
    }

    pub(super) fn change_config(&mut self, now: BootTime, statement: ConfigStatement, reply: Sender<CallerReply>) {
        let edit = match statement.change {
            ConfigEdit::Create { service, like, policy } => ServiceEdit::Create { service, like, policy },
            ConfigEdit::Alter { service, policy } => ServiceEdit::Alter { service, policy },
            ConfigEdit::Drop { service } => ServiceEdit::Drop { service },
            ConfigEdit::Drain { searcher } => ServiceEdit::Drain { searcher },
        };
        let id = ChangeId(rand::random());
        let body = ChangeBody::Edit { edit, based_on: statement.based_on };
        info!(logger: self.logs.cluster, "event=change_proposed change={id} what={:?}", body.summary());
        self.changes.insert(id, PendingChange { due: now + CHANGE_WAIT, reply });
        self.cluster_event(now, ClusterEvent::Propose(Change { id, body }));
    }

    fn on_proposed(&mut self, reply: ProposalReply) {
        let id = reply.id();
        let Some(pending) = self.changes.remove(&id) else {
            return;
        };
        info!(logger: self.logs.cluster, "event=change_answered change={id} reply={reply:?}");
        self.reply_body(&pending.reply, change_body(&reply));
    }

    pub(super) fn expire_changes(&mut self, now: BootTime) {
        let due: Vec<ChangeId> =
            self.changes.iter().filter(|(_, pending)| now >= pending.due).map(|(id, _)| *id).collect();
        for id in due {
            if let Some(pending) = self.changes.remove(&id) {
                let reply = self.cluster.unanswered(id);
                self.reply_body(&pending.reply, change_body(&reply));
            }
        }
    }
}

/// The answer to an operator.
pub(super) fn change_body(reply: &ProposalReply) -> ReplyBody {
    let refusal = match reply {
        ProposalReply::Settled { id, outcome: ChangeOutcome::Applied { revision } } => {
            return ReplyBody::Changed { change: id.to_string(), revision: *revision };
        }
        ProposalReply::Settled { id, outcome: ChangeOutcome::Refused { kind } } => {
            Refusal::new(*kind, format!("change {id} was refused: {}", kind.meaning()))
        }
        ProposalReply::NotTaken { id } => {
            Refusal::new(ErrorKind::NoQuorum, format!("change {id} was not taken; the configuration is as it was"))
        }
        ProposalReply::Pending { id } => {
            Refusal::new(ErrorKind::ChangePending, format!("ask for it with SHOW CHANGE '{id}'"))
        }
    };
    ReplyBody::Refusal((&refusal).into())
}
