//! The end of requests: gathers what [`crate::decision::giving_up`] and [`crate::decision::hedging`] judge by, and carries out their verdicts.
//!
//! Owns how long attempts may go on whose caller has left.

use super::{AbandonCause, LeftOutCause, RoutingAction, RoutingEngine, SendReason};
use crate::decision::giving_up::{self, FailedRequest, Progress, Refusal, Standing};
use crate::decision::hedging::{self, HedgeVerdict, LateAttempt};
use crate::keys::{RequestKey, SearcherKey};
use crate::merge::greatest_records;
use crate::state::request::{MergedAnswer, Request, ShardState, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// How long a searcher may go on with work whose caller has left. So that most answers under way still come.
const DEPARTED_PATIENCE: Duration = Duration::from_millis(350);
/// The same for work that may not be repeated. Longer than any such work.
const UNREPEATABLE_PATIENCE: Duration = Duration::from_secs(600);

impl RoutingEngine {
    /// A request needs attention: a hedge is due, its goal is near, or its time is over.
    pub(super) fn on_due(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        if !self.requests.contains_key(&key) {
            return self.end_hold(now, key, actions);
        }
        self.hedge(now, key, actions);
        self.retry_due(now, key, actions);
        self.widen_probe(now, key, actions);
        if let Some(request) = self.requests.get_mut(&key) {
            request.is_past_goal |= now >= request.answer_by;
        }
        self.settle(now, key, actions);
        self.schedule(key);
    }

    fn hedge(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let policy = &self.settings.policy;
        let rests_until = hedging::rests_until(self.settings.restarted_at, policy);
        let (route, is_key_revoked) = (request.route(), request.is_key_revoked);
        let (is_idempotent, most) = (route.is_idempotent, route.max_attempts);
        let mut late = Vec::new();
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.is_open && attempt.hedge_at <= now) {
            let shard = &request.shards[attempt.shard as usize];
            let (is_alone, may_be_sent) = (shard.outstanding == 1, shard.may_be_sent(most));
            let state = LateAttempt { is_idempotent, is_key_revoked, is_alone, may_be_sent };
            attempt.hedge_at = match hedging::judge(now, state, rests_until, policy) {
                HedgeVerdict::Hedge { again_at } => {
                    late.push(attempt.shard as usize);
                    again_at
                }
                HedgeVerdict::NotBefore(time) => time,
                HedgeVerdict::Never => BootTime::FAR_FUTURE,
            };
        }
        for shard in late {
            // A hedge that isn't made is retried after a pause.
            let _unsent = self.dispatch(now, key, shard, SendReason::Hedge, actions);
        }
    }

    /// Ends the request if nothing more can come, too little can, or it is time.
    pub(super) fn settle(&mut self, now: BootTime, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let progress = progress(now, request);
        let standing = giving_up::judge(progress);
        if standing == Standing::GoOn {
            return;
        }
        self.note_left_out(key, actions);
        self.abandon_all(key, Self::read_out_patience(), AbandonCause::Superseded, actions);
        let Some(mut request) = self.requests.remove(&key) else {
            return;
        };
        let is_answered = standing == Standing::Answer;
        if is_answered && request.gather().is_some() && progress.parts < request.shards.len() {
            self.counters.partial_answers += 1;
        }
        let verdict = if is_answered { success(&mut request) } else { failure(now, &request) };
        actions.push(RoutingAction::Finish { request: key, verdict });
    }

    fn note_left_out(&self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        for shard in &request.shards {
            let cause = match (&shard.state, shard.outstanding > 0, shard.sent_to.is_empty()) {
                (ShardState::Answered(_), _, _) => continue,
                (ShardState::Open, true, _) => LeftOutCause::Late,
                (ShardState::Open, false, _) => LeftOutCause::NoRoom,
                (ShardState::Failed(_), _, false) => LeftOutCause::Failed,
                (ShardState::Failed(_), _, true) => LeftOutCause::Nobody,
            };
            let instance = |searcher: &SearcherKey| self.searchers[searcher.0 as usize].entry.instance.clone();
            let asked = shard.sent_to.iter().map(instance).collect();
            let service = shard.service.clone();
            actions.push(RoutingAction::LeftOut { request: key, service, asked, cause });
        }
    }

    pub(super) fn on_caller_gone(&mut self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get(&key) else {
            return self.forget_held(key);
        };
        // Work that may not be repeated is left to end; the caller may ask what became of it.
        let is_idempotent = request.route().is_idempotent;
        let patience = if is_idempotent { DEPARTED_PATIENCE } else { UNREPEATABLE_PATIENCE };
        self.abandon_all(key, patience, AbandonCause::CallerGone, actions);
        self.requests.remove(&key);
    }
}

fn progress(now: BootTime, request: &Request) -> Progress {
    Progress {
        parts: request.answered_shards(),
        open: request.open_shards(),
        least: request.least_shards(),
        may_grow_in_time: request.may_gain_parts(),
        is_past_goal: now >= request.answer_by,
        is_over: now >= request.deadline,
        is_unclear: request.awaits_outcome_after_revocation(),
    }
}

fn success(request: &mut Request) -> Verdict {
    let Some(gather) = request.gather() else {
        return match request.shards.pop().map(|shard| shard.state) {
            Some(ShardState::Answered(answer)) => Verdict::Passed(answer),
            _ => Refusal::new(ErrorKind::Internal, "a request without a part was taken as answered").into(),
        };
    };
    let parts = request.shards.iter().filter_map(|shard| match &shard.state {
        ShardState::Answered(answer) => Some(answer),
        _ => None,
    });
    let body = greatest_records(parts.clone().map(|answer| answer.body.as_slice()), gather.top_k);
    let stamps: Vec<Vec<u8>> = parts.filter_map(|answer| answer.stamp.clone()).collect();
    let missing = request.shards.len() - stamps.len();
    Verdict::Merged(MergedAnswer { stamps, missing, body })
}

fn failure(now: BootTime, request: &Request) -> Verdict {
    if let Some(ShardState::Failed(Some(answer))) = request.shards.first().map(|shard| &shard.state)
        && giving_up::is_passed_on(answer, request.gather().is_some())
    {
        return Verdict::Passed(answer.clone());
    }
    let may_have_run = request.may_have_run || !request.attempts.iter().all(|attempt| attempt.is_resolved);
    let (is_over, is_key_revoked) = (now >= request.deadline, request.is_key_revoked);
    giving_up::refuse(FailedRequest { may_have_run, is_over, is_key_revoked }).into()
}
