//! What is known of one searcher: its entry, its load as seen from here, its speed, its failures.
//!
//! Of its reports, the slowness of its host counts for a moment, and its queue only in the log. A searcher
//! that has gone or is leaving is never asked again; when it starts again under its id, that is another searcher.

use crate::configuration::definition::ColdStart;
use crate::decision::cold::ColdSends;
use crate::keys::{AttemptKey, InstanceKey};
use crate::state::decay::kept_fraction;
use crate::state::mirror::SearcherEntry;
use crate::state::rejection::RejectionRate;
use crate::state::report::{ReportedLoad, SearcherReport};
use staircross_types::BootTime;
use std::time::Duration;

/// Weight of a usual sample in the estimate of slowness. So that some three answers move it.
const USUAL_GAIN: f64 = 0.3;
/// Weight of a slow sample that may come of one pause. So that a single one hardly counts: with more, a pause sent callers of a zone to the next.
const PAUSE_GAIN: f64 = 0.02;
/// Weight of a slow sample of an attempt sent after a slow answer: a pause would have been over. So that two make a searcher slow.
const SLOW_GAIN: f64 = 0.6;
/// Time in which an estimate of slowness that nothing confirms halves its distance to normal. So that a slow searcher is tried again within some ten
/// seconds.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(4000);
/// Slowness that a lost, spoiled or failed answer counts as. A slow answer rather than a failure, since three living searchers that lost every other
/// answer were otherwise all avoided.
const FALTER_SAMPLE: f64 = 10.0;
/// Weight of a lost, spoiled or failed answer in the estimate of slowness. Near [`USUAL_GAIN`].
const FALTER_GAIN: f64 = 0.25;
/// What a host reports when work takes its usual time there, in percent. By definition of the report.
const USUAL_PERCENT: u32 = 100;
/// Time in which a report of a host's slowness loses half of its weight: hosts are shared with others, and their load changes many
/// times a second. Measured on four days: +0.0022 ± 0.0016 of the worth; 0.8 s +0.0020 ± 0.0017 (docs/design/searcher-choice.md).
const HOST_HALF_LIFE: Duration = Duration::from_millis(300);
/// Times the estimate from which a sample is slow. Above the usual spread of work.
const NOTABLY_SLOWER: f64 = 3.0;
/// Least slowness that a sample counts as. So that one quick answer doesn't draw all work to a searcher.
const MIN_SLOWNESS: f64 = 0.6;
/// Greatest slowness that a sample or a report counts as. So that a searcher that was stuck is believed to be well again after a few usual answers.
const MAX_SLOWNESS: f64 = 30.0;
/// Least slowness of a searcher while it is cold. So that warm searchers are preferred where they have room.
const COLD_FACTOR: f64 = 2.0;
/// First time of avoidance after failures in a row; doubles with each further one. For a short interruption.
const AVOID_BASE: Duration = Duration::from_millis(400);
/// Doublings of the time of avoidance at most. For 6.4 s at most, so that a searcher that is back is soon found.
const MAX_DOUBLINGS: u32 = 4;
/// Time during which a searcher that accepts no connection at all isn't asked. Short, since it lives and may have room at any moment.
const CONNECTION_REJECTED_PAUSE: Duration = Duration::from_millis(120);
/// Time during which a searcher that accepts no further connection isn't asked for one.
const FULL_PAUSE: Duration = Duration::from_millis(800);
/// Time during which a searcher that rejected work isn't asked. Where most searchers reject much, [`RejectionRate`] remembers more.
const SHED_PAUSE: Duration = Duration::from_millis(60);
/// Time between trials of a searcher that has failed. Below [`AVOID_BASE`].
const TRIAL_SPACING: Duration = Duration::from_millis(300);

/// An attempt that holds a connection of the searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenAttempt {
    /// Which.
    pub attempt: AttemptKey,
    /// When it was sent.
    pub sent_at: BootTime,
    /// When it should have been answered.
    pub due_at: BootTime,
}

/// Whether a searcher may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its entry says that it serves.
    Serving,
    /// Its entry has gone without a report of its own. Entries also lapse while the store is away, so it is asked until a
    /// time, if nobody else can be.
    Lapsed {
        /// The time.
        until: BootTime,
    },
    /// It said that it leaves; never asked again.
    Draining,
    /// It isn't at its address any more.
    Gone,
}

