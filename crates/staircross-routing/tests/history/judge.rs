//! The rules that no history may break, checked against the ledger. They don't depend on how the engine decides.

use super::{AttemptState, NORTHERN_ROUTE, SLACK, SentAttempt, World, settings_with_little_slack};
use proptest::prelude::*;
use staircross_routing::{AttemptKey, RequestKey, RequestOutcome};
use staircross_types::{BootTime, ErrorKind, errors::Executed};
use std::collections::BTreeSet;
use std::time::Duration;

impl World {
    /// Checks the sends and outcomes since the last call.
    pub(super) fn check_new_actions(&mut self) -> Result<(), TestCaseError> {
        while self.checked_sends < self.driver.sends.len() {
            let order = self.driver.sends[self.checked_sends].clone();
            let at = self.driver.sent_at[self.checked_sends];
            self.checked_sends += 1;
            self.check_send(&order, at)?;
        }
        while self.checked_ends < self.driver.finished.len() {
            let (key, outcome) = self.driver.finished[self.checked_ends].clone();
            self.checked_ends += 1;
            self.check_outcome(key, &outcome)?;
        }
        Ok(())
    }

    /// Returns the service of a searcher whose entry was removed less than `lapse_grace` ago, which may still be asked.
    fn service_of_lapsed(&self, instance: &str, at: BootTime) -> Option<String> {
        let (service, since) = self.lapsed.get(instance)?;
        (at < *since + settings_with_little_slack().lapse_grace).then(|| service.clone())
    }

    fn check_send(&mut self, order: &staircross_routing::engine::SendOrder, at: BootTime) -> Result<(), TestCaseError> {
        let key = order.attempt.request;
        let instance = order.instance.to_string();
        let service = self.serving.get(&instance).cloned().or_else(|| self.service_of_lapsed(&instance, at));
        prop_assert!(
            service.is_some(),
            "sent to {instance}, which is draining, or whose entry was removed too long ago"
        );
        let service = service.unwrap_or_default();
        prop_assert!(self.shards_of(key).contains(&service), "sent to a service that its configuration doesn't name");
        let zone = self.zones[&instance];
        prop_assert!(self.evacuated != Some(zone), "sent to zone {zone}, which is being evacuated");
        let record = &self.requests[&key];
        prop_assert!(record.route != NORTHERN_ROUTE || zone != "c", "sent to a region that its route doesn't allow");
        prop_assert!(!record.caller_left, "sent for a caller that has left");
        prop_assert!(
            order.deadline <= record.arrived + Duration::from_millis(4000),
            "the attempt's deadline is later than the request's"
        );
        let before: Vec<&SentAttempt> = self
            .sent_attempts
            .iter()
            .filter(|sent_attempt| sent_attempt.attempt.request == key && sent_attempt.service == service)
            .collect();
        let may_run_only_once = record.route == 2;
        let none_has_run = before.iter().all(|sent_attempt| sent_attempt.state == AttemptState::NotRun);
        prop_assert!(
            !may_run_only_once || none_has_run,
            "a request that may run only once was sent again after it may have run"
        );
        let may_have_received =
            |sent_attempt: &&SentAttempt| sent_attempt.is_received || sent_attempt.state == AttemptState::Open;
        let received_count = before.iter().copied().filter(may_have_received).count();
        let searchers: BTreeSet<&str> = before
            .iter()
            .copied()
            .filter(may_have_received)
            .map(|sent_attempt| sent_attempt.instance.as_str())
            .collect();
        prop_assert!(
            searchers.len() < 2 || searchers.contains(instance.as_str()),
            "sent to more searchers than allowed"
        );
        let may_have_run = |sent_attempt: &&&SentAttempt| {
            sent_attempt.state != AttemptState::NotRun && sent_attempt.instance == instance
        };
        prop_assert!(before.iter().find(may_have_run).is_none(), "sent again to a searcher that may have run it");
        // A send to a service that may have received the request already is extra, whatever reason the engine gives.
        if received_count > 0 {
            self.extra_sends.push((self.driver.now, order.attempt));
        }
        let (attempt, state) = (order.attempt, AttemptState::Open);
        self.sent_attempts.push(SentAttempt { attempt, instance, service: service.clone(), state, is_received: false });
        self.check_budget(&service)
    }

