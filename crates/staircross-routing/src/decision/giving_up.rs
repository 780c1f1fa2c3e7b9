//! When a request ends: when its answer is complete enough, when it is refused, with which kind, and whether it may have run.
//!
//! Decides for each request, at its arrival ([`refuse_by_load`], [`deadline`], [`judge_reach`], [`hold_until`]) and whenever anything of it changes
//! ([`judge`], [`refuse`]). [`crate::engine`] asks it and ends the request by its verdict. Five refusals belong to other rules: no route and no key
//! ([`crate::configuration`]), a quarantined content ([`super::quarantine`]), a tenant's quota (`staircross-quota`), too much waiting at the searchers
//! ([`super::admission`], [`super::fair_share`]).
//!
//! **Inputs.** Durations, and times of this machine's boot clock; counts of shards: those whose part is in, those still open, the least that make an
//! answer; whether any attempt ran or may have run ([`super::retry::may_have_run`]; an attempt whose end isn't known counts as such).
//!
//! **What it protects.** A caller that reads a kind whose `executed` is "never" (`docs/ERRORS.md`) may send the request again: such a kind is given only if
//! nothing was sent, or all that was sent is known not to have run. **What it buys.** Answers in time instead of whole ones late, and refusals early
//! enough to ask another node. Holds: mean worth of a day (0 to 1) +0.0028 ± 0.0017 on a fleet of nine nodes, within 0.0002 of nothing on two others
//! (`docs/studies/switches.md`). What the other choices are worth against refusing or waiting is in `docs/design/rejections.md`.
//!
//! **What it doesn't know.** What a missing shard would have held; whether a caller still wants a late answer; whether another node could answer.
//! Retry-After follows from the kind (`staircross_types::ErrorKind`); only a tenant's quota gives its own.
//!
//! **At work.** Log: `finish outcome=…`, `left_out cause=…` for each missing shard, `held cause=…`. Metrics: `answers_partial_total`, `refusals_total`.
//! **Switches of `[policy]`.** `routing.holds` (refused at once rather than held). The rest is promised to callers and has no switch.

use crate::configuration::tenants::KeyRefusal;
use crate::decision::allowed_regions::AllowedRegions;
use crate::decision::retry::promises_not_run;
use crate::policy::RoutingPolicy;
use crate::state::request::{SearcherAnswer, Verdict};
use staircross_types::{BootTime, ErrorKind};
use std::time::Duration;

/// The final answer goes out so long before the deadline. For writing an answer and its way to the caller.
pub const DEADLINE_GUARD: Duration = Duration::from_millis(10);

/// Longest hold. For a few reads of a store that answers slowly (the first after a start takes tens of milliseconds).
const LONGEST_HOLD: Duration = Duration::from_millis(500);

/// A hold takes at most the caller's patience divided by this. So that a caller who is refused has time to ask another node.
const HOLD_DIVISOR: u32 = 4;

/// Requests held at once; those beyond are refused. Bounds memory.
const MAX_HELD: usize = 512;

/// Why a request isn't answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Says whether the request may have run, and when asking again may help.
    pub kind: ErrorKind,
    /// What exactly, for people.
    pub detail: &'static str,
}

impl Refusal {
    /// A refusal of a kind.
    pub const fn new(kind: ErrorKind, detail: &'static str) -> Self {
        Refusal { kind, detail }
    }
}

impl From<Refusal> for Verdict {
    fn from(refusal: Refusal) -> Self {
        Verdict::Refused { kind: refusal.kind, detail: refusal.detail, retry_after: None }
    }
}

/// How much a node has to do when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLoad {
    /// Whether it comes too late to its work.
    pub is_overloaded: bool,
    /// Requests that it holds.
    pub requests: usize,
    /// The most that it may hold.
    pub max_requests: usize,
}

/// Refuses what a node has no room for; another one may have.
pub fn refuse_by_load(load: NodeLoad) -> Option<Refusal> {
    if load.is_overloaded {
        return Some(Refusal::new(ErrorKind::Overloaded, "the node comes too late to its work"));
    }
    let is_full = load.requests >= load.max_requests;
    is_full.then_some(Refusal::new(ErrorKind::Overloaded, "the node holds as many requests as it may"))
}

/// What bounds the time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// By its route.
    pub timeout: Duration,
    /// By its caller, if it says so.
    pub patience: Option<Duration>,
    /// What it may have waited to be read.
    pub waited: Duration,
}

/// When a request that has arrived must have its final answer; a refusal if that time is over. What was read late has less time than it says.
pub fn deadline(now: BootTime, bounds: TimeBounds) -> Result<BootTime, Refusal> {
    let patience = bounds.patience.map_or(bounds.timeout, |patience| patience.min(bounds.timeout));
    let left = patience.saturating_sub(bounds.waited);
    if left <= DEADLINE_GUARD {
        return Err(Refusal::new(ErrorKind::Overloaded, "the request's time was over when it was read"));
    }
    Ok(now + (left - DEADLINE_GUARD))
}

