//! The state of one searcher: its entry, the attempts that this node sent it, its speed and its failures.
//!
//! Of a searcher's reports, the slowness of its host affects decisions for a moment; its queue is only logged. A
//! searcher that is gone or draining is never asked again. If it restarts under the same id, it counts as another
//! searcher.

use crate::configuration::definition::ColdStart;
use crate::decision::cold::ColdSends;
use crate::decision::departure::Departure;
use crate::keys::{AttemptKey, InstanceKey};
use crate::state::decay::decay_factor;
use crate::state::mirror::SearcherEntry;
use crate::state::rejection::RejectionRate;
use crate::state::report::{ReportedLoad, SearcherReport};
use staircross_types::BootTime;
use std::time::Duration;

/// Weight of a usual sample in the estimate of slowness. With this weight some three answers move the estimate.
const USUAL_GAIN: f64 = 0.3;
/// Weight of a slow sample that a single pause may have caused. Such a sample must hardly count: with a larger weight,
/// one pause moves the requests of a zone's callers to the next zone.
const PAUSE_GAIN: f64 = 0.02;
/// Weight of a slow sample of an attempt that was sent after a slow answer, when a pause would have been over. With
/// this weight two slow samples make a searcher slow.
const SLOW_GAIN: f64 = 0.6;
/// Time in which an estimate of slowness halves its distance to normal without new samples. With it a slow searcher is
/// tried again within some ten seconds.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(4000);
/// Slowness that a lost, damaged or error answer counts as. It counts as a slow answer rather than as a failure because
/// otherwise three live searchers that lose every other answer would all be avoided.
const FAILED_ANSWER_SLOWNESS: f64 = 10.0;
/// Weight of a lost, damaged or error answer in the estimate of slowness; near [`USUAL_GAIN`].
const FAILED_ANSWER_GAIN: f64 = 0.25;
/// Value of [`ReportedLoad::host_slowness`], in percent, that means that work takes its usual time on the host.
const USUAL_HOST_PERCENT: u32 = 100;
/// Time in which a report of a host's slowness loses half of its weight. It is short because hosts are shared with
/// other programs and their load changes many times a second. On four days, the use of the reports raises the mean
/// score of a day's requests (0 to 1, docs/studies/scores.md) by 0.0022 ± 0.0016 with this half-life, and by
/// 0.0020 ± 0.0017 with a half-life of 0.8 s (docs/design/searcher-choice.md).
const HOST_SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(300);
/// Multiple of the estimated slowness, or of the usual time if that is greater, above which a sample is slow. It is
/// above the usual spread of the time that work takes.
const SLOW_SAMPLE_RATIO: f64 = 3.0;
/// Least slowness that a sample counts as. The limit prevents one fast answer from attracting all work to a searcher.
const MIN_SLOWNESS: f64 = 0.6;
/// Greatest slowness that a sample or a report counts as. With the limit, a searcher that was stuck counts as normal
/// again after a few usual answers.
const MAX_SLOWNESS: f64 = 30.0;
/// Least slowness of a searcher while it is cold. It makes warm searchers preferred where they have room.
const MIN_COLD_SLOWNESS: f64 = 2.0;
/// Time for which a searcher is avoided after its first failure. It fits a short interruption and doubles with each
/// further failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(400);
/// Maximum number of doublings of [`FIRST_AVOIDANCE`]. A searcher is avoided for at most 6.4 s, so one that is back is
/// found soon.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 4;
/// Time for which a searcher that accepts no connection at all isn't asked. It is short because the searcher is alive
/// and may have room at any moment.
const CONNECTION_REJECTED_PAUSE: Duration = Duration::from_millis(120);
/// Time for which no further connection is opened to a searcher that rejected one while others to it were open.
const FULL_PAUSE: Duration = Duration::from_millis(800);
/// Time for which a searcher that rejected work isn't asked. Where most searchers reject much, [`RejectionRate`]
/// remembers rejections for longer.
const REJECTION_PAUSE: Duration = Duration::from_millis(60);
/// Time between trial attempts at a searcher that has failed; below [`FIRST_AVOIDANCE`].
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// An attempt that holds a connection to the searcher, or waits for one. Its request may have ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Time at which the attempt was sent.
    pub sent_at: BootTime,
    /// Time after which the attempt is overdue.
    pub due_at: BootTime,
}

