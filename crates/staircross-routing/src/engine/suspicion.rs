//! What lost searchers mean for the requests that ran there.

use super::waiting::Postponed;
use super::{AbandonCause, RoutingAction, RoutingEngine, SendReason, SentAttempt, UnsentCause};
use crate::decision::quarantine::{CaseRecord, LostAttempt, Suspicion, SuspicionChange};
use crate::decision::retry::ran_to_completion;
use crate::keys::{AttemptKey, ContentKey, RequestKey, RouteDigest};
use crate::state::request::{AttemptOutcome, NotRun, Request, Shard, ShardState, Unknown};
use staircross_types::BootTime;
use std::time::Duration;

/// Time until a shard of a suspect request is retried while a searcher is at work on another. A tenth of a short goal.
const TRIAL_PAUSE: Duration = Duration::from_millis(10);

impl RoutingEngine {
    /// What is believed of a content.
    pub(super) fn suspicion(&self, now: BootTime, content: ContentKey) -> Suspicion {
        match self.settings.policy.quarantine {
            true => self.quarantine.suspicion(now, content),
            false => Suspicion::None,
        }
    }

    /// Contents that are suspect, and those that are quarantined.
    pub fn suspicion_counts(&self, now: BootTime) -> (usize, usize) {
        self.quarantine.counts(now)
    }

    /// What to send peers with the next datagrams.
    pub fn case_records(&mut self, now: BootTime) -> Vec<CaseRecord> {
        self.quarantine.records(now)
    }

    /// Whether a request must wait for the end of an attempt in flight, be it another request's: a searcher that is at work on a suspect content
    /// hasn't outlived it yet, whoever waits for its answer.
    pub(super) fn waits_for_trial(&self, now: BootTime, request: &Request) -> bool {
        let content = request.content;
        self.suspicion(now, content) == Suspicion::Suspect && self.sent.values().any(|sent| sent.content == content)
    }

    /// Has a shard of a suspect request wait, unless a searcher is at work on it already.
    pub(super) fn postpone_suspect(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> UnsentCause {
        let cause = UnsentCause::Suspect;
        let Some(request) = self.requests.get(&key) else {
            return cause;
        };
        let shard = &request.shards[shard_index];
        let service = shard.service.clone();
        if shard.is_open() && shard.outstanding == 0 {
            // Logged once, not with each look.
            if !shard.is_queued {
                actions.push(RoutingAction::Unsent { request: key, service, reason, cause });
            }
            self.begin_waiting(now, key, shard_index, Postponed { reason, cause, retry_at: Some(now + TRIAL_PAUSE) });
        }
        cause
    }

    /// Takes what the end of an attempt says of its searcher and of what was asked for.
    pub(super) fn note_suspicion(
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
            AttemptOutcome::Unknown(Unknown::Broken) if !self.is_answered(attempt.request, sent) => {
                let (content, route) = (sent.content, RouteDigest::of(&sent.route));
                self.quarantine.note_lost(now, LostAttempt { content, route, searcher, sent_at: sent.sent_at })
            }
            _ => None,
        });
        self.take_suspicions(now, changes, false, actions);
    }

    fn is_answered(&self, key: RequestKey, sent: &SentAttempt) -> bool {
        self.requests.get(&key).map_or(sent.is_request_answered, |request| request.is_answered)
    }

    pub(super) fn take_peer_cases(&mut self, now: BootTime, records: &[CaseRecord], actions: &mut Vec<RoutingAction>) {
        let changes = self.quarantine.merge(now, records);
        self.take_suspicions(now, changes, true, actions);
    }

    fn take_suspicions(
        &mut self,
        now: BootTime,
        changes: Vec<SuspicionChange>,
        is_by_peers: bool,
        actions: &mut Vec<RoutingAction>,
    ) {
        if changes.iter().any(|change| change.suspicion != Suspicion::Suspect) {
            self.log_alarms(now, actions);
        }
        for change in changes {
            actions.push(RoutingAction::Suspicion { change, is_by_peers });
            if self.suspicion(now, change.content) == Suspicion::Quarantined {
                self.end_quarantined(now, change.content, actions);
            }
        }
    }

    /// Ends the requests in flight that ask for a content which is sent to nobody any more. An attempt that may not be repeated is left to its
    /// end: its searcher may be at work on it, and nobody could do again what is cut off there.
    fn end_quarantined(&mut self, now: BootTime, content: ContentKey, actions: &mut Vec<RoutingAction>) {
        let concerned = self.requests.iter().filter(|(_, request)| request.content == content);
        let mut keys: Vec<RequestKey> = concerned.map(|(key, _)| *key).collect();
        // In the order in which they came, so that a recording is taken again alike.
        keys.sort_unstable();
        for key in keys {
            let is_idempotent = self.requests.get(&key).is_some_and(|request| request.route().is_idempotent);
            if is_idempotent {
                self.abandon_all(key, Duration::ZERO, AbandonCause::Quarantined, actions);
            }
            let Some(request) = self.requests.get_mut(&key) else {
                continue;
            };
            let is_ended = |shard: &&mut Shard| shard.is_open() && (is_idempotent || shard.outstanding == 0);
            for shard in request.shards.iter_mut().filter(is_ended) {
                shard.outstanding = 0;
                shard.waiting = None;
                shard.state = ShardState::Failed(None);
            }
            self.settle(now, key, actions);
        }
    }
}