/// One start of a searcher.
#[derive(Debug)]
pub struct Searcher {
    /// Its entry, as last known.
    pub entry: SearcherEntry,
    /// Its incarnation, as other nodes know it.
    pub instance_key: InstanceKey,
    /// Whether it may be asked.
    pub standing: Standing,
    /// Attempts that hold a connection.
    pub open: Vec<OpenAttempt>,
    /// Connections that it accepts from all callers together.
    pub max_connections: u32,
    /// What it bears while it is cold.
    pub cold_start: ColdStart,
    /// Whether its zone is being evacuated: it gets no new work until that is taken back.
    is_evacuated: bool,
    /// When a connection to its address came up last.
    connected_at: Option<BootTime>,
    cold_until: BootTime,
    cold_sends: ColdSends,
    reported: Option<(BootTime, ReportedLoad)>,
    slowness: f64,
    measured_at: BootTime,
    /// When the first of the slow answers that came without a usual one in between was seen.
    slow_answer_at: Option<BootTime>,
    rejections: RejectionRate,
    failures: u32,
    avoid_until: BootTime,
    /// Whether one attempt alone finds out if it can be asked again.
    needs_trial: bool,
    /// Attempts that it takes at once while it accepts no further connection, and until when.
    full_at: usize,
    full_until: BootTime,
}

impl Searcher {
    /// A searcher that was just learned of.
    pub fn new(now: BootTime, entry: SearcherEntry, max_connections: u32) -> Self {
        let standing = if entry.is_draining { Standing::Draining } else { Standing::Serving };
        let cold_until = now + Duration::from_millis(entry.cold_ms);
        Searcher {
            instance_key: InstanceKey::of(&entry.instance, entry.born_ms),
            entry,
            standing,
            open: Vec::new(),
            max_connections,
            cold_start: ColdStart::default(),
            is_evacuated: false,
            connected_at: None,
            cold_until,
            cold_sends: ColdSends::default(),
            reported: None,
            slowness: 1.0,
            measured_at: now,
            slow_answer_at: None,
            rejections: RejectionRate::default(),
            failures: 0,
            avoid_until: BootTime::default(),
            needs_trial: false,
            full_at: 0,
            full_until: BootTime::default(),
        }
    }

    /// The same, counting what was sent to the incarnation before it while that was cold: it may have reached this one.
    pub fn with_cold_sends(self, cold_sends: ColdSends) -> Self {
        Searcher { cold_sends, ..self }
    }

    /// Takes a newer entry of the same start. Leaving is final; coming back after a lapse isn't.
    pub fn update(&mut self, now: BootTime, entry: SearcherEntry) {
        let was_draining = self.standing == Standing::Draining;
        self.standing = if was_draining || entry.is_draining { Standing::Draining } else { Standing::Serving };
        self.cold_until = now + Duration::from_millis(entry.cold_ms);
        self.entry = entry;
    }

    /// Its entry has gone from the store.
    pub fn mark_lapsed(&mut self, until: BootTime) {
        if self.standing == Standing::Serving {
            self.standing = Standing::Lapsed { until };
        }
    }

    /// It isn't at its address any more.
    pub fn mark_gone(&mut self) {
        if self.standing != Standing::Draining {
            self.standing = Standing::Gone;
        }
    }

    /// Whether its entry says that it serves.
    pub fn is_serving(&self) -> bool {
        self.standing == Standing::Serving
    }

    /// Whether new work may be sent, room and trials aside.
    pub fn may_be_asked(&self, now: BootTime) -> bool {
        !self.is_evacuated && self.is_listed(now)
    }

    /// Notes whether its zone is being evacuated. When that ends, the searcher may have been started anew shortly before and
    /// its entry may not say so yet.
    pub fn set_evacuated(&mut self, now: BootTime, is_evacuated: bool) {
        if self.is_evacuated && !is_evacuated {
            self.cold_until = self.cold_until.max(now + Duration::from_millis(self.cold_start.duration_ms));
        }
        self.is_evacuated = is_evacuated;
    }

    /// Notes that a connection to its address came up. The process there may be a later incarnation under the same id.
    pub fn note_connected(&mut self, now: BootTime) {
        self.connected_at = Some(now);
    }

    /// When a connection to its address came up last; what is older surely goes to the process that accepted it.
    pub fn connected_at(&self) -> Option<BootTime> {
        self.connected_at
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: BootTime) -> bool {
        now < self.cold_until
    }

    /// What was sent to it while it was cold.
    pub fn cold_sends(&self) -> &ColdSends {
        &self.cold_sends
    }

    /// Takes what an answer says of the searcher.
    pub fn take_report(&mut self, now: BootTime, report: SearcherReport) {
        if let Some(load) = report.load {
            self.reported = Some((now, load));
        }
        if let Some(cold) = report.cold {
            self.cold_until = now + cold;
        }
    }

    /// What it reported last of its load, and when.
    pub fn reported(&self) -> Option<(BootTime, ReportedLoad)> {
        self.reported
    }

    /// Whether it may be asked by what its entry says.
    pub fn is_listed(&self, now: BootTime) -> bool {
        match self.standing {
            Standing::Serving => true,
            Standing::Lapsed { until } => now < until,
            Standing::Draining | Standing::Gone => false,
        }
    }

    /// When it may be asked again after failures; in the past if it isn't avoided.
    pub fn avoided_until(&self) -> BootTime {
        self.avoid_until
    }

