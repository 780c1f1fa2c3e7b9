//! Decides what follows for a shard when an attempt ends: whether its part is complete, and whether, to whom and when
//! the shard is sent again.
//!
//! The rule decides for each shard of a request ([`next_step`]), for the searcher of an attempt that didn't run
//! ([`reuse_after_not_run`]), and for a retry that the budget refuses ([`may_wait`], [`budget_retry_at`]).
//! [`crate::engine`] calls it whenever an attempt ends.
//!
//! The inputs are the outcome of the attempt as seen on the connection ([`AttemptOutcome`]), and whether the route is
//! idempotent and gathers shards. Status codes are HTTP's. In addition, the route's `max_attempts` limits the searchers
//! that a shard is sent to (`Shard::is_excluded`). A retry is paid from the budget ([`super::extra_budget`]); a reroute
//! isn't, since nothing was sent.
//!
//! The rule ensures that a request that isn't idempotent is sent again only if it certainly didn't run: nothing was
//! sent, or the searcher says that it didn't run it. Requests are thus answered although a searcher failed. On two
//! fleets of 195 nodes, letting shards wait for a searcher without capacity and for the budget reduces the unserved
//! requests of 10,000 from 63 to 40 and from 164 to 63; the mean score of a day's requests (0 to 1,
//! `docs/studies/scores.md`) changes by -0.0006 ± 0.0017 and +0.0073 ± 0.0050 (`docs/studies/policy-rounds.md`). All
//! waiting together changes the score by +0.0225 ± 0.0080 on a fleet of 67 nodes, and by +0.0004 ± 0.0011 or less on
//! three others (`docs/studies/switches.md`).
//!
//! The rule doesn't know whether a searcher that broke its connection ran the request, which counts as "may have run",
//! nor whether a searcher that answers with a failure would succeed a moment later.
//!
//! The log shows the rule as `attempt_ended outcome=…`, `send reason=retry` or `reason=reroute`, and `unsent
//! cause=not_repeatable`, `most_attempts`, `over_budget` or `avoided`; the metrics are `attempts_retry_total`,
//! `attempts_reroute_total` and `attempts_over_budget_total`. With `routing.waiting = false`, shards wait neither for a
//! searcher nor for the budget. What is guaranteed to callers can't be turned off.

use crate::policy::RoutingPolicy;
use crate::state::request::{AttemptOutcome, NotRun, SearcherAnswer, SendReason};
use staircross_types::BootTime;
use std::time::Duration;

/// Time until a shard whose retry the budget refused is tried again. It is a fifth of the step by which a budget window
/// of 10 s advances, which is half a second.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Properties of a request that decide whether it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// Whether the route permits a request to run twice.
    pub is_idempotent: bool,
    /// Whether the request is sent to several shards, whose parts are merged.
    pub is_gather: bool,
}

/// What follows for a shard when one of its attempts ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer is final and becomes the shard's part.
    AcceptAnswer,
    /// The shard is sent again, unless another attempt for it is in progress.
    SendAgain(SendReason),
    /// The shard is given up, because it may have run and may not run twice.
    NotRepeatable,
    /// The attempt was cancelled, and the shard isn't sent again.
    GiveUp,
}

/// Returns what follows for a shard when one of its attempts ends.
pub fn next_step(outcome: &AttemptOutcome, kind: RequestKind) -> NextStep {
    match outcome {
        AttemptOutcome::Answered(answer) if is_final(answer, kind) => NextStep::AcceptAnswer,
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) if kind.is_idempotent => {
            NextStep::SendAgain(SendReason::Retry)
        }
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => NextStep::NotRepeatable,
        AttemptOutcome::NotRun(NotRun::Unconnected | NotRun::ConnectionRejected | NotRun::Stale) => {
            NextStep::SendAgain(SendReason::Reroute)
        }
        AttemptOutcome::NotRun(NotRun::Shed | NotRun::OtherInstance) => NextStep::SendAgain(SendReason::Retry),
        // An attempt is cancelled for good during its request only if the request's key was revoked.
        AttemptOutcome::Cancelled => NextStep::GiveUp,
    }
}

/// Returns whether an answer is final, so that no other searcher is asked. A searcher's refusal of the request itself
/// is final unless the request is a gather: another searcher would refuse it too.
fn is_final(answer: &SearcherAnswer, kind: RequestKind) -> bool {
    let is_success = (200..300).contains(&answer.status) && answer.stamp.is_some();
    is_success || (!kind.is_gather && ran_to_completion(answer))
}

/// Returns whether the searcher ran the request to completion and survived. A searcher may report a failure of its own
/// before the work that crashes it.
pub fn ran_to_completion(answer: &SearcherAnswer) -> bool {
    answer.status < 500 && !promises_not_run(answer.status)
}

/// Returns whether a status says that the searcher didn't process the request. HTTP defines these: 408 Request Timeout,
/// 421 Misdirected Request, 429 Too Many Requests and 503 Service Unavailable.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether a request may have run, judging by the outcome of one attempt. An answer counts as a run whatever
/// its status: where the searcher is believed when it says that it didn't run the request, the outcome is
/// [`AttemptOutcome::NotRun`].
pub fn may_have_run(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => true,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Cancelled => false,
    }
}

/// What follows within a request for a searcher that didn't run its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearcherReuse {
    /// Whether the searcher counts towards the route's `max_attempts`, because the request reached it.
    pub is_counted: bool,
    /// Whether the same request may be sent to the searcher again.
    pub may_be_asked_again: bool,
}

/// Returns what follows within a request for a searcher that didn't run its attempt. Repeats are limited in rate: each
/// ended connection is found only once, and a searcher that can't be reached or rejects a request is avoided for a
/// while.
pub fn reuse_after_not_run(reason: NotRun, policy: &RoutingPolicy) -> SearcherReuse {
    let may_wait = policy.waiting;
    match reason {
        NotRun::Stale => SearcherReuse { is_counted: false, may_be_asked_again: true },
        NotRun::Unconnected | NotRun::ConnectionRejected => {
            SearcherReuse { is_counted: false, may_be_asked_again: may_wait }
        }
        NotRun::Shed => SearcherReuse { is_counted: true, may_be_asked_again: may_wait },
        NotRun::OtherInstance => SearcherReuse { is_counted: true, may_be_asked_again: false },
    }
}

/// Returns whether a shard whose retry the budget refuses waits for the budget. If a searcher's own failure was
/// received, it is passed on at once instead, unless the request is a gather, where it can't be passed on.
pub fn may_wait(has_failure: bool, kind: RequestKind) -> bool {
    !has_failure || kind.is_gather
}

/// Returns the time at which a shard that waits for the budget is tried again, or `None` if shards don't wait.
pub fn budget_retry_at(now: BootTime, policy: &RoutingPolicy) -> Option<BootTime> {
    policy.waiting.then(|| now + BUDGET_RETRY_DELAY)
}
