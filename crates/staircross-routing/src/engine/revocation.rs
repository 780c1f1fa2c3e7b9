//! Requests in flight whose key a newer configuration holds no more.
//!
//! A table changes in one place only, so requests are judged anew there rather than before each send. What is running may finish, and
//! its answer is delivered; what hasn't been sent isn't. A request of which nothing has run is refused at once.

use super::{RoutingAction, RoutingEngine, SendReason, UnsentCause};
use crate::configuration::tenants::KeyRefusal;
use crate::keys::{AttemptKey, RequestKey};
use crate::state::request::{Request, ShardState};
use staircross_types::BootTime;

impl RoutingEngine {
    /// Judges the requests of tenants by the configuration that has just come into force.
    pub(super) fn end_revoked(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let is_concerned = |request: &Request| {
            request.tenant.is_some() && !request.is_key_revoked && !table.accepts(request.credential)
        };
        let concerned = self.requests.iter().filter(|(_, request)| is_concerned(request));
        let mut keys: Vec<RequestKey> = concerned.map(|(key, _)| *key).collect();
        // The order of a hash map must not decide what is done first.
        keys.sort_unstable();
        for key in keys {
            self.revoke(key, actions);
            self.settle(now, key, actions);
            self.schedule(key);
        }
    }

    /// Ends the waiting of a request's shards, and takes back what hasn't been sent yet.
    fn revoke(&mut self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.is_key_revoked = true;
        actions.push(RoutingAction::KeyRefused { request: key, cause: KeyRefusal::Revoked });
        for shard in request.shards.iter_mut().filter(|shard| shard.is_open() && shard.outstanding == 0) {
            shard.waiting = None;
            shard.state = ShardState::Failed(None);
        }
        let open = (0_u16..).zip(&request.attempts).filter(|(_, attempt)| attempt.is_open);
        for (number, _) in open {
            actions.push(RoutingAction::Recall { attempt: AttemptKey { request: key, number } });
        }
    }

    /// Says that a send isn't made because the request's key is gone.
    pub(super) fn note_unsent_revoked(
        key: RequestKey,
        request: &Request,
        shard_index: usize,
        reason: SendReason,
        actions: &mut Vec<RoutingAction>,
    ) -> UnsentCause {
        let (service, cause) = (request.shards[shard_index].service.clone(), UnsentCause::KeyRevoked);
        actions.push(RoutingAction::Unsent { request: key, service, reason, cause });
        cause
    }
}
