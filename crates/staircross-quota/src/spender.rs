//! A node's side of a tenant that another node owns: what it admits, what it reports, and whether the owner answers.

use crate::bound::Limits;
use crate::message::{Counts, QuotaGrant, QuotaReport, TenantHash};
use staircross_types::{BootTime, NodeId};
use std::time::Duration;

/// Time after which a report that wasn't answered is sent again. Longer than the round trip between regions.
const REPEAT: Duration = Duration::from_millis(100);
/// Longest time between two sendings of a report that isn't answered. Three doublings of [`REPEAT`].
const SLOW_REPEAT: Duration = Duration::from_millis(800);
/// Silence of the owner after which this node is on its own. Five sendings, so that a tenth of datagrams lost each way leaves a false alarm in some
/// thousand.
pub(crate) const PATIENCE: Duration = Duration::from_millis(500);
/// The same for a node that has admitted more than its share meanwhile. Three sendings.
pub(crate) const DOUBT: Duration = Duration::from_millis(300);
/// Time for which a fraction below 1 holds without being granted again. It is granted again each second, so three grants may be lost.
const GRANT_LIFE: Duration = Duration::from_millis(4000);
/// Time for which a tenant that was limited is taken to ask too much still, so that a node on its own gives it no credit.
const LIMITED_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a former owner may act as one still. Above the time until nodes agree on who is there, some 3 s.
const FORMER_LIFE: Duration = Duration::from_secs(4);

/// Who stands in for an owner that doesn't answer.
#[derive(Clone, Copy, Debug)]
struct Substitute {
    node: NodeId,
    pass: f64,
    pass_until: BootTime,
    confirmed: Counts,
    /// Whether it has answered a report of this node, and so counts this node as one of its own.
    has_answered: bool,
    /// When the oldest report to it that isn't answered was sent first.
    unanswered_since: Option<BootTime>,
}

impl Substitute {
    fn has_all(&self, counts: Counts) -> bool {
        self.has_answered && self.confirmed == counts
    }

    fn is_heard(&self, now: BootTime) -> bool {
        now < self.pass_until && self.unanswered_since.is_none_or(|since| now.since(since) < PATIENCE)
    }
}

/// What a node keeps of a tenant that another node owns.
#[derive(Debug)]
pub(crate) struct Spender {
    pub owner: NodeId,
    epoch: u32,
    counts: Counts,
    confirmed: Counts,
    /// When the oldest report that isn't answered was sent first.
    unanswered_since: Option<BootTime>,
    /// When to report next.
    due: Option<BootTime>,
    repeat: Duration,
    pass: f64,
    granted_at: u64,
    pass_until: BootTime,
    /// When the tenant was last known to be limited.
    limited_at: Option<BootTime>,
    /// Who spoke as owner before, and until when it may still think that it is.
    former: Option<(NodeId, BootTime)>,
    /// When the owner answered a report last.
    answered_at: Option<BootTime>,
    substitute: Option<Substitute>,
}

impl Spender {
    pub fn new(owner: NodeId, epoch: u32) -> Self {
        Spender {
            owner,
            epoch,
            counts: Counts::default(),
            confirmed: Counts::default(),
            unanswered_since: None,
            due: None,
            repeat: REPEAT,
            pass: 1.0,
            granted_at: 0,
            pass_until: BootTime(0),
            limited_at: None,
            former: None,
            answered_at: None,
            substitute: None,
        }
    }

    /// Another node owns the tenant now. What wasn't confirmed is reported to it; the part holds until it speaks.
    pub fn set_owner(&mut self, now: BootTime, owner: NodeId, epoch: u32) {
        let counts = self.counts.since(self.confirmed);
        let is_open = counts != Counts::default();
        let former = (self.granted_at > 0).then_some((self.owner, now + FORMER_LIFE));
        *self = Spender {
            counts,
            due: is_open.then_some(now),
            pass: self.pass,
            pass_until: self.pass_until,
            limited_at: self.limited_at,
            former: former.or(self.former),
            ..Spender::new(owner, epoch)
        };
    }

    /// Part of the requests to admit.
    pub fn pass(&self, now: BootTime) -> f64 {
        let granted = if now < self.pass_until { self.pass } else { 1.0 };
        self.heard_substitute(now).map_or(granted, |substitute| substitute.pass.min(granted))
    }

    /// The node that stands in for the owner, if it answers.
    pub fn substitute(&self, now: BootTime) -> Option<NodeId> {
        self.heard_substitute(now).map(|substitute| substitute.node)
    }

    fn heard_substitute(&self, now: BootTime) -> Option<&Substitute> {
        self.substitute.as_ref().filter(|substitute| substitute.is_heard(now))
    }

