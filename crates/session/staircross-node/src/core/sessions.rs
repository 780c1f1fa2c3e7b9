//! Replication of sessions: copies are sent to other nodes before a reply, and a node that is asked for a session
//! it doesn't hold takes it over from a copy.

#[cfg(test)]
mod tests;

use super::Core;
use super::pending::PendingRequest;
use super::session_replication::Responsibility;
use crate::api::{ReplyBody, StatementReply};
use crate::caller::{CallerCommand, CallerReply};
use crate::front_message::ReplySender;
use spdlog::{debug, info, warn};
use staircross_cluster::ClusterEvent;
use staircross_cluster::session_copies::SessionCopy;
use staircross_search::{Outcome, Refusal, SessionState};
use staircross_types::{BootTime, ErrorKind, NodeId, RequestId, SessionToken};
use std::time::Duration;

/// Longest time that a reply waits until copies of its session are confirmed. After this time the reply is sent without
/// the confirmations, and the session's latest state may be lost if this node fails.
const COPY_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for other nodes to answer whether they have a copy of a session.
const SESSION_LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of commands that may wait for the same session to be found.
const MAX_WAITING_COMMANDS: usize = 64;

/// A reply that is sent only when copies of its session are confirmed, or at its deadline.
pub(super) struct DelayedReply {
    token: SessionToken,
    /// Version of the session whose copies must be confirmed.
    version: u64,
    /// Number of nodes that must confirm it.
    wanted_confirmations: usize,
    confirmed_by: Vec<NodeId>,
    deadline: BootTime,
    reply: ReplySender,
    content: CallerReply,
}

impl DelayedReply {
    /// Records that `keeper` has confirmed a copy of `version`. A copy that is sent again is confirmed again, which counts
    /// once.
    fn record_confirmation(&mut self, token: SessionToken, version: u64, keeper: NodeId) {
        if self.token == token && self.version <= version && !self.confirmed_by.contains(&keeper) {
            self.confirmed_by.push(keeper);
        }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() >= self.wanted_confirmations
    }
}

/// A search of other nodes for a copy of a session that this node doesn't hold.
pub(super) struct SessionLookup {
    /// Id of the lookup. Answers to an earlier lookup of the same session carry another id and are ignored.
    id: u64,
    /// Number of nodes that haven't answered yet.
    pending_answers: usize,
    /// Nodes that answered that they have no copy.
    without_copy: Vec<NodeId>,
    newest_copy: Option<SessionCopy>,
    deadline: BootTime,
    /// Commands to execute when the session is found, and the channels for their replies.
    waiting: Vec<(CallerCommand, ReplySender)>,
}

impl Core {
    /// Sends copies of a session's state to other nodes, and `content` to the caller once the copies are confirmed
    /// or [`COPY_CONFIRMATION_TIMEOUT`] has passed.
    pub(super) fn copy_then_reply(
        &mut self,
        now: BootTime,
        token: SessionToken,
        reply: ReplySender,
        content: CallerReply,
    ) {
        let Some(state) = self.root.sessions.get(token).and_then(encode_session) else {
            reply.send(content);
            return;
        };
        let version = self.session_replication.record_change(token, self.cluster.session_keepers(token));
        let wanted_confirmations = self.cluster.wanted_copies();
        if wanted_confirmations == 0 {
            reply.send(content);
            return;
        }
        self.delayed_replies.push(DelayedReply {
            token,
            version,
            wanted_confirmations,
            confirmed_by: Vec::new(),
            deadline: now + COPY_CONFIRMATION_TIMEOUT,
            reply,
            content,
        });
        self.handle_cluster_event(now, ClusterEvent::StoreSession { token, version, state });
    }

    /// Replies to a request. If it changed its session, the reply waits for copies of the session.
    pub(super) fn reply_after_copies(
        &mut self,
        now: BootTime,
        request: RequestId,
        pending: PendingRequest,
        outcome: Outcome,
    ) {
        let body = ReplyBody::from(outcome);
        let moved_to = self.successor();
        let content = CallerReply::Statement(StatementReply { request: request.to_string(), body, moved_to });
        let after = self.root.sessions.get(pending.session);
        // Only a changed session needs new copies. Most searches leave the session unchanged because they see the
        // same snapshot as the one before.
        if after.is_some() && after != pending.session_before.as_ref() {
            self.copy_then_reply(now, pending.session, pending.reply, content);
        } else {
            pending.reply.send(content);
        }
    }

    /// Sends copies of the sessions due for a check that some of their keepers haven't confirmed.
    pub(super) fn resend_unconfirmed_copies(&mut self, now: BootTime) {
        if self.session_replication.is_round_due(now) {
            self.session_replication.begin_round(now, self.cluster.orphaned_copies());
        }
        for token in self.session_replication.take_due() {
            match self.session_replication.responsibility(token) {
                Some(Responsibility::Holder) => self.check_held_session(now, token),
                Some(Responsibility::OrphanKeeper) => self.check_orphan(now, token),
                None => {}
            }
        }
    }