/// Whether a searcher may be asked, by its entry in the store and by its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The searcher has an entry that isn't draining.
    Serving,
    /// The entry is gone although the searcher didn't announce that it leaves. Entries also lapse while the store is
    /// unavailable, so the searcher may be asked for some more time.
    Lapsed {
        /// Time until which the searcher may be asked.
        until: BootTime,
    },
    /// The searcher announced that it leaves; it is never asked again.
    Draining,
    /// The searcher is no longer at its address.
    Gone,
}

/// State of one incarnation of a searcher.
#[derive(Debug)]
pub struct Searcher {
    /// The last known entry.
    pub entry: SearcherEntry,
    /// Key of the incarnation, which is the same on all nodes.
    pub instance_key: InstanceKey,
    /// Whether the searcher may be asked, by its entry and its answers.
    pub availability: Availability,
    /// Attempts of this node that hold a connection to the searcher.
    pub pending_attempts: Vec<PendingAttempt>,
    /// Number of connections that the searcher accepts from all its clients together.
    pub max_connections: u32,
    /// Duration of the cold start, and the load that the searcher can take meanwhile.
    pub cold_start: ColdStart,
    /// Whether the searcher's zone is being evacuated; the searcher gets no new work until that ends.
    is_evacuated: bool,
    /// Time at which a connection to the searcher's address was last established.
    connected_at: Option<BootTime>,
    /// Time until which the searcher is cold.
    cold_until: BootTime,
    cold_sends: ColdSends,
    /// The last reported load and the time at which it arrived.
    last_reported: Option<(BootTime, ReportedLoad)>,
    /// Estimated slowness at `slowness_estimated_at`, as a multiple of the usual time.
    slowness: f64,
    slowness_estimated_at: BootTime,
    /// Time of the first slow answer since the last answer that wasn't slow.
    first_slow_answer_at: Option<BootTime>,
    rejections: RejectionRate,
    /// Evidence that the searcher is leaving although its entry says that it serves.
    departure: Departure,
    /// Number of failures in a row to reach the searcher.
    consecutive_failures: u32,
    /// Time until which the searcher is avoided after failures or rejections.
    avoided_until: BootTime,
    /// Whether a single trial attempt must succeed before the searcher gets more work.
    needs_trial: bool,
    /// Number of pending attempts at which the searcher is full, until `full_until`.
    full_at: usize,
    /// Time until which the searcher is taken to accept no further connection.
    full_until: BootTime,
}

impl Searcher {
    /// Creates the state of a searcher whose first entry has just arrived.
    pub fn new(now: BootTime, entry: SearcherEntry, max_connections: u32) -> Self {
        let availability = if entry.is_draining { Availability::Draining } else { Availability::Serving };
        let cold_until = now + Duration::from_millis(entry.cold_ms);
        Searcher {
            instance_key: InstanceKey::of(&entry.instance, entry.born_ms),
            entry,
            availability,
            pending_attempts: Vec::new(),
            max_connections,
            cold_start: ColdStart::default(),
            is_evacuated: false,
            connected_at: None,
            cold_until,
            cold_sends: ColdSends::default(),
            last_reported: None,
            slowness: 1.0,
            slowness_estimated_at: now,
            first_slow_answer_at: None,
            rejections: RejectionRate::default(),
            departure: Departure::default(),
            consecutive_failures: 0,
            avoided_until: BootTime::default(),
            needs_trial: false,
            full_at: 0,
            full_until: BootTime::default(),
        }
    }

    /// Counts the requests that were sent to the previous incarnation while that was cold, because they may have
    /// reached this one.
    pub fn with_cold_sends(self, cold_sends: ColdSends) -> Self {
        Searcher { cold_sends, ..self }
    }

    /// Replaces the entry by a newer one of the same incarnation. A draining searcher stays so; a lapsed one serves
    /// again, but may have left: a write from before its removal may have reached the store late.
    pub fn update(&mut self, now: BootTime, entry: SearcherEntry) {
        if matches!(self.availability, Availability::Lapsed { .. }) {
            self.departure.note_return(now);
        }
        let was_draining = self.availability == Availability::Draining;
        self.availability =
            if was_draining || entry.is_draining { Availability::Draining } else { Availability::Serving };
        self.cold_until = now + Duration::from_millis(entry.cold_ms);
        self.entry = entry;
    }

    /// Records that the entry is gone from the store; the searcher may be asked until `until`.
    pub fn mark_lapsed(&mut self, until: BootTime) {
        if self.availability == Availability::Serving {
            self.availability = Availability::Lapsed { until };
        }
    }