    /// Checks that the extra sends to a service in the last ten seconds are within the budget.
    fn check_budget(&self, service: &str) -> Result<(), TestCaseError> {
        let since = self.driver.now - Duration::from_secs(10);
        // An attempt whose connection wasn't established reached no searcher and doesn't count.
        let has_reached_service = |attempt: &AttemptKey| {
            let mut matching = self.sent_attempts.iter().filter(|sent_attempt| sent_attempt.attempt == *attempt);
            matching.any(|sent_attempt| {
                sent_attempt.service == service
                    && (sent_attempt.is_received || sent_attempt.state == AttemptState::Open)
            })
        };
        let extra_sends =
            self.extra_sends.iter().filter(|(at, attempt)| *at >= since && has_reached_service(attempt)).count() as f64;
        // The rule may also count requests from shortly before the window, so the ledger looks back one second more.
        let from = since - Duration::from_secs(1);
        let requests = self.arrivals.iter().filter(|(at, of)| *at >= from && of == service).count() as f64;
        prop_assert!(extra_sends <= requests * 0.2 + SLACK, "{extra_sends} extra sends for {requests} requests");
        Ok(())
    }

    fn check_outcome(&self, key: RequestKey, outcome: &RequestOutcome) -> Result<(), TestCaseError> {
        let outcomes = self.driver.finished.iter().filter(|(other, _)| *other == key).count();
        prop_assert_eq!(outcomes, 1, "the request has more than one outcome");
        let sent: Vec<&SentAttempt> =
            self.sent_attempts.iter().filter(|sent_attempt| sent_attempt.attempt.request == key).collect();
        match outcome {
            RequestOutcome::Refused { kind, .. } => {
                let promises_not_run = kind.executed() == Executed::Never;
                let ran_nowhere = sent.iter().all(|sent_attempt| sent_attempt.state == AttemptState::NotRun);
                prop_assert!(!promises_not_run || ran_nowhere, "{} promises that nothing ran: {:?}", kind, sent);
                prop_assert!(*kind != ErrorKind::Internal);
            }
            RequestOutcome::Passed(passed) => {
                let is_own_answer = sent.iter().any(|sent_attempt| {
                    let stamp = format!("{}-{}", sent_attempt.attempt.request.0, sent_attempt.attempt.number);
                    passed.stamp.as_deref() == Some(stamp.as_bytes()) && sent_attempt.state == AttemptState::MayHaveRun
                });
                prop_assert!(is_own_answer, "the answer belongs to another request");
            }
            RequestOutcome::Merged(merged) => self.check_merged(key, merged)?,
        }
        Ok(())
    }

    fn check_merged(&self, key: RequestKey, merged: &staircross_routing::MergedAnswer) -> Result<(), TestCaseError> {
        let sent_parts = self.parts.get(&key).cloned().unwrap_or_default();
        let mut services = BTreeSet::new();
        let mut all: Vec<[u8; 16]> = Vec::new();
        for stamp in &merged.stamps {
            let part = sent_parts.iter().find(|(known, _, _)| known.as_bytes() == stamp.as_slice());
            prop_assert!(part.is_some(), "no part with this stamp was sent for this request");
            let (_, service, body) = part.cloned().unwrap_or_default();
            prop_assert!(services.insert(service), "the answer has two parts of one shard");
            all.extend(body.chunks_exact(16).map(|record| <[u8; 16]>::try_from(record).unwrap_or_default()));
        }
        let shards: BTreeSet<String> = self.shards_of(key).into_iter().collect();
        prop_assert!(
            services.is_subset(&shards),
            "the answer has a part of a shard that isn't in the request's configuration"
        );
        prop_assert_eq!(services.len() + merged.missing, shards.len(), "the number of missing shards is wrong");
        prop_assert!(
            services.len() as f64 >= 0.6 * shards.len() as f64 - 1e-9,
            "the answer has less than the minimum coverage"
        );
        all.sort_unstable_by(|left, right| right.cmp(left));
        all.truncate(2);
        prop_assert_eq!(merged.body.clone(), all.concat(), "the body isn't the greatest records of the stamped parts");
        Ok(())
    }

    /// Advances the clock until all requests must have ended. Checks that each has one result, unless its caller left,
    /// and that none is in flight.
    pub(super) fn finish(&mut self) -> Result<(), TestCaseError> {
        self.driver.advance(Duration::from_secs(20));
        self.check_new_actions()?;
        for (key, record) in &self.requests {
            let ended = self.driver.finished.iter().any(|(other, _)| other == key);
            prop_assert!(ended != record.caller_left, "request {key:?} of {record:?}: ended {ended}");
        }
        prop_assert_eq!(self.driver.engine.in_flight(), 0);
        Ok(())
    }
}