    /// How many times slower than usual it is taken to be.
    pub fn slowness(&self, now: BootTime) -> f64 {
        let present = 1.0 + (self.slowness - 1.0) * self.kept_since_measured(now);
        if self.is_cold(now) { present.max(COLD_FACTOR) } else { present }
    }

    /// How many times slower than usual its host is taken to be by its last report. A report that says it is faster counts as nothing:
    /// it may mislead, and then costs no more than a searcher left aside for a moment.
    pub fn host_slowness(&self, now: BootTime) -> f64 {
        let Some((at, load)) = self.reported else {
            return 1.0;
        };
        let beyond = (f64::from(load.host_slowness.unwrap_or(USUAL_PERCENT)) / f64::from(USUAL_PERCENT) - 1.0).max(0.0);
        1.0 + beyond.min(MAX_SLOWNESS) * kept_fraction(now.since(at), HOST_HALF_LIFE)
    }

    /// Fraction of what is sent to it that it is taken to reject, 0 to 1.
    pub fn rejection_rate(&self, now: BootTime) -> f64 {
        self.rejections.get(now)
    }

    /// Longest time by which an open attempt is overdue.
    pub fn overdue(&self, now: BootTime) -> Duration {
        self.open.iter().map(|open| now.since(open.due_at)).max().unwrap_or_default()
    }

    /// Notes that an attempt was sent.
    pub fn sent(&mut self, now: BootTime, open: OpenAttempt) {
        if self.needs_trial {
            // The one trial; nothing else is sent until it has ended.
            self.avoid_until = now + TRIAL_SPACING;
        }
        if self.is_cold(now) {
            self.cold_sends.note(now);
        }
        self.open.push(open);
    }

    /// Notes that an attempt no longer holds a connection.
    pub fn released(&mut self, attempt: AttemptKey) {
        self.open.retain(|open| open.attempt != attempt);
    }

    /// Notes an answer to an attempt sent at `sent_at` that took `ratio` times as long as usual.
    pub fn answered(&mut self, now: BootTime, sent_at: BootTime, ratio: f64) {
        self.failures = 0;
        self.needs_trial = false;
        self.avoid_until = BootTime::default();
        self.rejections.accepted(now);
        let sample = ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let before = 1.0 + (self.slowness - 1.0) * self.kept_since_measured(now);
        let is_slow = sample > before.max(1.0) * NOTABLY_SLOWER;
        let is_still_slow = sample > NOTABLY_SLOWER && self.slow_answer_at.is_some_and(|seen| sent_at >= seen);
        let gain = match (is_still_slow, is_slow) {
            (true, _) => SLOW_GAIN,
            (false, true) => PAUSE_GAIN,
            (false, false) => USUAL_GAIN,
        };
        self.slowness = before + (sample - before) * gain;
        self.measured_at = now;
        if sample > NOTABLY_SLOWER {
            self.slow_answer_at.get_or_insert(now);
        } else {
            self.slow_answer_at = None;
        }
    }

    /// Notes that a connection to it has come up and is kept: the trial has succeeded, and there may be room for
    /// one more.
    pub fn accepted(&mut self) {
        self.full_at = self.full_at.max(self.open.len() + 1);
        if self.needs_trial {
            self.failures = 0;
            self.needs_trial = false;
            self.avoid_until = BootTime::default();
        }
    }

    fn kept_since_measured(&self, now: BootTime) -> f64 {
        kept_fraction(now.since(self.measured_at), SLOWNESS_HALF_LIFE)
    }

    /// Notes an answer that was lost, spoiled or a failure. It counts as a slow one: others are preferred
    /// for a while, but where all do so, all go on being asked.
    pub fn faltered(&mut self, now: BootTime) {
        let before = 1.0 + (self.slowness - 1.0) * self.kept_since_measured(now);
        self.slowness = before + (FALTER_SAMPLE - before).max(0.0) * FALTER_GAIN;
        self.measured_at = now;
    }

    /// Notes that it accepts no further connection. Those that it has accepted go on being used.
    pub fn connection_rejected(&mut self, now: BootTime) {
        if self.open.is_empty() {
            // It lives, and may have room for another at any moment.
            self.needs_trial = true;
            self.avoid_until = self.avoid_until.max(now + CONNECTION_REJECTED_PAUSE);
            return;
        }
        self.full_at = self.open.len();
        self.full_until = now + FULL_PAUSE;
    }

    /// Whether it takes no more attempts at once than it has now.
    pub fn is_full(&self, now: BootTime) -> bool {
        now < self.full_until && self.open.len() >= self.full_at
    }

    /// Notes that it rejected work.
    pub fn shed(&mut self, now: BootTime) {
        self.rejections.rejected(now);
        self.avoid_until = self.avoid_until.max(now + SHED_PAUSE);
    }

    /// Notes that it couldn't be reached; failures in a row keep work away ever longer.
    pub fn failed(&mut self, now: BootTime) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        self.needs_trial = true;
        self.avoid_until = now + AVOID_BASE * (1 << doublings);
    }
}