    /// Records that the searcher is no longer at its address.
    pub fn mark_gone(&mut self) {
        if self.availability != Availability::Draining {
            self.availability = Availability::Gone;
        }
    }

    /// Returns whether the searcher has an entry that isn't draining.
    pub fn is_serving(&self) -> bool {
        self.availability == Availability::Serving
    }

    /// Returns whether new work may be sent to the searcher, regardless of its room and of trials.
    pub fn may_be_asked(&self, now: BootTime) -> bool {
        !self.is_evacuated && self.is_listed(now)
    }

    /// Sets whether the searcher's zone is being evacuated. When an evacuation ends, the searcher is treated as cold:
    /// it may have been restarted shortly before, and its entry may not show that yet.
    pub fn set_evacuated(&mut self, now: BootTime, is_evacuated: bool) {
        if self.is_evacuated && !is_evacuated {
            self.cold_until = self.cold_until.max(now + Duration::from_millis(self.cold_start.duration_ms));
        }
        self.is_evacuated = is_evacuated;
    }

    /// Records that a connection to the searcher's address was established. The process there may be a later
    /// incarnation under the same id.
    pub fn note_connected(&mut self, now: BootTime) {
        self.connected_at = Some(now);
    }

    /// Returns the time at which a connection to the searcher's address was last established. No connection was
    /// established since, so later requests certainly went to the process that accepted that connection.
    pub fn connected_at(&self) -> Option<BootTime> {
        self.connected_at
    }

    /// Returns whether the searcher is still in its cold start.
    pub fn is_cold(&self, now: BootTime) -> bool {
        now < self.cold_until
    }

    /// Returns the record of the requests sent to the searcher while it was cold.
    pub fn cold_sends(&self) -> &ColdSends {
        &self.cold_sends
    }

    /// Returns the evidence that the searcher is leaving.
    pub fn departure(&self) -> &Departure {
        &self.departure
    }

    /// Returns the evidence that the searcher is leaving, to be changed.
    pub fn departure_mut(&mut self) -> &mut Departure {
        &mut self.departure
    }

    /// Stores the report of an answer.
    pub fn note_report(&mut self, now: BootTime, report: SearcherReport) {
        if let Some(load) = report.load {
            self.last_reported = Some((now, load));
        }
        if let Some(cold) = report.cold {
            self.cold_until = now + cold;
        }
    }

    /// Returns the last reported load and the time at which it arrived.
    pub fn reported(&self) -> Option<(BootTime, ReportedLoad)> {
        self.last_reported
    }

    /// Returns whether the searcher may be asked by its [`Availability`].
    pub fn is_listed(&self, now: BootTime) -> bool {
        match self.availability {
            Availability::Serving => true,
            Availability::Lapsed { until } => now < until,
            Availability::Draining | Availability::Gone => false,
        }
    }

    /// Returns the time until which the searcher is avoided after failures or rejections; in the past if it isn't
    /// avoided.
    pub fn avoided_until(&self) -> BootTime {
        self.avoided_until
    }

    /// Returns the estimated slowness: the time that the searcher takes as a multiple of the usual time.
    pub fn slowness(&self, now: BootTime) -> f64 {
        let current = 1.0 + (self.slowness - 1.0) * self.slowness_decay(now);
        if self.is_cold(now) { current.max(MIN_COLD_SLOWNESS) } else { current }
    }

    /// Returns the estimated slowness of the searcher's host by the last report, as a multiple of the usual time. The
    /// multiple is at least 1, because a report that the host is faster than usual is ignored. So a wrong report costs
    /// no more than a searcher that isn't asked for a moment.
    pub fn host_slowness(&self, now: BootTime) -> f64 {
        let Some((at, load)) = self.last_reported else {
            return 1.0;
        };
        let excess = (f64::from(load.host_slowness.unwrap_or(USUAL_HOST_PERCENT)) / f64::from(USUAL_HOST_PERCENT)
            - 1.0)
            .max(0.0);
        1.0 + excess.min(MAX_SLOWNESS) * decay_factor(now.since(at), HOST_SLOWNESS_HALF_LIFE)
    }

    /// Returns the estimated fraction of its requests that the searcher rejects, 0 to 1.
    pub fn rejection_rate(&self, now: BootTime) -> f64 {
        self.rejections.get(now)
    }

    /// Returns the longest time by which a pending attempt is overdue; zero if none is.
    pub fn overdue(&self, now: BootTime) -> Duration {
        self.pending_attempts.iter().map(|pending| now.since(pending.due_at)).max().unwrap_or_default()
    }

