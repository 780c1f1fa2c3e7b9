//! How much of the offered work is taken while back ends are overloaded.
//!
//! When more is offered than the searchers of a group of shards can do, every request waits in their
//! queues until its goal has passed, and all of the work is done in vain. Refusing a part at once lets the rest be
//! answered in time. Each node decides by what it measures itself: the median time that the sub-requests of a group of
//! services spend waiting beyond their usual work. A paused, slow or lost searcher raises the tail but not the median; a
//! queue at all searchers raises it, and so does a link or a process that can't keep up.
//!
//! The part that is taken falls while that wait is too long for the goal, and rises again once it is short. Less urgent
//! routes of a group are refused a little earlier.

use staircross_types::BootTime;
use std::f64::consts::LN_2;
use std::time::Duration;

/// Samples of a route's work without which its median says little, and the time over which they are gathered.
const WORK_SAMPLES: usize = 40;
const WORK_WINDOW: Duration = Duration::from_millis(250);
/// Quantile, samples and time for the waits at one service, and for those of a group.
const SERVICE_QUANTILE: f64 = 0.25;
const SERVICE_SAMPLES: usize = 5;
const SERVICE_WINDOW: Duration = Duration::from_millis(200);
const GROUP_QUANTILE: f64 = 0.5;
const GROUP_SAMPLES: usize = 24;
/// Requests that the samples of a group come from, at least: those of one request are late together.
const GROUP_REQUESTS: usize = 6;
const GROUP_WINDOW: Duration = Duration::from_millis(200);
/// Samples kept of one window; more say nothing new.
const MAX_SAMPLES: usize = 512;
/// Age at which a wait is no longer believed.
const WAIT_LIFE: Duration = Duration::from_millis(1500);
/// Times of what gathering the samples took, for which a wait that is no longer believed isn't taken for none either: a node with
/// few requests gathers for seconds, and hasn't measured again by then.
const UNSURE_WINDOWS: f64 = 1.5;
/// Time between two judgements.
const JUDGEMENT_SPACING: Duration = Duration::from_millis(250);
/// Longest time that is waited for the effect of a decrease.
const MAX_DELAY: Duration = Duration::from_millis(1000);
/// A wait of so many times the tolerable one begins to limit what is taken; then it is kept at so many times.
const TOO_LONG: f64 = 1.0;
const TARGET: f64 = 0.6;
/// A wait that has been too long for less than this is taken for the end of a burst, which passes by itself. Of 0.6, 1.0 and
/// 1.5 s the first measured best where back ends are overloaded in waves, and as well as the others elsewhere.
const STANDING: Duration = Duration::from_millis(600);
/// Time from a group's first judgement during which nothing is refused: connections are being made and searchers are
/// cold, and after a restart callers come back all at once. That passes by itself, and refusing would cost requests
/// that are only late. Three seconds are what searchers of the users' sites are cold for.
const WARM_UP: Duration = Duration::from_secs(3);
/// Change of what is taken for each tolerable wait off the target, and bounds of one change.
const GAIN: f64 = 0.25;
const MAX_DECREASE: f64 = 0.25;
const MAX_INCREASE: f64 = 0.05;
/// Spacings that one increase may make up for.
const MAX_SPACINGS: f64 = 8.0;
/// A wait of less than so many times the tolerable one says that nothing queues, and its increase.
const NO_QUEUE: f64 = 0.25;
const FAST_INCREASE: f64 = 0.12;
/// The least part that is taken. Below it, refusals cost more than the answers that they make possible.
const MIN_LEVEL: f64 = 0.05;
/// What a sub-request counts as that a searcher rejected for lack of room.
const SHED_WAIT: Duration = Duration::from_millis(500);
/// Each rank below the most urgent raises the exponent of the part that is taken.
const RANK_STEP: f64 = 0.2;
/// Rise of the usual work, per second: work may have grown since the least was seen, but a queue that stands for
/// minutes must not be taken for work. Where little is taken and the time is still long, it is hardly a queue, so what is
/// refused adds to the rise, by its square.
const USUAL_RISE: f64 = 0.002;
const USUAL_RISE_REFUSING: f64 = 0.05;
/// Longest time without samples that counts for the rise.
const MAX_RISE_SPAN: Duration = Duration::from_secs(5);

