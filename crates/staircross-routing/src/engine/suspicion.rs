//! Tracks contents that are suspected of crashing searchers, and holds back or ends the requests that ask for them.
//!
//! A content is the digest of what a request asks for ([`ContentKey`]). A suspect content is sent to one searcher at a
//! time; this attempt is its trial. A quarantined content is sent to no searcher. [`crate::decision::quarantine`]
//! decides which contents are suspect or quarantined.

use super::waiting::PostponedSend;
use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt, UnsentCause};
use crate::decision::quarantine::{CaseRecord, LostAttempt, Suspicion, SuspicionChange};
use crate::decision::retry::ran_to_completion;
use crate::keys::{AttemptKey, ContentKey, RequestKey, RouteDigest};
use crate::state::request::{AttemptOutcome, NotRun, Request, Shard, ShardState, Unknown};
use staircross_types::BootTime;
use std::time::Duration;

/// Time until a shard of a suspect request is tried again while a searcher is at work on the same content. It is a
/// tenth of a short latency goal.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl RoutingEngine {
    /// Returns the suspicion against a content; always [`Suspicion::None`] when quarantine is switched off.
    pub(super) fn suspicion(&self, now: BootTime, content: ContentKey) -> Suspicion {
        match self.settings.policy.quarantine {
            true => self.quarantine.suspicion(now, content),
            false => Suspicion::None,
        }
    }

    /// Returns the numbers of suspect and of quarantined contents.
    pub fn suspicion_counts(&self, now: BootTime) -> (usize, usize) {
        self.quarantine.counts(now)
    }

    /// Returns the case records to send to peers with the next datagrams. Contents take turns.
    pub fn next_case_records(&mut self, now: BootTime) -> Vec<CaseRecord> {
        self.quarantine.next_records(now)
    }

    /// Returns whether a request for a suspect content must wait because an attempt for the same content is in
    /// flight. The attempt may belong to any request: as long as it runs, it isn't known whether its searcher
    /// survives the content.
    pub(super) fn must_wait_for_trial(&self, now: BootTime, request: &Request) -> bool {
        let content = request.content;
        self.suspicion(now, content) == Suspicion::Suspect
            && self.sent_attempts.values().any(|sent| sent.content == content)
    }

    /// Queues a shard of a suspect request, unless the shard has an open attempt.
    pub(super) fn postpone_suspect(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> UnsentCause {
        let retry_at = Some(now + SUSPECT_RETRY_DELAY);
        let postponed = PostponedSend { reason, cause: UnsentCause::Suspect, retry_at };
        self.postpone_and_log(now, key, shard_index, postponed, actions)
    }

    /// Updates the suspicions by the end of an attempt. An answer shows that the searcher is alive, and one after a
    /// complete run counts in favour of the content; a broken connection counts as a searcher lost under the content.
    pub(super) fn update_suspicion(
        &mut self,
        now: BootTime,
        attempt: AttemptKey,
        sent: &SentAttempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let searcher = &self.searchers[sent.searcher.0 as usize];
        let (connected_at, searcher) = (searcher.connected_at(), searcher.instance_key);
        let mut changes = match outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::NotRun(NotRun::Shed) => {
                self.quarantine.note_alive(now, searcher, sent.begun_at, connected_at)
            }
            _ => Vec::new(),
        };
        changes.extend(match outcome {
            AttemptOutcome::Answered(answer) if ran_to_completion(answer) => {
                self.quarantine.note_answered(now, sent.content)
            }
            AttemptOutcome::Unknown(Unknown::Broken) if !self.was_answered(attempt.request, sent) => {
                let (content, route) = (sent.content, RouteDigest::of(&sent.route));
                self.quarantine.note_lost(now, LostAttempt { content, route, searcher, sent_at: sent.sent_at })
            }
            _ => None,
        });
        self.apply_suspicion_changes(now, changes, false, actions);
    }

    /// Returns whether a searcher has run the request of an attempt to its end.
    fn was_answered(&self, key: RequestKey, sent: &SentAttempt) -> bool {
        self.requests.get(&key).map_or(sent.is_request_answered, |request| request.is_answered)
    }

    /// Merges peers' records of contents and lost searchers into this node's own.
    pub(super) fn merge_peer_cases(&mut self, now: BootTime, records: &[CaseRecord], actions: &mut Vec<RoutingAction>) {
        let changes = self.quarantine.merge(now, records);
        self.apply_suspicion_changes(now, changes, true, actions);
    }

    /// Logs changes of suspicion and of alarms, and ends the requests for contents that are quarantined now.
    fn apply_suspicion_changes(
        &mut self,
        now: BootTime,
        changes: Vec<SuspicionChange>,
        is_from_peers: bool,
        actions: &mut Vec<RoutingAction>,
    ) {
        if changes.iter().any(|change| change.suspicion != Suspicion::Suspect) {
            self.log_alarms(now, actions);
        }
        for change in changes {
            actions.push(RoutingAction::Suspicion { change, is_from_peers });
            if self.suspicion(now, change.content) == Suspicion::Quarantined {
                self.end_quarantined_requests(now, change.content, actions);
            }
        }
    }

    /// Ends the requests in flight that ask for a quarantined content. An open attempt of a route that isn't
    /// idempotent may finish: its searcher may be at work on it, and work that is cut off couldn't be repeated.
    fn end_quarantined_requests(&mut self, now: BootTime, content: ContentKey, actions: &mut Vec<RoutingAction>) {
        let affected = self.requests.iter().filter(|(_, request)| request.content == content);
        let mut keys: Vec<RequestKey> = affected.map(|(key, _)| *key).collect();
        // Requests end in order of arrival, so that the replay of a recording is deterministic.
        keys.sort_unstable();
        for key in keys {
            let is_idempotent = self.requests.get(&key).is_some_and(|request| request.route().is_idempotent);
            if is_idempotent {
                self.abandon_attempts(key, Duration::ZERO, AbandonCause::Quarantined, actions);
            }
            let Some(request) = self.requests.get_mut(&key) else {
                continue;
            };
            let is_ended = |shard: &&mut Shard| shard.is_open() && (is_idempotent || shard.open_attempts == 0);
            for shard in request.shards.iter_mut().filter(is_ended) {
                shard.open_attempts = 0;
                shard.waiting = None;
                shard.state = ShardState::Failed(None);
            }
            self.finish_if_done(now, key, actions);
        }
    }
}
