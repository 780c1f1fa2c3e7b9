//! The rules that no history may break, checked against the ledger. They don't depend on how the engine decides.

use super::{Fate, NORTHERN, SLACK, Sending, World, tight_settings};
use proptest::prelude::*;
use staircross_routing::{AttemptKey, RequestKey, Verdict};
use staircross_types::{BootTime, ErrorKind, errors::Executed};
use std::collections::BTreeSet;
use std::time::Duration;

impl World {
    pub(super) fn judge(&mut self) -> Result<(), TestCaseError> {
        while self.judged_sends < self.driver.sends.len() {
            let order = self.driver.sends[self.judged_sends].clone();
            let at = self.driver.sent_at[self.judged_sends];
            self.judged_sends += 1;
            self.judge_send(&order, at)?;
        }
        while self.judged_ends < self.driver.finished.len() {
            let (key, verdict) = self.driver.finished[self.judged_ends].clone();
            self.judged_ends += 1;
            self.judge_end(key, &verdict)?;
        }
        Ok(())
    }

    /// Returns the service of a searcher whose entry was removed less than `lapse_grace` ago, which may still be asked.
    fn service_of_lapsed(&self, instance: &str, at: BootTime) -> Option<String> {
        let (service, since) = self.lapsed.get(instance)?;
        (at < *since + tight_settings().lapse_grace).then(|| service.clone())
    }

    fn judge_send(&mut self, order: &staircross_routing::engine::SendOrder, at: BootTime) -> Result<(), TestCaseError> {
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
        let asked = &self.requests[&key];
        prop_assert!(asked.route != NORTHERN || zone != "c", "sent to a region that its route doesn't allow");
        prop_assert!(!asked.caller_left, "sent for a caller that has left");
        prop_assert!(
            order.deadline <= asked.arrived + Duration::from_millis(4000),
            "the attempt's deadline is later than the request's"
        );
        let before: Vec<&Sending> = self
            .sendings
            .iter()
            .filter(|sending| sending.attempt.request == key && sending.service == service)
            .collect();
        let is_once = asked.route == 2;
        let all_turned_away = before.iter().all(|sending| sending.fate == Fate::NotRun);
        prop_assert!(
            !is_once || all_turned_away,
            "a request that may run only once was sent again after it may have run"
        );
        let has_had_it = |sending: &&Sending| sending.arrived || sending.fate == Fate::Open;
        let reached = before.iter().copied().filter(has_had_it).count();
        let searchers: BTreeSet<&str> =
            before.iter().copied().filter(has_had_it).map(|sending| sending.instance.as_str()).collect();
        prop_assert!(
            searchers.len() < 2 || searchers.contains(instance.as_str()),
            "sent to more searchers than allowed"
        );
        let may_have_run = |sending: &&&Sending| sending.fate != Fate::NotRun && sending.instance == instance;
        prop_assert!(before.iter().find(may_have_run).is_none(), "sent again to a searcher that may have run it");
        // A send to a service that may have received the request already is extra, whatever reason the engine gives.
        if reached > 0 {
            self.extras.push((self.driver.now, order.attempt));
        }
        let (attempt, fate) = (order.attempt, Fate::Open);
        self.sendings.push(Sending { attempt, instance, service: service.clone(), fate, arrived: false });
        self.judge_budget(&service)
    }

    fn judge_budget(&self, service: &str) -> Result<(), TestCaseError> {
        let since = self.driver.now - Duration::from_secs(10);
        // An attempt whose connection wasn't established reached no searcher and doesn't count.
        let has_come = |attempt: &AttemptKey| {
            let mut matching = self.sendings.iter().filter(|sending| sending.attempt == *attempt);
            matching.any(|sending| sending.service == service && (sending.arrived || sending.fate == Fate::Open))
        };
        let extras = self.extras.iter().filter(|(at, attempt)| *at >= since && has_come(attempt)).count() as f64;
        // The rule may also count requests from shortly before the window, so the ledger looks back one second more.
        let from = since - Duration::from_secs(1);
        let requests = self.arrivals.iter().filter(|(at, of)| *at >= from && of == service).count() as f64;
        prop_assert!(extras <= requests * 0.2 + SLACK, "{extras} extra sends for {requests} requests");
        Ok(())
    }

    fn judge_end(&self, key: RequestKey, verdict: &Verdict) -> Result<(), TestCaseError> {
        let times = self.driver.finished.iter().filter(|(other, _)| *other == key).count();
        prop_assert_eq!(times, 1, "the request has more than one verdict");
        let sent: Vec<&Sending> = self.sendings.iter().filter(|sending| sending.attempt.request == key).collect();
        match verdict {
            Verdict::Refused { kind, .. } => {
                let is_promise = kind.executed() == Executed::Never;
                let ran_nowhere = sent.iter().all(|sending| sending.fate == Fate::NotRun);
                prop_assert!(!is_promise || ran_nowhere, "{} promises that nothing ran: {:?}", kind, sent);
                prop_assert!(*kind != ErrorKind::Internal);
            }
            Verdict::Passed(passed) => {
                let is_own = sent.iter().any(|sending| {
                    let stamp = format!("{}-{}", sending.attempt.request.0, sending.attempt.number);
                    passed.stamp.as_deref() == Some(stamp.as_bytes()) && sending.fate == Fate::MayHaveRun
                });
                prop_assert!(is_own, "the answer belongs to another request");
            }
            Verdict::Merged(merged) => self.judge_merged(key, merged)?,
        }
        Ok(())
    }

    fn judge_merged(&self, key: RequestKey, merged: &staircross_routing::MergedAnswer) -> Result<(), TestCaseError> {
        let given = self.parts.get(&key).cloned().unwrap_or_default();
        let mut services = BTreeSet::new();
        let mut all: Vec<[u8; 16]> = Vec::new();
        for stamp in &merged.stamps {
            let part = given.iter().find(|(known, _, _)| known.as_bytes() == stamp.as_slice());
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
        self.driver.pass(Duration::from_secs(20));
        self.judge()?;
        for (key, asked) in &self.requests {
            let ended = self.driver.finished.iter().any(|(other, _)| other == key);
            prop_assert!(ended != asked.caller_left, "request {key:?} of {asked:?}: ended {ended}");
        }
        prop_assert_eq!(self.driver.engine.in_flight(), 0);
        Ok(())
    }
}