/// A quantile of the samples that come within a window of time.
#[derive(Debug)]
struct QuantileWindow {
    quantile: f64,
    length: Duration,
    least_samples: usize,
    began: Option<BootTime>,
    samples: Vec<f32>,
}

impl QuantileWindow {
    fn new(quantile: f64, length: Duration, least_samples: usize) -> Self {
        QuantileWindow { quantile, length, least_samples, began: None, samples: Vec::new() }
    }

    /// Adds a sample; gives the quantile when the window is over, and begins the next.
    fn add(&mut self, now: BootTime, sample: Duration) -> Option<Duration> {
        let began = *self.began.get_or_insert(now);
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample.as_secs_f32());
        }
        if now.since(began) < self.length || self.samples.len() < self.least_samples {
            return None;
        }
        let index = (self.samples.len() as f64 * self.quantile) as usize;
        let (_, value, _) = self.samples.select_nth_unstable_by(index, f32::total_cmp);
        let value = Duration::from_secs_f32(*value);
        self.samples.clear();
        self.began = None;
        Some(value)
    }
}

/// The usual time of a route's sub-requests where nothing waits: the least median of any window.
#[derive(Debug)]
pub struct UsualWork {
    window: QuantileWindow,
    seconds: Option<f64>,
    recorded_at: BootTime,
}

impl Default for UsualWork {
    fn default() -> Self {
        let window = QuantileWindow::new(0.5, WORK_WINDOW, WORK_SAMPLES);
        UsualWork { window, seconds: None, recorded_at: BootTime::default() }
    }
}

impl UsualWork {
    /// Adds the time of an answered sub-request, without the round trip. `level` is the part of the work that is taken.
    pub fn record(&mut self, now: BootTime, worked: Duration, level: f64) {
        let span = now.since(self.recorded_at).min(MAX_RISE_SPAN).as_secs_f64();
        self.recorded_at = now;
        let rise = USUAL_RISE + USUAL_RISE_REFUSING * (1.0 - level).powi(2);
        self.seconds = self.seconds.map(|known| known * (1.0 + rise * span));
        if let Some(median) = self.window.add(now, worked) {
            let median = median.as_secs_f64();
            self.seconds = Some(self.seconds.map_or(median, |known| known.min(median)));
        }
    }

    /// The usual time, once there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        self.seconds.map(Duration::from_secs_f64)
    }
}

/// The median wait of a request's sub-requests with which the last of them still comes in time.
///
/// Waits in a queue are spread roughly exponentially. The longest of `fan_out` of them is about their mean times
/// `ln(fan_out) + 0.58`; the median is the mean times `ln 2`. `goal` is the time for the whole answer.
pub fn tolerable_wait(goal: Duration, usual: Duration, fan_out: usize) -> Duration {
    const EULER: f64 = 0.58;
    let spare = goal.saturating_sub(usual * 2);
    let longest = (fan_out.max(1) as f64).ln() + EULER;
    // Where the goal leaves no room at all, a wait as long as the work is borne.
    spare.mul_f64((LN_2 / longest).min(1.0)).max(usual)
}

/// How long sub-requests wait somewhere, beyond their usual work.
#[derive(Debug)]
pub struct Wait {
    window: QuantileWindow,
    value: Duration,
    measured_at: BootTime,
    /// How long its samples were gathered.
    gathered_for: Duration,
}

impl Wait {
    /// The wait at the searchers of one service.
    pub fn at_service() -> Self {
        Wait::new(QuantileWindow::new(SERVICE_QUANTILE, SERVICE_WINDOW, SERVICE_SAMPLES))
    }

    /// The wait at the searchers of a group of services, of which a request asks `fan_out`.
    pub fn at_group(fan_out: usize) -> Self {
        let samples = (fan_out * GROUP_REQUESTS).clamp(GROUP_SAMPLES, MAX_SAMPLES);
        Wait::new(QuantileWindow::new(GROUP_QUANTILE, GROUP_WINDOW, samples))
    }

    fn new(window: QuantileWindow) -> Self {
        Wait { window, value: Duration::ZERO, measured_at: BootTime::default(), gathered_for: Duration::ZERO }
    }