    fn check_held_session(&mut self, now: BootTime, token: SessionToken) {
        let keepers = self.cluster.session_keepers(token);
        if let Some(version) = self.unconfirmed_version(token, &keepers) {
            self.send_copies(now, token, version);
        }
    }

    fn check_orphan(&mut self, now: BootTime, token: SessionToken) {
        let keepers = self.cluster.orphan_keeper_ids(token);
        if self.unconfirmed_version(token, &keepers).is_some() {
            self.handle_cluster_event(now, ClusterEvent::SpreadCopy { token });
        }
    }

    /// Returns and logs the version of a session if some of its keepers haven't confirmed it.
    fn unconfirmed_version(&mut self, token: SessionToken, keepers: &[NodeId]) -> Option<u64> {
        let version = self.session_replication.unconfirmed_version(token, keepers)?;
        debug!(logger: self.logs.front, "event=session_copies_resent session={} version={version} keepers={}",
            session_tag(token), list(keepers));
        Some(version)
    }

    /// Sends copies of a session's state to its keepers.
    fn send_copies(&mut self, now: BootTime, token: SessionToken, version: u64) {
        if let Some(state) = self.root.sessions.get(token).and_then(encode_session) {
            self.handle_cluster_event(now, ClusterEvent::StoreSession { token, version, state });
        }
    }

    /// Handles a keeper's confirmation of a copy, or its notice that another node has taken the session over.
    pub(super) fn on_session_stored(&mut self, token: SessionToken, version: u64, keeper: NodeId, is_overtaken: bool) {
        debug!(logger: self.logs.front, "event=session_copy_confirmed session={} version={version} keeper={keeper}",
            session_tag(token));
        self.session_replication.record_confirmation(token, version, keeper);
        if is_overtaken {
            info!(logger: self.logs.front, "event=session_overtaken session={}", session_tag(token));
            self.release_session(token);
        }
        for delayed in &mut self.delayed_replies {
            delayed.record_confirmation(token, version, keeper);
        }
        self.release_delayed_replies(DelayedReply::is_confirmed);
    }

    /// Sends the delayed replies whose deadline has passed, and logs and counts them.
    pub(super) fn expire_delayed_replies(&mut self, now: BootTime) {
        let late = self.delayed_replies.iter().filter(|delayed| now >= delayed.deadline).count();
        if late > 0 {
            warn!(logger: self.logs.front, "event=session_copy_late replies={late}");
            self.metrics.dropped.with_label_values(&["session_copy"]).inc_by(late as u64);
        }
        self.release_delayed_replies(|delayed| now >= delayed.deadline);
    }

    /// Sends the delayed replies for which `is_ready` returns `true`.
    fn release_delayed_replies(&mut self, is_ready: impl Fn(&DelayedReply) -> bool) {
        let (ready, waiting): (Vec<DelayedReply>, Vec<DelayedReply>) =
            self.delayed_replies.drain(..).partition(is_ready);
        self.delayed_replies = waiting;
        for delayed in ready {
            delayed.reply.send(delayed.content);
        }
    }

    /// Looks for a session at other nodes, and executes `command` when it is found.
    pub(super) fn look_up_session_then(
        &mut self,
        now: BootTime,
        token: SessionToken,
        command: CallerCommand,
        reply: ReplySender,
    ) {
        if let Some(lookup) = self.session_lookups.get_mut(&token) {
            if lookup.waiting.len() < MAX_WAITING_COMMANDS {
                lookup.waiting.push((command, reply));
            } else {
                let detail = format!("{MAX_WAITING_COMMANDS} requests wait already until the session is found");
                reply.send(CallerReply::Refused(Refusal::new(ErrorKind::Overloaded, detail)));
            }
            return;
        }
        let pending_answers = self.cluster.expected_fetch_answers(token);
        if pending_answers == 0 {
            reply.send(CallerReply::Refused(unknown_session()));
            return;
        }
        let id = self.next_lookup_id;
        self.next_lookup_id += 1;
        let waiting = vec![(command, reply)];
        let lookup = SessionLookup {
            id,
            pending_answers,
            without_copy: Vec::new(),
            newest_copy: None,
            deadline: now + SESSION_LOOKUP_TIMEOUT,
            waiting,
        };
        self.session_lookups.insert(token, lookup);
        self.handle_cluster_event(now, ClusterEvent::FetchSession { token, ask: id });
    }

