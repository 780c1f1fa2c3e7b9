//! One lane: its next call, and how it handles the replies.
//!
//! A lane holds the revision that it has reached, the pages of an incomplete listing, and the time of the next call.
//! [`StoreReader`](super::StoreReader) decides whether the lane makes calls at all.

use super::message::{CancelCause, Lane, ReaderAction, ReaderSettings, ReadingMode, StoreCall};
use super::reported::ProbedRevision;
use crate::state::mirror::{MirrorItem, MirrorUpdate};
use crate::state::searcher_entry::REREGISTRATION_TIME;
use crate::state::store_revision::StoreRevision;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use staircross_types::BootTime;
use std::time::Duration;

/// Number of removed entries in one reply from which on they count as lapsed, to be written anew one by one, rather
/// than as removed by leaving searchers. It is above the number of searchers that leave during one pause of the lane.
const MIN_LAPSED_ENTRIES: usize = 8;
/// Maximum number of doublings of the back-off. [`Backoff::longest`](super::Backoff) is reached before; the limit only
/// prevents an overflow of the shift.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Time for which the store may hold a watch that confirms that nothing has changed. The store takes whole milliseconds.
const CONFIRMING_WATCH: Duration = Duration::from_millis(1);

#[derive(Clone, Debug, PartialEq)]
pub(super) enum LaneState {
    /// The next call is due at this time.
    Scheduled { at: BootTime },
    /// A call is open.
    Calling,
    /// The last call and the last probe failed: the lane makes no call until the store answers a probe.
    AwaitingProbe,
    /// The mode doesn't use this lane, because peers send what is new or because the lane has read all it needs.
    Suspended,
}

/// The pages of an incomplete listing.
#[derive(Debug)]
pub(super) struct PartialListing {
    update: MirrorUpdate,
    /// The store's revision when the first page was read.
    first_revision: StoreRevision,
    /// Revision up to which a watch has reported the changes since the first page.
    watched_up_to: StoreRevision,
    /// Key after which the next page starts.
    pub next_key: String,
    /// Number of pages.
    pages: u32,
    /// Time of the call for the first page.
    begun_at: BootTime,
}

impl PartialListing {
    fn new(first_revision: StoreRevision, begun_at: BootTime) -> Self {
        PartialListing {
            update: MirrorUpdate::default(),
            first_revision,
            watched_up_to: first_revision,
            next_key: String::new(),
            pages: 0,
            begun_at,
        }
    }
}

#[derive(Debug)]
pub(super) struct LaneReader {
    pub lane: Lane,
    pub state: LaneState,
    /// Revision up to which all changes are known; `None` before the first complete listing.
    pub known_revision: Option<StoreRevision>,
    /// Whether the items were known before, so that a listing is made anew.
    pub was_known: bool,
    /// The pages read so far of an incomplete listing.
    pub partial: Option<PartialListing>,
    /// Number of failed calls in a row.
    pub failures: u32,
    /// Whether the store has refused a call since it last answered one.
    pub is_refused: bool,
    /// Whether the last call was answered, or is an open watch of a store that answers probes.
    pub is_reachable: bool,
    /// Time until which entries that lapsed together may still be written anew.
    pub reregistration_until: BootTime,
    /// Time of the last reply to a call of the lane; before the first reply, the time of the first call. `None` while
    /// the mode doesn't use the lane.
    pub answered_at: Option<BootTime>,
    /// Time of the last call of the lane.
    pub called_at: BootTime,
    /// Whether a part of the reply to the open call has arrived.
    pub is_receiving: bool,
    /// Whether the next complete reply is reported as a confirmation. Until then the lane is used in every mode.
    pub must_confirm: bool,
    /// What the first probe returned that showed a change which the lane hasn't reported since; `None` if there is none.
    pub unreported: Option<ProbedRevision>,
    /// Newest revision that was known at the last listing for a missed change.
    pub listed_beyond: StoreRevision,
    /// Time until which missed changes are looked for by watches alone.
    pub listing_paused_until: BootTime,
}