    /// Notes an answered sub-request that waited for `waited`.
    pub fn record(&mut self, now: BootTime, waited: Duration) {
        let began = self.window.began.unwrap_or(now);
        if let Some(value) = self.window.add(now, waited) {
            self.value = value;
            self.measured_at = now;
            self.gathered_for = now.since(began);
        }
    }

    /// Notes a sub-request that was rejected for lack of room.
    pub fn record_shed(&mut self, now: BootTime) {
        self.record(now, SHED_WAIT);
    }

    /// The wait; nothing where nothing was measured lately.
    pub fn get(&self, now: BootTime) -> Duration {
        if now.since(self.measured_at) <= WAIT_LIFE { self.value } else { Duration::ZERO }
    }

    /// The wait that may be judged by; `None` while the last is too old and the next is still being gathered.
    pub fn judged(&self, now: BootTime) -> Option<Duration> {
        let age = now.since(self.measured_at);
        let is_unsure = age > WAIT_LIFE && age <= self.gathered_for.mul_f64(UNSURE_WINDOWS);
        (!is_unsure).then(|| self.get(now))
    }
}

/// What is taken of the work offered to one group of services.
#[derive(Debug)]
pub struct Admission {
    level: f64,
    next_judgement: BootTime,
    /// When the group was judged first, and last.
    first_judged: Option<BootTime>,
    last_judged: Option<BootTime>,
    /// Since when the wait has been too long at each judgement.
    too_long_since: Option<BootTime>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            level: 1.0,
            next_judgement: BootTime::default(),
            first_judged: None,
            last_judged: None,
            too_long_since: None,
        }
    }
}

/// A change of what is taken, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionChange {
    /// The wait that counts.
    pub wait: Duration,
    /// What would be tolerable.
    pub tolerable: Duration,
    /// Part that is taken from now on, 0 to 1.
    pub level: f64,
}

impl Admission {
    /// Whether it is time to judge again.
    pub fn is_due(&self, now: BootTime) -> bool {
        now >= self.next_judgement
    }

    /// Judges the wait that counts.
    pub fn judge(&mut self, now: BootTime, wait: Duration, tolerable: Duration) -> Option<AdmissionChange> {
        self.next_judgement = now + JUDGEMENT_SPACING;
        let last_judged = self.last_judged.replace(now).unwrap_or(now);
        let ratio = wait.as_secs_f64() / tolerable.as_secs_f64().max(f64::MIN_POSITIVE);
        let before = self.level;
        let first_judged = *self.first_judged.get_or_insert(now);
        if now.since(first_judged) < WARM_UP || (!self.is_limiting() && !self.stands(now, ratio)) {
            return None;
        }
        let change =
            if ratio < NO_QUEUE { FAST_INCREASE } else { (GAIN * (TARGET - ratio)).clamp(-MAX_DECREASE, MAX_INCREASE) };
        // A node with few requests judges seldom; what is taken rises by the time that has passed all the same.
        let spacings = now.since(last_judged).as_secs_f64() / JUDGEMENT_SPACING.as_secs_f64();
        let change = if change > 0.0 { (1.0 + change).powf(spacings.clamp(1.0, MAX_SPACINGS)) - 1.0 } else { change };
        if change < 0.0 {
            // What was sent before tells of the queue before: the effect shows once that has gone through.
            self.next_judgement = self.next_judgement + (wait * 2).min(MAX_DELAY);
        }
        self.level = (before * (1.0 + change)).clamp(MIN_LEVEL, 1.0);
        (self.level != before).then_some(AdmissionChange { wait, tolerable, level: self.level })
    }

    /// Whether the wait has been too long for so long that it isn't what a burst left behind.
    fn stands(&mut self, now: BootTime, ratio: f64) -> bool {
        if ratio <= TOO_LONG {
            self.too_long_since = None;
            return false;
        }
        let since = *self.too_long_since.get_or_insert(now);
        now.since(since) >= STANDING
    }

    /// Part of the requests that is taken, `ranks` below the most urgent of the group.
    pub fn fraction_taken(&self, ranks: u32) -> f64 {
        self.level.powf(1.0 + RANK_STEP * f64::from(ranks))
    }

    /// Part of the most urgent requests that is taken.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether anything is refused now.
    pub fn is_limiting(&self) -> bool {
        self.level < 1.0
    }
}
