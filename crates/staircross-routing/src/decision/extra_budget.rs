//! How much work beyond the strictly needed may be sent to one service.
//!
//! Decides for each hedge and each retry of this node whether it may be sent ([`ExtraWindow::try_spend`]), and for [`super::hedging`] how much is left
//! ([`ExtraWindow::spare_fraction`]). First attempts and reroutes (of which nothing was sent before) are free ([`is_paid`]).
//!
//! **Inputs.** The bound for all nodes together, from the settings: extra sends for each request, and a number of extra sends besides (the slack), in every
//! sliding window of a given length; this node's own requests and extra sends of a service, counted by steps of a twentieth of the window; the
//! fraction of the slack that is this node's (0 to 1, by the nodes that live).
//!
//! **What it protects.** Back ends, from callers' requests being multiplied while they are slow: each node spends a fraction of its own requests and
//! its share of the slack, so that the sum stays below the bound whichever nodes are cut off from each other. **What it costs.** Answers in time, hardly answers: on one
//! day with slow searchers 2,277 hedges and 266 retries were refused, nearly all within nine seconds, and of seven requests that ended as `back_ends_failed`
//! one was over budget (`docs/design/extra-sends.md`).
//!
//! **What it doesn't know.** What other nodes spend: most of their budget may lie unused. Which retry matters most: first come, first served (a reserve
//! for retries cost 0.003 of the mean worth of a day). What this machine's process before the present one spent.
//!
//! **At work.** Log: `unsent reason=… cause=over_budget`. Metrics: `attempts_over_budget_total`, `attempts_hedge_total`, `attempts_retry_total`.
//! **Switches of `[policy]`.** None: it keeps a promise to back ends. `routing.hedge_by_budget` decides only whether hedges go by what is left.

use crate::state::request::SendReason;
use serde::{Deserialize, Serialize};
use staircross_types::BootTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Steps that a window is cut into. What is counted is forgotten a step at a time, and only when the whole step has left the window, so the sum
/// covers the window and up to a twentieth more. For a few counters a service.
const STEPS: u64 = 20;

/// Fraction of the allowed ratio that is used; the rest is for what others see differently. For requests whose extra sends are counted in another
/// window elsewhere.
const RATIO_USED: f64 = 0.85;

/// Fraction of the slack that is used. A process that starts has no memory of what the one before it spent, so up to twice as much may be
/// spent in one window: anything above 0.5 breaks the bound when all nodes are restarted at once. Against 0.7, mean worth of a day: +0.001
/// for 0.7, within the differences between seeds (`docs/design/extra-sends.md`).
const SLACK_USED: f64 = 0.4;

/// Whether an attempt made for a reason is paid from the budget.
pub fn is_paid(reason: SendReason) -> bool {
    match reason {
        SendReason::Hedge | SendReason::Retry => true,
        SendReason::First | SendReason::Reroute => false,
    }
}

/// The bound for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExtraBound {
    /// Extra sends per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Extra sends per window besides.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    extras: u32,
}

/// Counts of one service in the current window.
#[derive(Debug, Default)]
pub struct ExtraWindow {
    steps: VecDeque<Step>,
}

impl ExtraWindow {
    /// Counts one request.
    pub fn count_request(&mut self, now: BootTime, bound: &ExtraBound) {
        self.current(now, bound).requests += 1;
    }

    /// Takes a token for one extra send, if there is any. `slack_share` of the slack is this node's, 0 to 1.
    pub fn try_spend(&mut self, now: BootTime, bound: &ExtraBound, slack_share: f64) -> bool {
        self.current(now, bound);
        if self.spare(bound, slack_share) < 1.0 {
            return false;
        }
        self.current(now, bound).extras += 1;
        true
    }

    /// Fraction of the present window's budget that isn't spent, 0 to 1.
    pub fn spare_fraction(&mut self, now: BootTime, bound: &ExtraBound, slack_share: f64) -> f64 {
        self.current(now, bound);
        let spare = self.spare(bound, slack_share);
        let allowed = self.allowed(bound, slack_share);
        if allowed > 0.0 { (spare / allowed).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Extra sends that the budget will permit until a time, if requests go on coming at their present rate.
    pub fn permitted_until(&mut self, now: BootTime, until: BootTime, bound: &ExtraBound, slack_share: f64) -> usize {
        let present = self.current(now, bound).number;
        let last = step_number(until, bound).max(present);
        let first = self.steps.front().map_or(present, |step| step.number);
        let seen = present + 1 - first;
        let growth = (seen + last - present).min(STEPS).max(seen) as f64 / seen as f64;
        let remaining = self.steps.iter().filter(|step| step.number + STEPS >= last);
        let extras: u32 = remaining.map(|step| step.extras).sum();
        let allowed = f64::from(self.requests()) * growth * bound.ratio * RATIO_USED + own_slack(bound, slack_share);
        (allowed - f64::from(extras)).max(0.0) as usize
    }

    /// Extra sends that the budget permits now; below 0 where more were sent than is allowed by now.
    fn spare(&self, bound: &ExtraBound, slack_share: f64) -> f64 {
        let extras: u32 = self.steps.iter().map(|step| step.extras).sum();
        self.allowed(bound, slack_share) - f64::from(extras)
    }

    /// Extra sends that the requests of the window allow.
    fn allowed(&self, bound: &ExtraBound, slack_share: f64) -> f64 {
        f64::from(self.requests()) * bound.ratio * RATIO_USED + own_slack(bound, slack_share)
    }

    fn requests(&self) -> u32 {
        self.steps.iter().map(|step| step.requests).sum()
    }

    /// The present step; steps that have left the window are dropped.
    fn current(&mut self, now: BootTime, bound: &ExtraBound) -> &mut Step {
        let number = step_number(now, bound);
        while self.steps.front().is_some_and(|step| step.number + STEPS < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

/// What a node may spend of the slack.
fn own_slack(bound: &ExtraBound, slack_share: f64) -> f64 {
    bound.slack * SLACK_USED * slack_share
}

/// Number of the step that a time lies in.
fn step_number(time: BootTime, bound: &ExtraBound) -> u64 {
    let step_length = (bound.window.as_micros() as u64 / STEPS).max(1);
    time.0 / step_length
}
