//! One lane: what it asks next, and what a reply means for it.
//!
//! Owns the revision that the lane has reached, the pages of a listing that isn't whole, and the wait before the next call. Relies on
//! the reader for whether it asks at all.

use super::message::{Lane, ReaderAction, ReaderSettings, ReadingMode, StoreCall};
use crate::state::mirror::{MirrorItem, MirrorUpdate};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Entries that are gone in one reply, from which on they have lapsed rather than left: they come back one by one. Above what leaves in one rest of a
/// lane.
const LAPSED_TOGETHER: usize = 8;
/// Time within which live searchers are back in a store that was away: the platform says about two seconds; a quarter is
/// added for the lane's rest and a late wake-up.
const RETURN_TIME: Duration = Duration::from_millis(2500);
/// Doublings of the wait after failures; [`Backoff::longest`](super::Backoff) is reached before. It keeps the shift small.
const MAX_DOUBLINGS: u32 = 6;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum LaneState {
    /// The next call is due at a time.
    Resting { until: BootTime },
    /// A call is out.
    Calling,
    /// The last call failed, and so does the probe: nothing is asked until the store answers a probe.
    AwaitingProbe,
    /// The mode asks nothing of this lane: what is new comes from a peer, or is known.
    Suspended,
}

/// Pages of a listing that isn't whole yet.
#[derive(Debug)]
pub(super) struct PartialListing {
    update: MirrorUpdate,
    /// The store's revision at the first page.
    first_at: u64,
    /// Key after which the next page begins.
    next_key: String,
}

#[derive(Debug)]
pub(super) struct LaneReader {
    pub lane: Lane,
    pub state: LaneState,
    /// Revision that changes are known up to; `None` before the first read.
    pub after: Option<u64>,
    /// Pages read so far of a listing that goes on.
    pub partial: Option<PartialListing>,
    /// Calls that failed in a row.
    pub failures: u32,
    /// Whether the last call was served, or is known to be held by a store that answers.
    pub is_reachable: bool,
    /// Until when entries that lapsed together may be coming back.
    pub returns_until: BootTime,
}

impl LaneReader {
    /// Whether the lane asks anything in a mode. A read that failed brings in the probe, which costs a tenth, until all is read.
    pub fn is_wanted(&self, mode: ReadingMode, has_failed_read: bool) -> bool {
        match (mode, self.lane) {
            (ReadingMode::Watching, _) => true,
            (ReadingMode::Once, Lane::Probe) => has_failed_read,
            (ReadingMode::Once, Lane::Configuration | Lane::Searchers) => self.after.is_none(),
            (ReadingMode::Probing, lane) => lane == Lane::Probe,
            (ReadingMode::Following, _) => false,
        }
    }

    pub fn next_call(&self, settings: &ReaderSettings) -> ReaderAction {
        if self.lane == Lane::Probe {
            return ReaderAction::Call { lane: self.lane, call: StoreCall::Probe, patience: settings.probe_patience };
        }
        let (call, patience) = match (self.after, &self.partial, self.lane) {
            (Some(after), _, lane) => {
                let call = StoreCall::Watch { lane, after, wait: settings.watch };
                (call, settings.watch + settings.patience)
            }
            (None, partial, lane) => {
                let after = partial.as_ref().map(|partial| partial.next_key.clone());
                (StoreCall::List { lane, after }, settings.patience)
            }
        };
        ReaderAction::Call { lane: self.lane, call, patience }
    }

    pub fn take_page(
        &mut self,
        now: BootTime,
        update: MirrorUpdate,
        at: u64,
        next: Option<String>,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.state = LaneState::Resting { until: now };
        let (mut whole, first_at) = match self.partial.take() {
            Some(before) => (before.update, before.first_at),
            None => (MirrorUpdate::default(), at),
        };
        whole.items.extend(update.items);
        whole.unreadable.extend(update.unreadable);
        if let Some(key) = next {
            self.partial = Some(PartialListing { update: whole, first_at, next_key: key });
            return;
        }
        // Pages are no snapshot: only what holds since the first page is known, the watch reports the rest.
        match self.lane {
            Lane::Searchers => {
                whole.is_complete_for_searchers = true;
                whole.up_to = first_at;
            }
            Lane::Configuration => {
                whole.all_evacuations_at = Some(first_at);
                whole.operator_up_to = first_at;
            }
            Lane::Probe => {}
        }
        self.after = Some(first_at);
        actions.push(ReaderAction::Learned { lane: self.lane, update: whole });
    }

    pub fn take_changes(
        &mut self,
        now: BootTime,
        mut update: MirrorUpdate,
        at: u64,
        settings: &ReaderSettings,
        actions: &mut Vec<ReaderAction>,
    ) {
        self.after = Some(self.after.map_or(at, |after| after.max(at)));
        let rest = if update.items.is_empty() { Duration::ZERO } else { self.rest_after(now, &update, settings) };
        self.state = LaneState::Resting { until: now + rest };
        match self.lane {
            Lane::Searchers => update.up_to = at,
            Lane::Configuration => update.operator_up_to = at,
            Lane::Probe => {}
        }
        actions.push(ReaderAction::Learned { lane: self.lane, update });
    }

    /// How long the lane rests after changes: shortly where entries went that may come back.
    fn rest_after(&mut self, now: BootTime, update: &MirrorUpdate, settings: &ReaderSettings) -> Duration {
        let is_end = |item: &&(u64, MirrorItem)| matches!(item.1, MirrorItem::SearcherGone { .. });
        let ends = update.items.iter().filter(is_end).count();
        if ends >= LAPSED_TOGETHER {
            self.returns_until = now + RETURN_TIME;
        }
        let looks_soon = ends > 0 || now < self.returns_until;
        match self.lane {
            Lane::Configuration => settings.configuration_rest,
            Lane::Searchers | Lane::Probe if looks_soon => settings.lapse_rest.min(settings.searcher_rest),
            Lane::Searchers | Lane::Probe => settings.searcher_rest,
        }
    }

    pub fn fail(
        &mut self,
        now: BootTime,
        settings: &ReaderSettings,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        let doubled = settings.back_off.first * (1 << self.failures.min(MAX_DOUBLINGS));
        let wait = doubled.min(settings.back_off.longest);
        self.failures = self.failures.saturating_add(1);
        // Spread, so that nodes that failed together don't come back together.
        let spread = random.random_range(0.5..1.0);
        self.state = LaneState::Resting { until: now + wait.mul_f64(spread) };
        self.set_reachable(false, actions);
    }

    pub fn set_reachable(&mut self, is_reachable: bool, actions: &mut Vec<ReaderAction>) {
        if self.is_reachable != is_reachable {
            self.is_reachable = is_reachable;
            actions.push(ReaderAction::Reachable { lane: self.lane, is_reachable });
        }
    }
}
