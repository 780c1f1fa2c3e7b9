//! Limits the extra sends to one service: hedges and retries, which go beyond the strictly needed sub-requests.
//!
//! The rule decides for each hedge and each retry of this node whether it may be sent ([`ExtraWindow::try_spend`]), and
//! tells [`super::hedging`] how much of the budget is left ([`ExtraWindow::spare_fraction`]). First attempts are free,
//! and so are reroutes, for which nothing was sent before ([`is_paid`]).
//!
//! The inputs are the limit for all nodes together, from the settings: a number of extra sends for each request, plus a
//! fixed number of extra sends (the slack) in every sliding window of a given length; this node's own requests and
//! extra sends for a service, counted in steps of a twentieth of the window; and the fraction of the slack that belongs
//! to this node (0 to 1, from the number of live nodes).
//!
//! The rule protects back ends from amplified load while they are slow. Each node spends a fraction of its own requests
//! and its share of the slack, so that the sum stays below the limit whichever nodes are cut off from each other. It
//! makes some answers late, but hardly any request fails because of it: on a day with slow searchers, 2,277 hedges and
//! 266 retries are refused, nearly all within nine seconds, and of seven requests that end as `back_ends_failed` one is
//! over budget (`docs/design/extra-sends.md`).
//!
//! The rule doesn't know what other nodes spend, so most of their budget may be unused; which retry matters most, so
//! they are served in order of arrival (a reserve for retries lowers the mean score of a day's requests, 0 to 1, by
//! 0.003; `docs/studies/scores.md` defines scores); or what the previous process on this machine spent.
//!
//! The log shows the rule as `unsent reason=… cause=over_budget`; the metrics are `attempts_over_budget_total`,
//! `attempts_hedge_total` and `attempts_retry_total`. The limit is guaranteed to back ends and can't be turned off. The
//! setting `routing.hedge_by_budget` only decides whether the delay of hedges depends on the budget that is left.

use crate::state::request::SendReason;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of steps that a window is divided into, so that a service needs only a few counters. Counts are dropped one
/// step at a time, once the whole step has left the window, so the sum covers the window and up to a twentieth more.
const STEPS_PER_WINDOW: u64 = 20;

/// Fraction of the allowed ratio that is used. The rest covers requests whose extra sends another node counts in a
/// different window.
const USABLE_RATIO_FRACTION: f64 = 0.85;

/// Fraction of the slack that is used. A process that starts doesn't know what the previous one spent, so up to twice
/// as much may be spent in one window: any fraction above 0.5 exceeds the limit when all nodes are restarted at once.
/// With 0.7, the mean score of a day's requests is higher by 0.001, which is within its variation between random seeds
/// (`docs/design/extra-sends.md`).
const USABLE_SLACK_FRACTION: f64 = 0.4;

/// Returns whether an attempt made for this reason is paid from the budget.
pub fn is_paid(reason: SendReason) -> bool {
    match reason {
        SendReason::Hedge | SendReason::Retry => true,
        SendReason::First | SendReason::Reroute => false,
    }
}

/// Limit on extra sends for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtraBound {
    /// Extra sends allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Additional extra sends allowed in each window.
    pub slack: f64,
}

/// Counts of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    extras: u32,
}

/// Requests and extra sends of one service in the current window.
#[derive(Debug, Default)]
pub struct ExtraWindow {
    steps: VecDeque<Step>,
}

impl ExtraWindow {
    /// Counts one request.
    pub fn count_request(&mut self, now: BootTime, bound: &ExtraBound) {
        self.current_step(now, bound).requests += 1;
    }

    /// Spends one extra send if the budget permits it, and returns whether it does. `slack_share` is this node's
    /// fraction of the slack, 0 to 1.
    pub fn try_spend(&mut self, now: BootTime, bound: &ExtraBound, slack_share: f64) -> bool {
        self.current_step(now, bound);
        if self.spare(bound, slack_share) < 1.0 {
            return false;
        }
        self.current_step(now, bound).extras += 1;
        true
    }

    /// Returns the unspent fraction of the current window's budget, 0 to 1.
    pub fn spare_fraction(&mut self, now: BootTime, bound: &ExtraBound, slack_share: f64) -> f64 {
        self.current_step(now, bound);
        let spare = self.spare(bound, slack_share);
        let allowed = self.allowed(bound, slack_share);
        if allowed > 0.0 { (spare / allowed).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Returns the number of extra sends that the budget will permit until a time if requests continue to arrive at
    /// their current rate.
    pub fn permitted_until(&mut self, now: BootTime, until: BootTime, bound: &ExtraBound, slack_share: f64) -> usize {
        let present = self.current_step(now, bound).number;
        let last = step_number(until, bound).max(present);
        let first = self.steps.front().map_or(present, |step| step.number);
        let seen = present + 1 - first;
        let growth = (seen + last - present).min(STEPS_PER_WINDOW).max(seen) as f64 / seen as f64;
        let remaining = self.steps.iter().filter(|step| step.number + STEPS_PER_WINDOW >= last);
        let extras: u32 = remaining.map(|step| step.extras).sum();
        let allowed =
            f64::from(self.requests()) * growth * bound.ratio * USABLE_RATIO_FRACTION + own_slack(bound, slack_share);
        (allowed - f64::from(extras)).max(0.0) as usize
    }

    /// Returns the number of extra sends that the budget permits now. It is negative if more were sent than are allowed
    /// by now.
    fn spare(&self, bound: &ExtraBound, slack_share: f64) -> f64 {
        let extras: u32 = self.steps.iter().map(|step| step.extras).sum();
        self.allowed(bound, slack_share) - f64::from(extras)
    }

    /// Returns the number of extra sends that the requests in the window and the slack allow.
    fn allowed(&self, bound: &ExtraBound, slack_share: f64) -> f64 {
        f64::from(self.requests()) * bound.ratio * USABLE_RATIO_FRACTION + own_slack(bound, slack_share)
    }

    fn requests(&self) -> u32 {
        self.steps.iter().map(|step| step.requests).sum()
    }

    /// Returns the current step, and drops the steps that have left the window.
    fn current_step(&mut self, now: BootTime, bound: &ExtraBound) -> &mut Step {
        let number = step_number(now, bound);
        while self.steps.front().is_some_and(|step| step.number + STEPS_PER_WINDOW < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// Returns the part of the slack that this node may spend.
fn own_slack(bound: &ExtraBound, slack_share: f64) -> f64 {
    bound.slack * USABLE_SLACK_FRACTION * slack_share
}

/// Returns the number of the step that contains a time.
fn step_number(time: BootTime, bound: &ExtraBound) -> u64 {
    let step_length = (bound.window.as_micros() as u64 / STEPS_PER_WINDOW).max(1);
    time.0 / step_length
}
