//! Collects the evidence that searchers are leaving, and says when the store's entries are to be read again because of it.
//!
//! [`crate::decision::departure`] holds the rule; this module passes it the answers of searchers that count as serving.

use super::{RoutingAction, RoutingEngine, SentAttempt};
use crate::keys::SearcherKey;
use crate::state::request::AttemptOutcome;
use crate::state::searcher::Searcher;
use staircross_types::BootTime;
use std::time::Duration;

/// Minimum time between two checks of the entries, each of which costs a listing. One check covers all searchers.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Status from which on an answer is an error of the searcher. A server may close after one for another reason than that
/// it leaves.
const FIRST_ERROR_STATUS: u16 = 500;

/// The searchers whose answers say that they are leaving, and the time of the next check.
#[derive(Debug, Default)]
pub(super) struct EntryChecks {
    closing: Vec<SearcherKey>,
    not_before: BootTime,
}

impl RoutingEngine {
    /// Updates the evidence that a searcher is leaving.
    pub(super) fn update_departure(
        &mut self,
        now: BootTime,
        sent: &SentAttempt,
        outcome: &AttemptOutcome,
        actions: &mut Vec<RoutingAction>,
    ) {
        let AttemptOutcome::Answered(answer) = outcome else {
            return;
        };
        let searcher = &mut self.searchers[sent.searcher.0 as usize];
        if !searcher.is_serving() || answer.status >= FIRST_ERROR_STATUS {
            return;
        }
        if searcher.departure_mut().note_answer(now, sent.begun_at, answer.report.closes) {
            self.counters.closing_searchers += 1;
            self.entry_checks.closing.push(sent.searcher);
            let (instance, service) = (searcher.entry.instance.clone(), searcher.entry.service.clone());
            actions.push(RoutingAction::SearcherClosing { instance, service });
        }
    }

    /// Returns whether the searchers' entries are to be read from the store again, because the answers of a searcher that
    /// counts as serving say that it is leaving. Returns `true` once for the searchers that are known to close then.
    pub fn take_due_entry_check(&mut self, now: BootTime) -> bool {
        let EntryChecks { closing, not_before } = &mut self.entry_checks;
        let searchers = &mut self.searchers;
        let check_due_at = |searcher: &Searcher| searcher.departure().check_due_at().filter(|_| searcher.is_serving());
        closing.retain(|key| check_due_at(&searchers[key.0 as usize]).is_some());
        let is_due = |key: &SearcherKey| check_due_at(&searchers[key.0 as usize]).is_some_and(|due| due <= now);
        if now < *not_before || !closing.iter().any(is_due) {
            return false;
        }
        for key in closing.drain(..) {
            searchers[key.0 as usize].departure_mut().note_checked();
        }
        *not_before = now + MIN_CHECK_INTERVAL;
        true
    }
}