    /// Whether the owner has answered within a time.
    pub fn was_answered(&self, now: BootTime, time: Duration) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < time)
    }

    /// Requests that the owner hasn't confirmed.
    pub fn open(&self) -> Counts {
        self.counts.since(self.confirmed)
    }

    /// Whether the tenant was limited a moment ago.
    pub fn was_limited(&self, now: BootTime) -> bool {
        self.limited_at.is_some_and(|at| now.since(at) < LIMITED_MEMORY)
    }

    /// Whether the owner owes an answer for some time.
    pub fn is_silent(&self, now: BootTime, time: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now.since(since) >= time)
    }

    /// Counts a request, which is to be reported soon.
    pub fn count(&mut self, now: BootTime, is_admitted: bool, limits: &Limits) {
        self.counts.count(is_admitted);
        let is_limited = self.pass(now) < 1.0;
        let delay = if is_limited { limits.report_delay().min(REPEAT) } else { limits.report_delay() };
        self.due = Some(self.due.map_or(now + delay, |due| due.min(now + delay)));
    }

    /// Requests admitted that nobody has confirmed, and the part of the tenant's burst that they may make: less with each moment that an
    /// answer is owed.
    pub fn unconfirmed(&self, now: BootTime) -> Unconfirmed {
        let (confirmed, since) = match self.heard_substitute(now) {
            Some(substitute) => (substitute.confirmed, substitute.unanswered_since),
            None => (self.confirmed, self.unanswered_since),
        };
        let silence = since.map_or(Duration::ZERO, |since| now.since(since));
        let trust = 1.0 - silence.min(DOUBT).div_duration_f64(DOUBT);
        Unconfirmed { admitted: self.counts.since(confirmed).admitted, trust }
    }

    /// When to report next.
    pub fn due(&self) -> Option<BootTime> {
        self.due
    }

    /// The report that is due now, if one is.
    pub fn report(&mut self, now: BootTime, tenant: TenantHash) -> Option<DueReport> {
        if self.due.is_none_or(|due| due > now) {
            return None;
        }
        let counts = self.counts;
        // While another stands in for it, the owner is asked only by nodes that owe it something: all others would ask a dead one in vain.
        let asks_owner = self.heard_substitute(now).is_none() || counts != self.confirmed;
        if asks_owner {
            self.unanswered_since.get_or_insert(now);
        }
        let substitute = self.substitute.as_mut().filter(|substitute| !substitute.has_all(counts));
        let substitute = substitute.map(|substitute| {
            substitute.unanswered_since.get_or_insert(now);
            substitute.node
        });
        if !asks_owner && substitute.is_none() {
            self.due = None;
            return None;
        }
        self.repeat = if self.is_silent(now, PATIENCE) { (self.repeat * 2).min(SLOW_REPEAT) } else { REPEAT };
        self.due = Some(now + self.repeat);
        let former = self.former.filter(|(_, until)| *until > now).map(|(former, _)| former);
        let report = QuotaReport { tenant, epoch: self.epoch, counts, confirmed: self.confirmed, former };
        Some(DueReport { report, owner: asks_owner.then_some(self.owner), substitute })
    }

    /// Takes the owner's grant.
    pub fn take_grant(&mut self, now: BootTime, grant: &QuotaGrant) {
        if let Some(confirmation) = grant.confirmation.filter(|confirmation| confirmation.epoch == self.epoch) {
            self.confirmed.offered = self.confirmed.offered.max(confirmation.counts.offered.min(self.counts.offered));
            self.confirmed.admitted =
                self.confirmed.admitted.max(confirmation.counts.admitted.min(self.counts.admitted));
            self.unanswered_since = None;
            self.answered_at = Some(now);
            self.substitute = None;
            let is_confirmed = self.confirmed == self.counts;
            self.due = self.due.filter(|_| !is_confirmed).map(|due| due.min(now + REPEAT));
        }
        if grant.granted_at < self.granted_at {
            return;
        }
        self.granted_at = grant.granted_at;
        self.pass = f64::from(grant.pass).clamp(0.0, 1.0);
        self.pass_until = now + GRANT_LIFE;
        if self.pass < 1.0 {
            self.limited_at = Some(now);
        }
    }

    /// Takes a grant of a node that stands in for the owner. One that is new is reported to at once: it must know how many nodes it grants to. Once it has
    /// confirmed all, only what the owner hasn't confirmed is repeated, and seldom: the substitute itself goes on asking the owner.
    pub fn take_substitutes_grant(&mut self, now: BootTime, from: NodeId, grant: &QuotaGrant) {
        if self.substitute.is_none_or(|known| known.node != from) {
            self.due = Some(now);
            let confirmed = self.confirmed;
            self.substitute = Some(Substitute {
                node: from,
                pass: 1.0,
                pass_until: now,
                confirmed,
                has_answered: false,
                unanswered_since: None,
            });
        }
        let (counts, epoch) = (self.counts, self.epoch);
        let Some(substitute) = &mut self.substitute else {
            return;
        };
        substitute.pass = f64::from(grant.pass).clamp(0.0, 1.0);
        substitute.pass_until = now + GRANT_LIFE;
        if let Some(confirmation) = grant.confirmation.filter(|confirmation| confirmation.epoch == epoch) {
            substitute.confirmed = confirmation.counts.at_most(counts);
            substitute.has_answered = true;
            substitute.unanswered_since = None;
            if substitute.has_all(counts) {
                self.due = (counts != self.confirmed).then_some(now + SLOW_REPEAT);
            }
        }
        if substitute.pass < 1.0 {
            self.limited_at = Some(now);
        }
    }
}

/// A report, and who is to get it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueReport {
    pub report: QuotaReport,
    /// The owner, if it is to be asked.
    pub owner: Option<NodeId>,
    /// The node that stands in for it, if that hasn't confirmed all.
    pub substitute: Option<NodeId>,
}

/// Requests that a node has admitted and nobody has confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unconfirmed {
    pub admitted: u32,
    /// Part of the tenant's burst that they may make, 0 to 1.
    pub trust: f64,
}
