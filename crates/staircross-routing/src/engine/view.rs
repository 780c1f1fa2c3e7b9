//! Handles requests while what this node knows of the store is too old, as [`crate::decision::outdated_view`] decides.
//!
//! New requests are held ([`super::arrival`]). Requests in flight go on with the attempts that were sent; those that
//! weren't are taken back, and shards that should be sent wait.

use super::waiting::PostponedSend;
use super::{RoutingAction, RoutingEngine, SendReason, UnsentCause, WaitingShard};
use crate::keys::{AttemptKey, RequestKey};
use crate::state::request::{AttemptOutcome, NotRun};
use staircross_types::BootTime;

impl RoutingEngine {
    /// Sets whether the view is too old. Once it is current, everything that waited for it is sent.
    pub(super) fn set_view_outdated(&mut self, now: BootTime, is_outdated: bool, actions: &mut Vec<RoutingAction>) {
        self.is_view_outdated = is_outdated;
        if is_outdated {
            return self.recall_unsent_attempts(actions);
        }
        self.send_postponed_shards(now, actions);
        self.start_held(now, actions);
    }

    /// Sends the shards that wait, each by itself: one that can't be sent now doesn't block those behind it, which may have
    /// no other time at which they are tried again.
    fn send_postponed_shards(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        let services = self.services_with_waiting_shards();
        let queues = services.iter().filter_map(|service| self.waiting_shards.get(service));
        let waiting: Vec<WaitingShard> = queues.flatten().copied().collect();
        for shard in waiting {
            self.send_waiting_shard(now, shard.request, shard.shard as usize, actions);
        }
    }

    /// Takes back the attempts that still wait for a connection: their searchers were chosen by the outdated view.
    fn recall_unsent_attempts(&self, actions: &mut Vec<RoutingAction>) {
        let open_attempts = self.requests.iter().flat_map(|(key, request)| {
            let open = (0_u16..).zip(&request.attempts).filter(|(_, attempt)| attempt.is_open);
            open.map(|(number, _)| AttemptKey { request: *key, number })
        });
        let mut attempts: Vec<AttemptKey> = open_attempts.collect();
        // The result must not depend on the order of the hash map.
        attempts.sort_unstable();
        actions.extend(attempts.into_iter().map(|attempt| RoutingAction::Recall { attempt }));
    }

    /// Returns the outcome of an attempt that was taken back, which its shard is sent again for; other outcomes stay as
    /// they are. An attempt of a request whose key was revoked is taken back for good.
    pub(super) fn outcome_of_recalled(&self, request: RequestKey, outcome: AttemptOutcome) -> AttemptOutcome {
        let is_key_revoked = self.requests.get(&request).is_some_and(|request| request.is_key_revoked);
        match outcome {
            AttemptOutcome::Cancelled if self.is_view_outdated && !is_key_revoked => {
                AttemptOutcome::NotRun(NotRun::Stale)
            }
            other => other,
        }
    }

    /// Queues a shard until the view is current, unless the shard has an open attempt.
    pub(super) fn postpone_for_view(
        &mut self,
        now: BootTime,
        key: RequestKey,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> UnsentCause {
        let postponed = PostponedSend { reason, cause: UnsentCause::OutdatedView, retry_at: None };
        self.postpone_and_log(now, key, shard_index, postponed, actions)
    }
}