impl LaneReader {
    /// Returns whether the mode uses the lane. In [`ReadingMode::Once`] a failed read adds the probe until everything
    /// is read, because a probe costs a tenth of a read. `has_pages` says whether further pages of searchers are to be
    /// read.
    pub fn is_used(&self, mode: ReadingMode, has_failed_read: bool, has_pages: bool) -> bool {
        match (mode, self.lane) {
            (_, Lane::SearcherPages) => has_pages,
            (ReadingMode::Watching, _) => true,
            (_, Lane::Configuration | Lane::Searchers) if self.must_confirm => true,
            (ReadingMode::Once, Lane::Probe) => has_failed_read,
            (ReadingMode::Once, Lane::Configuration) => self.known_revision.is_none(),
            (ReadingMode::Once, Lane::Searchers) => self.known_revision.is_none() && !has_pages,
            (ReadingMode::Probing, lane) => lane == Lane::Probe,
            (ReadingMode::Following, _) => false,
        }
    }

    /// Returns the next call of the lane: a probe, a page of a listing, or a watch from the known revision. `next_page` is
    /// the key after which the next of the further pages of searchers starts.
    pub fn next_call(&self, settings: &ReaderSettings, next_page: Option<String>) -> ReaderAction {
        let lane = self.lane;
        let watched_up_to = self.partial.as_ref().map(|partial| partial.watched_up_to);
        // During a listing, the watch runs beside it and would be repeated without a pause.
        let is_confirming = self.must_confirm && self.partial.is_none();
        let wait = if is_confirming { CONFIRMING_WATCH } else { settings.watch };
        let watch = |after| (StoreCall::Watch { lane, after, wait }, wait + settings.call_timeout);
        let (call, timeout) = match (lane, self.known_revision, watched_up_to) {
            (Lane::Probe, ..) => (StoreCall::Probe, settings.probe_timeout),
            (Lane::SearcherPages, ..) => {
                (StoreCall::List { lane: Lane::Searchers, after: next_page }, settings.call_timeout)
            }
            (_, Some(after), _) => watch(after),
            // Otherwise a change of an item on a page that was read before would stay unknown until the last page.
            (Lane::Searchers, None, Some(after)) => watch(after),
            _ => {
                let after = self.partial.as_ref().map(|partial| partial.next_key.clone());
                (StoreCall::List { lane, after }, settings.call_timeout)
            }
        };
        ReaderAction::Call { lane, call, timeout }
    }

    /// Drops the pages that have been read of an incomplete listing. A watch beside it would be taken for one that goes on
    /// from a complete listing, so it is given up.
    pub fn drop_listing(&mut self, now: BootTime, actions: &mut Vec<ReaderAction>) {
        if self.partial.take().is_some() && self.state == LaneState::Calling {
            actions.push(ReaderAction::Cancel { lane: self.lane, cause: CancelCause::Unused });
            self.state = LaneState::Scheduled { at: now };
        }
    }

    /// Adds a page to the listing in progress and, after the last page, emits the whole listing as an update.
    pub fn handle_page(
        &mut self,
        now: BootTime,
        update: MirrorUpdate,
        revision: StoreRevision,
        next: Option<String>,
        actions: &mut Vec<ReaderAction>,
    ) {
        let before = self.partial.take().unwrap_or_else(|| PartialListing::new(revision, self.called_at));
        let PartialListing { update: mut listing, first_revision, watched_up_to, pages, begun_at, .. } = before;
        let pages = pages + 1;
        listing.items.extend(update.items.iter().cloned());
        listing.unreadable.extend(update.unreadable.iter().cloned());
        if let Some(next_key) = next {
            if self.lane == Lane::Searchers && self.was_known {
                // What a page shows of searchers that may be in use is known at once. It makes nothing completely known.
                listing.unreadable.clear();
                actions.push(ReaderAction::Learned { lane: self.lane, update });
            }
            let update = listing;
            self.partial = Some(PartialListing { update, first_revision, watched_up_to, next_key, pages, begun_at });
            return;
        }
        actions.push(ReaderAction::Listed { lane: self.lane, pages, took: now.since(begun_at) });
        // The pages aren't a snapshot, since items may have changed between them. The listing is complete only up to
        // the revision of the first page; the watch reports later changes.
        match self.lane {
            Lane::Searchers => {
                listing.is_complete_for_searchers = true;
                listing.up_to = first_revision;
                listing.newest = first_revision;
            }
            Lane::Configuration => {
                listing.all_evacuations_at = Some(first_revision);
                listing.operator_up_to = first_revision;
            }
            Lane::Probe | Lane::SearcherPages => {}
        }
        self.known_revision = Some(watched_up_to);
        self.was_known = true;
        actions.push(ReaderAction::Learned { lane: self.lane, update: listing });
        if watched_up_to > first_revision {
            // The changes that the watch has reported meanwhile complete the listing up to there.
            let update = MirrorUpdate { up_to: watched_up_to, ..MirrorUpdate::default() };
            actions.push(ReaderAction::Learned { lane: self.lane, update });
        }
        self.report_confirmation(begun_at, actions);
    }

