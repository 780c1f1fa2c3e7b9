//! Decides whether an arriving request is begun, held or refused, and when a request ends: with an answer that is
//! complete enough, or with a refusal of the error kind that applies.
//!
//! The rule is applied to each request when it arrives ([`refuse_if_overloaded`], [`deadline`], [`decide_start`],
//! [`hold_until`]) and whenever its state changes ([`decide_end`], [`refuse`]). [`crate::engine`] calls it and carries
//! out its decision. Five refusals are decided elsewhere: an unknown route or key ([`crate::configuration`]), a
//! quarantined content ([`super::quarantine`]), an exceeded tenant quota (`staircross-quota`), and too long a queue at
//! the searchers ([`super::admission`], [`super::fair_share`]).
//!
//! The inputs are durations; times of this machine's boot clock; numbers of shards (those whose part has been received,
//! those still open, and the minimum for an answer); and whether any attempt ran or may have run
//! ([`super::retry::may_have_run`]; an attempt whose outcome is unknown counts as such).
//!
//! The rule protects callers against running a request twice: a caller that receives an error kind whose `executed` is
//! "never" (`docs/ERRORS.md`) may send the request again. Such a kind is used only if nothing was sent, or if
//! everything that was sent is known not to have run. The rule also gives callers partial answers in time instead of
//! complete answers late, and refusals early enough to ask another node. Holding requests instead of refusing them
//! changes the mean score of a day's requests (0 to 1, `docs/studies/scores.md`) by +0.0028 ± 0.0017 on a fleet of nine
//! nodes and by less than 0.0002 on two others (`docs/studies/switches.md`). `docs/design/rejections.md` compares the
//! other choices with refusing and with waiting.
//!
//! The rule doesn't know what a missing shard would have contributed, whether a caller still wants a late answer, or
//! whether another node could answer. The Retry-After header follows from the error kind
//! (`staircross_types::ErrorKind`); only a tenant's quota sets a value of its own.
//!
//! The log shows the rule as `finish outcome=…`, `left_out cause=…` for each missing shard, and `held cause=…`; the
//! metrics are `answers_partial_total` and `refusals_total`. With `routing.holds = false`, requests are refused at once
//! instead of held. Everything else is guaranteed to callers and can't be turned off.

use crate::configuration::tenants::KeyRefusal;
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::retry::promises_not_run;
use crate::policy::RoutingPolicy;
use crate::state::request::{RequestOutcome, SearcherAnswer};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// Time before the deadline at which the final answer is sent. It covers writing the answer and sending it to the
/// caller.
pub const DEADLINE_GUARD: Duration = Duration::from_millis(10);

/// Maximum time for which a request is held. It covers a few reads from a store that answers slowly (the first read
/// after a start takes tens of milliseconds).
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Divisor of the caller's timeout that gives the maximum time for which a request is held, so that a caller who is
/// refused has time to ask another node.
const HOLD_DIVISOR: u32 = 4;

/// Maximum number of requests held at once; further ones are refused. This bounds memory.
const MAX_HELD: usize = 512;

/// Reason why a request isn't answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind, which says whether the request may have run and when asking again may help.
    pub kind: ErrorKind,
    /// Human-readable explanation.
    pub detail: &'static str,
}

impl Refusal {
    /// Creates a refusal of a kind.
    pub const fn new(kind: ErrorKind, detail: &'static str) -> Self {
        Refusal { kind, detail }
    }
}

impl From<Refusal> for RequestOutcome {
    fn from(refusal: Refusal) -> Self {
        RequestOutcome::Refused { kind: refusal.kind, detail: refusal.detail, retry_after: None }
    }
}

/// Load of a node when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLoad {
    /// Whether the node is late with its work.
    pub is_overloaded: bool,
    /// Number of requests that the node is processing.
    pub requests: usize,
    /// Maximum number of requests that the node may process at once.
    pub max_requests: usize,
}

/// Refuses a request if the node is late with its work or has reached its limit of requests. Another node may have
/// capacity.
pub fn refuse_if_overloaded(load: NodeLoad) -> Option<Refusal> {
    if load.is_overloaded {
        return Some(Refusal::new(ErrorKind::Overloaded, "the node comes too late to its work"));
    }
    let is_full = load.requests >= load.max_requests;
    is_full.then_some(Refusal::new(ErrorKind::Overloaded, "the node holds as many requests as it may"))
}

/// Limits on the time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// Timeout of the route.
    pub timeout: Duration,
    /// Time for which the caller waits, if the request states it.
    pub caller_timeout: Option<Duration>,
    /// Time for which the request may have waited to be read.
    pub waited: Duration,
}

/// Returns the time by which an arriving request must have its final answer, or a refusal if that time has passed. It
/// is [`DEADLINE_GUARD`] before the shorter of both timeouts ends, and the time that the request waited to be read is
/// deducted.
pub fn deadline(now: BootTime, bounds: TimeBounds) -> Result<BootTime, Refusal> {
    let timeout = bounds.caller_timeout.map_or(bounds.timeout, |caller_timeout| caller_timeout.min(bounds.timeout));
    let left = timeout.saturating_sub(bounds.waited);
    if left <= DEADLINE_GUARD {
        return Err(Refusal::new(ErrorKind::Overloaded, "the request's time was over when it was read"));
    }
    Ok(now + (left - DEADLINE_GUARD))
}