    /// Handles an answer to a session lookup, with a copy if one was found. The last answer ends the lookup.
    pub(super) fn on_session_fetched(
        &mut self,
        now: BootTime,
        token: SessionToken,
        lookup_id: u64,
        keeper: NodeId,
        copy: Option<SessionCopy>,
    ) {
        let Some(lookup) = self.session_lookups.get_mut(&token).filter(|lookup| lookup.id == lookup_id) else {
            return;
        };
        lookup.pending_answers = lookup.pending_answers.saturating_sub(1);
        if copy.is_none() {
            lookup.without_copy.push(keeper);
        }
        let newest_version = lookup.newest_copy.as_ref().map_or(0, |newest_copy| newest_copy.version);
        if let Some(copy) = copy.filter(|copy| copy.version > newest_version) {
            lookup.newest_copy = Some(copy);
        }
        if lookup.pending_answers == 0 {
            self.finish_session_lookup(now, token);
        }
    }

    /// Ends the session lookups whose deadline has passed.
    pub(super) fn expire_session_lookups(&mut self, now: BootTime) {
        let expired: Vec<SessionToken> =
            self.session_lookups.iter().filter(|(_, lookup)| now >= lookup.deadline).map(|(token, _)| *token).collect();
        for token in expired {
            self.finish_session_lookup(now, token);
        }
    }

    /// Ends a lookup: takes the session over if a copy was found, and executes or refuses the waiting commands.
    fn finish_session_lookup(&mut self, now: BootTime, token: SessionToken) {
        let Some(lookup) = self.session_lookups.remove(&token) else {
            return;
        };
        let adopted = match &lookup.newest_copy {
            Some(copy) => self.adopt_session(now, token, copy),
            None if lookup.pending_answers == 0 => Err(unknown_session()),
            None => Err(session_sought(lookup.pending_answers)),
        };
        if let Err(refusal) = &adopted {
            info!(logger: self.logs.front, "event=session_not_found session={} kind={} unanswered={} without_copy={}",
                session_tag(token), refusal.kind, lookup.pending_answers, list(&lookup.without_copy));
        }
        for (command, reply) in lookup.waiting {
            match &adopted {
                Ok(()) => self.on_caller(now, command, reply),
                Err(refusal) => reply.send(CallerReply::Refused(refusal.clone())),
            }
        }
    }

    /// Takes over a session from a copy. Returns a refusal if this node has no room for it or can't decode the copy, which
    /// only nodes of another version write.
    fn adopt_session(&mut self, now: BootTime, token: SessionToken, copy: &SessionCopy) -> Result<(), Refusal> {
        let Some(state) = decode_session(&copy.state) else {
            warn!(logger: self.logs.front, "event=session_copy_unreadable session={} holder={}", session_tag(token), copy.holder);
            let detail = "this node can't read the session's copy; ask another node";
            return Err(Refusal::new(ErrorKind::SessionSought, detail));
        };
        if !self.root.sessions.adopt(now, token, state) {
            let detail = format!("{} sessions are open here; ask another node", self.root.sessions.len());
            return Err(Refusal::new(ErrorKind::TooManySessions, detail));
        }
        info!(logger: self.logs.front, "event=session_adopted session={} from={}", session_tag(token), copy.holder);
        let keepers = self.cluster.session_keepers(token);
        let version = self.session_replication.record_adoption(token, copy.version, keepers);
        self.send_copies(now, token, version);
        self.handle_cluster_event(now, ClusterEvent::TakeOver { token, holder: copy.holder });
        Ok(())
    }

    /// Drops a session that is closed.
    pub(super) fn close_session(&mut self, token: SessionToken) {
        self.root.sessions.close(token);
        self.session_replication.remove(token);
    }

    /// Drops a session that another node holds now. A later request with its token looks for it at the other nodes.
    pub(super) fn release_session(&mut self, token: SessionToken) {
        self.root.sessions.release(token, self.node);
        self.session_replication.remove(token);
    }
}

/// Returns the name of a session in logs. It is a digest because the token itself is a secret.
pub(super) fn session_tag(token: SessionToken) -> String {
    staircross_types::body_digest(&token.0.to_be_bytes())[..8].to_owned()
}

fn list(nodes: &[NodeId]) -> String {
    let names: Vec<String> = nodes.iter().map(NodeId::to_string).collect();
    names.join(",")
}

fn encode_session(state: &SessionState) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes).ok()?;
    Some(bytes)
}

fn decode_session(bytes: &[u8]) -> Option<SessionState> {
    ciborium::from_reader(bytes).ok()
}

pub(super) fn unknown_session() -> Refusal {
    Refusal::new(ErrorKind::UnknownSession, "no session has this token here or at the nodes that would hold a copy")
}

/// Refusal for a session that wasn't found while `silent` nodes haven't answered.
///
/// A node that doesn't answer may be paused, busy or dead. It may hold the session until the members agree that
/// it is dead.
fn session_sought(silent: usize) -> Refusal {
    Refusal::new(ErrorKind::SessionSought, format!("{silent} nodes that may hold the session haven't answered yet"))
}