/// Which of a request's shards have a searcher that may be asked before its deadline.
#[derive(Clone, Copy, Debug)]
pub struct Reach<'a> {
    /// Shards that have one.
    pub reachable: usize,
    /// Least shards that make an answer.
    pub least: usize,
    /// Whether the node knows all searchers that live.
    pub knows_searchers: bool,
    /// Where the request may be served.
    pub regions: AllowedRegions<'a>,
}

/// What follows from a request's reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachVerdict {
    /// It is begun.
    Begin,
    /// It is refused, and nothing is sent: too few shards can be answered.
    Refuse(Refusal),
    /// It is held until more searchers are known; if it can't be, or for too long, it is refused so.
    Hold(Refusal),
}

/// Whether enough shards can be answered for a request to be begun.
pub fn judge_reach(reach: Reach<'_>) -> ReachVerdict {
    if reach.reachable >= reach.least {
        return ReachVerdict::Begin;
    }
    if !reach.knows_searchers && !reach.regions.are_none() {
        let detail = "searchers are only just becoming known";
        return ReachVerdict::Hold(Refusal::new(ErrorKind::NoReplicaYet, detail));
    }
    ReachVerdict::Refuse(match reach.regions.are_all() {
        true => Refusal::new(ErrorKind::NoReplica, "too few shards have a searcher that can be asked"),
        false => Refusal::new(
            ErrorKind::NoAllowedReplica,
            "too few shards have a searcher that can be asked in an allowed region",
        ),
    })
}

/// Whether one more request may be held, besides those that are.
pub fn may_hold(held: usize, policy: &RoutingPolicy) -> bool {
    policy.holds && held < MAX_HELD
}

/// Until when a request that arrives now is held at the longest.
pub fn hold_until(now: BootTime, patience: Option<Duration>) -> BootTime {
    let fraction = patience.map_or(LONGEST_HOLD, |patience| patience / HOLD_DIVISOR);
    now + fraction.min(LONGEST_HOLD)
}

/// Whether a shard that nobody can be asked for before a time is given up rather than kept waiting.
pub fn is_too_late(retry_at: BootTime, deadline: BootTime) -> bool {
    retry_at >= deadline
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Shards whose part is in.
    pub parts: usize,
    /// Shards that are neither in nor given up.
    pub open: usize,
    /// Least shards that make an answer.
    pub least: usize,
    /// Whether any open shard may be in before the goal.
    pub may_grow_in_time: bool,
    /// Whether the time is over by which an answer is worth most.
    pub is_past_goal: bool,
    /// Whether its deadline has come.
    pub is_over: bool,
    /// Whether its key was revoked while it isn't known yet if anything of it ran: the next end of an attempt shows.
    pub is_unclear: bool,
}

/// What becomes of a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It goes on.
    GoOn,
    /// It is answered with the parts that are in.
    Answer,
    /// It fails, by [`refuse`] or with a searcher's own failure.
    Fail,
}

/// Whether a request ends now: nothing more can come, too little can, or it is time.
pub fn judge(progress: Progress) -> Standing {
    let is_enough = progress.parts >= progress.least;
    let is_hopeless = progress.parts + progress.open < progress.least && !progress.is_unclear;
    let is_best = progress.is_past_goal || !progress.may_grow_in_time;
    let is_time = progress.is_over || (is_best && is_enough);
    let goes_on = progress.open > 0 && !is_hopeless && !is_time;
    match (goes_on, is_enough) {
        (true, _) => Standing::GoOn,
        (false, true) => Standing::Answer,
        (false, false) => Standing::Fail,
    }
}

/// Whether a searcher's own failure is the answer to a request that fails. One by which it promises not to have run the request isn't: whether that
/// holds for all attempts, [`refuse`] says.
pub fn is_passed_on(failure: &SearcherAnswer, is_gather: bool) -> bool {
    !is_gather && !promises_not_run(failure.status)
}

/// What is known of a request that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRequest {
    /// Whether any attempt ran or may have run, or has an end that isn't known.
    pub may_have_run: bool,
    /// Whether its deadline has come.
    pub is_over: bool,
    /// Whether its key was revoked.
    pub is_key_revoked: bool,
}

/// With which kind a request that fails is refused.
pub fn refuse(failed: FailedRequest) -> Refusal {
    if failed.is_key_revoked && !failed.may_have_run {
        return Refusal::new(ErrorKind::Unauthorized, KeyRefusal::Revoked.detail());
    }
    match (failed.may_have_run, failed.is_over) {
        (true, true) => Refusal::new(ErrorKind::TimedOut, "the time was over before enough shards had answered"),
        (true, false) => Refusal::new(ErrorKind::BackEndsFailed, "too few shards are left to answer"),
        (false, true) => Refusal::new(ErrorKind::Overloaded, "no searcher had room in time"),
        (false, false) => Refusal::new(ErrorKind::NotDelivered, "every searcher asked turned the request away"),
    }
}