    /// Emits the changes that a watch has found and schedules the next watch.
    pub fn handle_changes(
        &mut self,
        now: BootTime,
        mut update: MirrorUpdate,
        revision: StoreRevision,
        settings: &ReaderSettings,
        actions: &mut Vec<ReaderAction>,
    ) {
        let is_complete = match &mut self.partial {
            Some(partial) => {
                partial.watched_up_to = partial.watched_up_to.max(revision);
                false
            }
            None => {
                self.known_revision = Some(self.known_revision.map_or(revision, |known| known.max(revision)));
                true
            }
        };
        let pause = if update.items.is_empty() { Duration::ZERO } else { self.pause_after(now, &update, settings) };
        self.state = LaneState::Scheduled { at: now + pause };
        match self.lane {
            Lane::Searchers if is_complete => update.up_to = revision,
            Lane::Configuration => update.operator_up_to = revision,
            Lane::Searchers | Lane::Probe | Lane::SearcherPages => {}
        }
        actions.push(ReaderAction::Learned { lane: self.lane, update });
        if is_complete {
            self.report_confirmation(self.called_at, actions);
        }
    }

    /// Returns the pause of the lane after changes. It is short after removals of searchers, which may be written anew.
    fn pause_after(&mut self, now: BootTime, update: &MirrorUpdate, settings: &ReaderSettings) -> Duration {
        let is_removal = |item: &&(StoreRevision, MirrorItem)| matches!(item.1, MirrorItem::SearcherGone { .. });
        let removals = update.items.iter().filter(is_removal).count();
        self.note_removals(now, removals);
        let is_short = removals > 0 || now < self.reregistration_until;
        match self.lane {
            Lane::Configuration => settings.configuration_pause,
            _ if is_short => settings.removal_pause.min(settings.searcher_pause),
            Lane::Searchers | Lane::Probe | Lane::SearcherPages => settings.searcher_pause,
        }
    }

    /// Records that entries were removed together. Many entries have lapsed rather than been removed by leaving searchers.
    pub fn note_removals(&mut self, now: BootTime, removals: usize) {
        if removals >= MIN_LAPSED_ENTRIES {
            self.reregistration_until = now + REREGISTRATION_TIME;
        }
    }

    /// Schedules a retry of a failed call, with exponential back-off and jitter, and marks the lane as unreachable.
    pub fn handle_failure(
        &mut self,
        now: BootTime,
        settings: &ReaderSettings,
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ReaderAction>,
    ) {
        let doubled = settings.back_off.first * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        let wait = doubled.min(settings.back_off.longest);
        self.failures = self.failures.saturating_add(1);
        // The jitter prevents nodes that failed together from retrying together.
        let jitter = random.random_range(0.5..1.0);
        self.state = LaneState::Scheduled { at: now + wait.mul_f64(jitter) };
        self.set_reachable(false, actions);
    }

    /// Sets whether the store answers the lane's calls, and emits an action if that changed.
    pub fn set_reachable(&mut self, is_reachable: bool, actions: &mut Vec<ReaderAction>) {
        if self.is_reachable != is_reachable {
            self.is_reachable = is_reachable;
            actions.push(ReaderAction::Reachable { lane: self.lane, is_reachable });
        }
    }
}
