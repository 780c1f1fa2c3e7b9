//! Admission: the checks between a caller's submission and the first plan.

use super::{RootAction, RootEngine};
use crate::message::{Outcome, Refusal, Work};
use crate::request::{Request, ShardProgressTable};
use crate::session::TicketRefusal;
use crate::snapshot_choice::{Candidate, SnapshotNeeds, choose_for_request};
use staircross_types::{BootTime, ErrorKind, RequestId, ServiceName, SessionToken, Snapshot, Ticket};
use std::time::Duration;

/// One request of a caller, as submitted to the root.
#[derive(Clone, Debug)]
pub struct Submission {
    /// New id, minted by this node.
    pub request: RequestId,
    /// The caller's session.
    pub session: SessionToken,
    /// The service that the request is for.
    pub service: ServiceName,
    /// The search or action.
    pub work: Work,
    /// Longest time that the caller waits. The shorter of this and the service's bound applies.
    pub wait: Option<Duration>,
    /// The caller's least coverage, in shards per thousand. The higher of this and the service's applies.
    pub least_coverage_per_mille: Option<u32>,
    /// For a page of a pull after the first, the snapshot that all pages of the pull come from.
    pub pinned: Option<Snapshot>,
    /// The ticket of an action.
    pub ticket: Option<Ticket>,
}

/// The ticket of a finished action whose receipt may still arrive.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAction {
    pub session: SessionToken,
    pub ticket: Ticket,
    pub expires_at: BootTime,
}

impl RootEngine {
    /// Admits a request, or finishes it at once with a refusal or its ticket's recorded outcome.
    pub(super) fn submit(&mut self, now: BootTime, submission: Submission, actions: &mut Vec<RootAction>) {
        let request = submission.request;
        if let Err(outcome) = self.admit(now, submission, actions) {
            actions.push(RootAction::Finish { request, outcome });
        }
    }

    /// Checks a submission, stores its request and sends the first plan.
    fn admit(&mut self, now: BootTime, submission: Submission, actions: &mut Vec<RootAction>) -> Result<(), Outcome> {
        let name = submission.service.clone();
        let Some(session) = self.sessions.touch(now, submission.session) else {
            return Err(refused(ErrorKind::UnknownSession, "no session has this token"));
        };
        let floor = session.floors.get(&name).copied();
        self.refresh_service(&name);
        let Some(service) = self.services.get_mut(&name) else {
            return Err(refused(ErrorKind::UnknownService, format!("no service is named {name}")));
        };
        let policy = service.definition.policy.clone();
        check_work_kind(&submission, policy.repeatable)?;
        let least = submission.least_coverage_per_mille.unwrap_or(0).max(policy.least_coverage_per_mille);
        let needs = SnapshotNeeds { floor, least_coverage_per_mille: least, excluded: &[] };
        let candidate = choose_candidate(&service.candidates, service.current, needs, submission.pinned)?;
        let map = candidate.map.clone();
        self.use_ticket(now, &submission)?;

        let shards = ShardProgressTable::new(&map, submission.work.page_start());
        let wait = submission.wait.map_or(policy.wait(), |wait| wait.min(policy.wait()));
        let mut request = Request {
            session: submission.session,
            service: name.clone(),
            work: submission.work,
            ticket: submission.ticket,
            shards,
            map,
            attempts: Vec::new(),
            admitted_at: now,
            deadline: now + wait,
            least_coverage_per_mille: least,
            priority: policy.priority,
            floor,
            excluded: Vec::new(),
            hits: Vec::new(),
            matched: 0,
            needed: 0,
            was_shed: false,
            planned: false,
            may_have_run: false,
            first_attempt_of_plan: 1,
        };
        if request.ticket.is_some() {
            self.limit_to_target_shard(&mut request);
        }
        let admitted = self.services.get_mut(&name).is_some_and(|service| service.limiter.try_admit());
        if !admitted {
            let outcome = refused(ErrorKind::Overloaded, format!("service {name} has no room for another request"));
            self.record_ticket_outcome(now, &request, &outcome);
            return Err(outcome);
        }
        self.requests.insert(submission.request.sequence, request);
        self.plan(now, submission.request.sequence, actions);
        Ok(())
    }

    /// Marks the ticket of an action as running, or returns the outcome that the ticket prescribes.
    fn use_ticket(&mut self, now: BootTime, submission: &Submission) -> Result<(), Outcome> {
        let Some(ticket) = submission.ticket else {
            return Ok(());
        };
        let node = self.node;
        let Some(session) = self.sessions.touch(now, submission.session) else {
            return Err(refused(ErrorKind::UnknownSession, "no session has this token"));
        };
        session.use_ticket(ticket, node).map_err(|refusal| match refusal {
            TicketRefusal::Ended(outcome) => *outcome,
            TicketRefusal::Running => {
                refused(ErrorKind::OutcomeUnknown, "the ticket's request is in flight; it was not sent again")
            }
            TicketRefusal::MintedElsewhere => {
                refused(ErrorKind::OutcomeUnknown, "the node that minted the ticket is gone; it was not sent again")
            }
            TicketRefusal::Unknown => refused(ErrorKind::BadTicket, "the ticket isn't of this session"),
        })
    }

    /// Limits an action to the one shard that holds its target. The other shards count as included.
    fn limit_to_target_shard(&mut self, request: &mut Request) {
        let Work::Act(command) = &request.work else {
            return;
        };
        let target = staircross_types::query::shard_of(&command.target, request.map.shards.len());
        for (position, placement) in request.map.shards.iter().enumerate() {
            if placement.shard != target {
                request.shards.include(position as u32);
            }
        }
    }

    /// Records the outcome of an action with its ticket.
    pub(super) fn record_ticket_outcome(&mut self, now: BootTime, request: &Request, outcome: &Outcome) {
        if let Some(ticket) = request.ticket {
            self.sessions.end_ticket(now, request.session, ticket, outcome);
        }
    }
}

/// Checks that an action has a ticket and that the service takes this kind of work.
fn check_work_kind(submission: &Submission, repeatable: bool) -> Result<(), Outcome> {
    let is_action = matches!(submission.work, Work::Act(_));
    if is_action && submission.ticket.is_none() {
        return Err(refused(ErrorKind::NotRepeatable, "an action needs a ticket"));
    }
    if is_action == repeatable {
        let taken = if repeatable { "searches" } else { "actions" };
        return Err(refused(ErrorKind::NotRepeatable, format!("the service takes {taken} only")));
    }
    Ok(())
}

/// Chooses the snapshot of a request: the pinned one if there is one, otherwise by the request's needs.
fn choose_candidate<'a>(
    candidates: &'a [Candidate],
    current: Option<Snapshot>,
    needs: SnapshotNeeds<'_>,
    pinned: Option<Snapshot>,
) -> Result<&'a Candidate, Outcome> {
    if let Some(pinned) = pinned {
        let found = candidates.iter().find(|candidate| candidate.map.snapshot == pinned && candidate.covered > 0);
        return found.ok_or_else(|| {
            refused(ErrorKind::PullInterrupted, format!("snapshot {pinned} is no longer served; start the pull anew"))
        });
    }
    choose_for_request(candidates, current, needs)
        .ok_or_else(|| refused(ErrorKind::NoSnapshot, "no snapshot at or above the session's floor has a live replica"))
}

/// Builds the outcome of a refused request.
pub(super) fn refused(kind: ErrorKind, detail: impl Into<String>) -> Outcome {
    Outcome::Refusal(Refusal::new(kind, detail))
}