    /// Records that an attempt was sent.
    pub fn note_sent(&mut self, now: BootTime, pending: PendingAttempt) {
        if self.needs_trial {
            // This is the trial attempt. No other attempt is sent until it has ended, but for `TRIAL_INTERVAL` at most.
            self.avoided_until = now + TRIAL_INTERVAL;
        }
        if self.is_cold(now) {
            self.cold_sends.record(now);
        }
        self.pending_attempts.push(pending);
    }

    /// Records that an attempt no longer holds a connection.
    pub fn note_released(&mut self, attempt: AttemptKey) {
        self.pending_attempts.retain(|pending| pending.attempt != attempt);
    }

    /// Records an answer to an attempt sent at `sent_at` that took `ratio` times as long as usual.
    pub fn note_answer(&mut self, now: BootTime, sent_at: BootTime, ratio: f64) {
        self.consecutive_failures = 0;
        self.needs_trial = false;
        self.avoided_until = BootTime::default();
        self.rejections.note_answer(now);
        let sample = ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let before = 1.0 + (self.slowness - 1.0) * self.slowness_decay(now);
        let is_slow = sample > before.max(1.0) * SLOW_SAMPLE_RATIO;
        let is_slow_again = sample > SLOW_SAMPLE_RATIO && self.first_slow_answer_at.is_some_and(|seen| sent_at >= seen);
        let gain = match (is_slow_again, is_slow) {
            (true, _) => SLOW_GAIN,
            (false, true) => PAUSE_GAIN,
            (false, false) => USUAL_GAIN,
        };
        self.slowness = before + (sample - before) * gain;
        self.slowness_estimated_at = now;
        if sample > SLOW_SAMPLE_RATIO {
            self.first_slow_answer_at.get_or_insert(now);
        } else {
            self.first_slow_answer_at = None;
        }
    }

    /// Records that a connection to the searcher was established and not reset: a trial has succeeded, and there may be
    /// room for one more attempt.
    pub fn note_connection_accepted(&mut self) {
        self.full_at = self.full_at.max(self.pending_attempts.len() + 1);
        if self.needs_trial {
            self.consecutive_failures = 0;
            self.needs_trial = false;
            self.avoided_until = BootTime::default();
        }
    }

    /// Returns the fraction of the slowness beyond 1 that still counts at `now`.
    fn slowness_decay(&self, now: BootTime) -> f64 {
        decay_factor(now.since(self.slowness_estimated_at), SLOWNESS_HALF_LIFE)
    }

    /// Records an answer that was lost, damaged or an error. It counts as a slow answer: other searchers are preferred
    /// for a while, but where all searchers give such answers, all are still asked.
    pub fn note_failed_answer(&mut self, now: BootTime) {
        let before = 1.0 + (self.slowness - 1.0) * self.slowness_decay(now);
        self.slowness = before + (FAILED_ANSWER_SLOWNESS - before).max(0.0) * FAILED_ANSWER_GAIN;
        self.slowness_estimated_at = now;
    }

    /// Records that the searcher accepts no further connection. Connections that it has accepted stay in use.
    pub fn note_connection_rejected(&mut self, now: BootTime) {
        if self.pending_attempts.is_empty() {
            // The searcher is alive and may have room for a connection at any moment.
            self.needs_trial = true;
            self.avoided_until = self.avoided_until.max(now + CONNECTION_REJECTED_PAUSE);
            return;
        }
        self.full_at = self.pending_attempts.len();
        self.full_until = now + FULL_PAUSE;
    }

    /// Returns whether the searcher can't take another attempt because it accepts no further connection.
    pub fn is_full(&self, now: BootTime) -> bool {
        now < self.full_until && self.pending_attempts.len() >= self.full_at
    }

    /// Records that the searcher rejected work.
    pub fn note_rejection(&mut self, now: BootTime) {
        self.rejections.note_rejection(now);
        self.avoided_until = self.avoided_until.max(now + REJECTION_PAUSE);
    }

    /// Records that the searcher couldn't be reached. Each further failure in a row doubles the time for which it is
    /// avoided, up to [`MAX_AVOIDANCE_DOUBLINGS`] times.
    pub fn note_unreachable(&mut self, now: BootTime) {
        let doublings = self.consecutive_failures.min(MAX_AVOIDANCE_DOUBLINGS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.needs_trial = true;
        self.avoided_until = now + FIRST_AVOIDANCE * (1 << doublings);
    }
}
