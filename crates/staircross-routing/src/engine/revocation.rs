//! Handles the requests in flight whose API key is missing from a newer configuration (revocation).
//!
//! The configuration changes in one place only, so requests are checked again there rather than before each send.
//! Attempts that are running may finish, and their answers are delivered. Nothing more is sent. A request of which
//! nothing has run is refused at once.

use super::{RoutingAction, RoutingEngine, SendReason, UnsentCause};
use crate::configuration::tenants::KeyRefusal;
use crate::keys::{AttemptKey, RequestKey};
use crate::state::request::{Request, ShardState};
use staircross_types::BootTime;

impl RoutingEngine {
    /// Revokes the requests of tenants whose key the new configuration doesn't hold.
    pub(super) fn revoke_requests(&mut self, now: BootTime, actions: &mut Vec<RoutingAction>) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let is_affected = |request: &Request| {
            request.tenant.is_some() && !request.is_key_revoked && !table.accepts(request.credential)
        };
        let affected = self.requests.iter().filter(|(_, request)| is_affected(request));
        let mut keys: Vec<RequestKey> = affected.map(|(key, _)| *key).collect();
        // The result must not depend on the order of the hash map.
        keys.sort_unstable();
        for key in keys {
            self.revoke_request(key, actions);
            self.finish_if_done(now, key, actions);
            self.schedule_wake(key);
        }
    }

    /// Marks a request as revoked, gives up its waiting shards and recalls the attempts that aren't sent yet.
    fn revoke_request(&mut self, key: RequestKey, actions: &mut Vec<RoutingAction>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.is_key_revoked = true;
        actions.push(RoutingAction::KeyRefused { request: key, cause: KeyRefusal::Revoked });
        for shard in request.shards.iter_mut().filter(|shard| shard.is_open() && shard.open_attempts == 0) {
            shard.waiting = None;
            shard.state = ShardState::Failed(None);
        }
        let open = (0_u16..).zip(&request.attempts).filter(|(_, attempt)| attempt.is_open);
        for (number, _) in open {
            actions.push(RoutingAction::Recall { attempt: AttemptKey { request: key, number } });
        }
    }

    /// Logs that an attempt isn't sent because the request's key was revoked.
    pub(super) fn log_unsent_revoked(
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
