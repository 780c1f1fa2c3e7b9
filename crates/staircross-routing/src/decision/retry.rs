//! What the end of an attempt means for its shard: whether its part is in, whether it is sent again, to whom, and when.
//!
//! Decides for each shard of a request ([`next_step`]), for the searcher that an attempt which didn't run was sent to ([`after_not_run`]),
//! and for a retry that the budget refuses ([`may_wait`], [`budget_retry_at`]). [`crate::engine`] asks it at each end of an attempt.
//!
//! **Inputs.** How the attempt ended, as the connection showed it ([`AttemptOutcome`]); whether the request's route is idempotent and gathers shards.
//! Statuses are HTTP's. Besides, the route's `max_attempts` bounds the searchers that are sent a shard (`Shard::is_excluded`), and a retry is paid from
//! the budget ([`super::extra_budget`]); a reroute isn't, since nothing was sent.
//!
//! **What it protects.** What isn't idempotent is sent again only if it surely didn't run: nothing was sent, or the searcher says that it
//! didn't run it. **What it buys.** Requests that are answered although a searcher failed. Letting shards wait after a
//! searcher without room, and for the budget: of 10,000 requests 63 unserved became 40 and 164 became 63 on two fleets of 195 nodes, mean worth of a
//! day (0 to 1) -0.0006 ± 0.0017 and +0.0073 ± 0.0050 (`docs/studies/policy-rounds.md`). Waiting as a whole: +0.0225 ± 0.0080 on a fleet of 67
//! nodes, +0.0004 ± 0.0011 or less on three others (`docs/studies/switches.md`).
//!
//! **What it doesn't know.** Whether a searcher that broke its connection ran the request: that counts as "may have run". Whether a searcher
//! that answers with a failure would answer otherwise a moment later.
//!
//! **At work.** Log: `attempt_ended outcome=…`, `send reason=retry` or `reason=reroute`, `unsent cause=not_repeatable`, `most_attempts`, `over_budget`
//! or `avoided`. Metrics: `attempts_retry_total`, `attempts_reroute_total`, `attempts_over_budget_total`.
//! **Switch of `[policy]`.** `routing.waiting`: shards don't wait, neither for a searcher nor for the budget. What is promised to callers has no switch.

use crate::policy::RoutingPolicy;
use crate::state::request::{AttemptOutcome, NotRun, SearcherAnswer, SendReason};
use staircross_types::BootTime;
use std::time::Duration;

/// Time until a shard that the budget kept from being sent again is retried. A fifth of the step by which a budget's window of 10 s moves on.
const BUDGET_PAUSE: Duration = Duration::from_millis(100);

/// What decides about sending a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether its route says that it may run twice.
    pub is_idempotent: bool,
    /// Whether it asks several shards, whose parts are merged.
    pub is_gather: bool,
}

/// What follows for a shard from the end of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer is its part, and final.
    TakePart,
    /// It is sent again, if nobody else is at work on it.
    SendAgain(SendReason),
    /// It may have run and may not run twice: it is given up.
    NotRepeatable,
    /// The attempt was cancelled: its request isn't sent again.
    GiveUp,
}

/// What follows for a shard from the end of one of its attempts.
pub fn next_step(outcome: &AttemptOutcome, kind: RequestKind) -> NextStep {
    match outcome {
        AttemptOutcome::Answered(answer) if is_final(answer, kind) => NextStep::TakePart,
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) if kind.is_idempotent => {
            NextStep::SendAgain(SendReason::Retry)
        }
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => NextStep::NotRepeatable,
        AttemptOutcome::NotRun(NotRun::Unconnected | NotRun::ConnectionRejected | NotRun::Stale) => {
            NextStep::SendAgain(SendReason::Reroute)
        }
        AttemptOutcome::NotRun(NotRun::Shed | NotRun::OtherInstance) => NextStep::SendAgain(SendReason::Retry),
        // Only attempts of requests whose key is revoked are cancelled while their request goes on.
        AttemptOutcome::Cancelled => NextStep::GiveUp,
    }
}

/// Whether no other searcher is asked after an answer. A searcher's own refusal of a request as such is final, where it isn't one part of
/// several: another searcher would say the same.
fn is_final(answer: &SearcherAnswer, kind: RequestKind) -> bool {
    let is_success = (200..300).contains(&answer.status) && answer.stamp.is_some();
    is_success || (!kind.is_gather && is_run_to_its_end(answer))
}

/// Whether the searcher ran the request and lived on. A failure of its own may be reported before the work that ends it.
pub fn is_run_to_its_end(answer: &SearcherAnswer) -> bool {
    answer.status < 500 && !promises_not_run(answer.status)
}

/// Statuses by which a searcher that answered says that it didn't take the request, as HTTP defines them: 408 Request Timeout, 421 Misdirected Request,
/// 429 Too Many Requests, 503 Service Unavailable.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a request may have run by what the end of one attempt shows. An answer counts whatever its status: the outcome is
/// [`AttemptOutcome::NotRun`] where the searcher is believed that it didn't run it.
pub fn may_have_run(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => true,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Cancelled => false,
    }
}

/// What follows for a searcher, within one request, from an attempt that it didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnusedSearcher {
    /// Whether it counts against the most searchers that the request may be sent to: it got something.
    pub is_counted: bool,
    /// Whether the same request may ask it again.
    pub may_be_asked_again: bool,
}

/// What follows for a searcher from an attempt that it didn't run. Asking it again is paced: an ended connection is used up by
/// being found, and a searcher that can't be reached or rejects something is avoided for a while.
pub fn after_not_run(reason: NotRun, policy: &RoutingPolicy) -> UnusedSearcher {
    let may_wait = policy.waiting;
    match reason {
        NotRun::Stale => UnusedSearcher { is_counted: false, may_be_asked_again: true },
        NotRun::Unconnected | NotRun::ConnectionRejected => {
            UnusedSearcher { is_counted: false, may_be_asked_again: may_wait }
        }
        NotRun::Shed => UnusedSearcher { is_counted: true, may_be_asked_again: may_wait },
        NotRun::OtherInstance => UnusedSearcher { is_counted: true, may_be_asked_again: false },
    }
}

/// Whether a shard that the budget keeps from being sent again waits for it. A failure that is at hand is passed on at once rather than kept, unless
/// it is one part of several, which can't be passed on.
pub fn may_wait(has_failure_at_hand: bool, kind: RequestKind) -> bool {
    !has_failure_at_hand || kind.is_gather
}

/// When a shard that waits for the budget is retried; `None` where shards don't wait.
pub fn budget_retry_at(now: BootTime, policy: &RoutingPolicy) -> Option<BootTime> {
    policy.waiting.then(|| now + BUDGET_PAUSE)
}