/// Availability of a request's shards when the request arrives. A shard is reachable if it has a searcher that may be
/// asked before the deadline.
#[derive(Clone, Copy, Debug)]
pub struct ReachableShards<'a> {
    /// Number of reachable shards.
    pub reachable: usize,
    /// Minimum number of shards for an answer.
    pub min_shards: usize,
    /// Whether the node knows all running searchers.
    pub knows_searchers: bool,
    /// Regions in which the request may be served.
    pub regions: AllowedRegions<'a>,
}

/// Decision about an arriving request, by the number of its reachable shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The request is processed.
    Begin,
    /// The request is refused and nothing is sent, because too few shards can be answered.
    Refuse(Refusal),
    /// The request is held until more searchers are known. It is refused with this refusal if it can't be held, or has
    /// been held for too long.
    Hold(Refusal),
}

/// Decides whether an arriving request is processed, held or refused, by whether enough of its shards can be answered.
pub fn decide_start(shards: ReachableShards<'_>) -> StartDecision {
    if shards.reachable >= shards.min_shards {
        return StartDecision::Begin;
    }
    if !shards.knows_searchers && !shards.regions.are_none() {
        let detail = "searchers are only just becoming known";
        return StartDecision::Hold(Refusal::new(ErrorKind::NoReplicaYet, detail));
    }
    StartDecision::Refuse(match shards.regions.are_all() {
        true => Refusal::new(ErrorKind::NoReplica, "too few shards have a searcher that can be asked"),
        false => Refusal::new(
            ErrorKind::NoAllowedReplica,
            "too few shards have a searcher that can be asked in an allowed region",
        ),
    })
}

/// Returns whether one more request may be held, in addition to `held` others.
pub fn may_hold(held: usize, policy: &RoutingPolicy) -> bool {
    policy.holds && held < MAX_HELD
}

/// Returns the time until which a request that arrives now may be held.
pub fn hold_until(now: BootTime, caller_timeout: Option<Duration>) -> BootTime {
    let by_caller_timeout = caller_timeout.map_or(MAX_HOLD, |caller_timeout| caller_timeout / HOLD_DIVISOR);
    now + by_caller_timeout.min(MAX_HOLD)
}

/// Returns whether a shard is given up rather than kept waiting, since no searcher can be asked before `retry_at` and
/// the deadline has passed by then.
pub fn is_too_late(retry_at: BootTime, deadline: BootTime) -> bool {
    retry_at >= deadline
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of shards whose part has been received.
    pub parts: usize,
    /// Number of shards that are neither received nor given up.
    pub open: usize,
    /// Minimum number of shards for an answer.
    pub min_shards: usize,
    /// Whether the part of any open shard may arrive before the goal.
    pub may_grow_in_time: bool,
    /// Whether the latency goal has passed, after which an answer has less value.
    pub is_past_goal: bool,
    /// Whether the deadline has passed.
    pub is_past_deadline: bool,
    /// Whether the request's API key was revoked while it is unknown whether any of its attempts ran. The outcome of
    /// the next attempt to end shows whether it ran.
    pub awaits_outcome: bool,
}

/// Decision whether and how a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDecision {
    /// The request continues.
    Continue,
    /// The request is answered with the parts received.
    Answer,
    /// The request fails, with the refusal from [`refuse`] or with a searcher's own failure.
    Fail,
}

/// Decides whether a request ends now: when no shard is open, when too few shards can still answer, when the deadline
/// has passed, or when enough parts were received and no further one can arrive before the goal.
pub fn decide_end(progress: Progress) -> EndDecision {
    let has_enough = progress.parts >= progress.min_shards;
    let is_hopeless = progress.parts + progress.open < progress.min_shards && !progress.awaits_outcome;
    let cannot_improve = progress.is_past_goal || !progress.may_grow_in_time;
    let must_end = progress.is_past_deadline || (cannot_improve && has_enough);
    let continues = progress.open > 0 && !is_hopeless && !must_end;
    match (continues, has_enough) {
        (true, _) => EndDecision::Continue,
        (false, true) => EndDecision::Answer,
        (false, false) => EndDecision::Fail,
    }
}

/// Returns whether a searcher's own failure is passed on as the answer to a request that fails. A failure which
/// promises that the request didn't run isn't passed on: [`refuse`] determines whether that holds for all attempts.
pub fn is_passed_on(failure: &SearcherAnswer, is_gather: bool) -> bool {
    !is_gather && !promises_not_run(failure.status)
}

/// What is known of a request that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// Whether any attempt ran or may have run, or has an unknown outcome.
    pub may_have_run: bool,
    /// Whether the deadline has passed.
    pub is_past_deadline: bool,
    /// Whether the request's API key was revoked.
    pub is_key_revoked: bool,
    /// Whether the deadline is the time at which this node stops.
    pub ends_with_node: bool,
}

/// Returns the refusal for a request that fails.
pub fn refuse(failed: FailedRequest) -> Refusal {
    if failed.is_key_revoked && !failed.may_have_run {
        return Refusal::new(ErrorKind::Unauthorized, KeyRefusal::Revoked.detail());
    }
    match (failed.may_have_run, failed.is_past_deadline) {
        (true, true) => Refusal::new(ErrorKind::TimedOut, "the time was over before enough shards had answered"),
        (true, false) => Refusal::new(ErrorKind::BackEndsFailed, "too few shards are left to answer"),
        (false, true) if failed.ends_with_node => {
            Refusal::new(ErrorKind::Leaving, "the node stops and no searcher had room before")
        }
        (false, true) => Refusal::new(ErrorKind::Overloaded, "no searcher had room in time"),
        (false, false) => Refusal::new(ErrorKind::NotDelivered, "every searcher asked turned the request away"),
    }
}
