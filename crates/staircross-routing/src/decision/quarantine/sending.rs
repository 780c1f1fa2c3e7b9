//! Selects the contents that are reported to peers with the next datagram.
//!
//! Contents whose suspicion level has risen come first: until peers know of it, each may send the content to one
//! searcher of each shard. The other contents take turns by key. Quarantined contents take turns apart from the rest,
//! so that each is sent eventually however many there are.

use super::case::Case;
use super::suspicion::Suspicion;
use crate::keys::ContentKey;
use staircross_types::BootTime;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Quarantined contents that take their turn with one datagram. Together with [`OTHERS_PER_DATAGRAM`], a datagram
/// carries some 500 bytes of them.
const QUARANTINED_PER_DATAGRAM: usize = 3;
/// Other contents that take their turn with one datagram. The number is below [`QUARANTINED_PER_DATAGRAM`], since
/// reports of quarantined contents protect more.
const OTHERS_PER_DATAGRAM: usize = 2;
/// Maximum number of contents in one datagram, some 100 bytes each. It is the sum of one turn of both kinds.
const MAX_CONTENTS_PER_DATAGRAM: usize = QUARANTINED_PER_DATAGRAM + OTHERS_PER_DATAGRAM;
/// Contents with a newly raised level that one datagram carries ahead of the others. This leaves two places for
/// contents that take turns.
const RAISED_PER_DATAGRAM: usize = 3;
/// Maximum number of contents with a newly raised level that wait to be sent, enough for some five datagrams. Older
/// ones are sent when their turn comes.
const MAX_RAISED_WAITING: usize = 16;

/// Position of each round-robin turn, and the contents to send ahead of it.
#[derive(Debug, Default)]
pub(super) struct ReportSchedule {
    /// Quarantined content that was sent last by its turn.
    last_quarantined: Option<ContentKey>,
    /// Other content that was sent last by its turn.
    last_other: Option<ContentKey>,
    /// Contents whose level has risen since they were last sent, newest first.
    raised: VecDeque<ContentKey>,
}

impl ReportSchedule {
    /// Marks a content whose suspicion level has risen to be sent ahead of the others.
    pub fn send_first(&mut self, content: ContentKey) {
        self.raised.retain(|known| *known != content);
        self.raised.push_front(content);
        self.raised.truncate(MAX_RAISED_WAITING);
    }

    /// Returns the contents to report with the next datagram. Some may no longer be among `cases`.
    pub fn next_contents(&mut self, now: BootTime, cases: &BTreeMap<ContentKey, Case>) -> Vec<ContentKey> {
        let is_quarantined = |case: &Case| case.suspicion(now) == Suspicion::Quarantined;
        let is_other = |case: &Case| !is_quarantined(case) && case.is_due_for_report(now);
        let raised = self.take_raised();
        let quarantined = next_by_key(cases, self.last_quarantined, QUARANTINED_PER_DATAGRAM, is_quarantined);
        let others = next_by_key(cases, self.last_other, OTHERS_PER_DATAGRAM, is_other);
        self.last_quarantined = quarantined.last().copied();
        self.last_other = others.last().copied();
        let by_turns = quarantined.into_iter().chain(others).filter(|content| !raised.contains(content));
        raised.iter().copied().chain(by_turns).take(MAX_CONTENTS_PER_DATAGRAM).collect()
    }

    fn take_raised(&mut self) -> Vec<ContentKey> {
        let count = self.raised.len().min(RAISED_PER_DATAGRAM);
        self.raised.drain(..count).collect()
    }
}

/// Returns up to `limit` wanted contents that follow `last` by key, continuing from the beginning at the end.
fn next_by_key(
    cases: &BTreeMap<ContentKey, Case>,
    last: Option<ContentKey>,
    limit: usize,
    is_wanted: impl Fn(&Case) -> bool,
) -> Vec<ContentKey> {
    let after = last.map_or(Bound::Unbounded, Bound::Excluded);
    let until = last.map_or(Bound::Excluded(ContentKey(0)), Bound::Included);
    let later = cases.range((after, Bound::Unbounded));
    let earlier = cases.range((Bound::Unbounded, until));
    let wanted = later.chain(earlier).filter(|(_, case)| is_wanted(case));
    wanted.map(|(content, _)| *content).take(limit).collect()
}
