//! Which contents go with the next datagram to peers.
//!
//! Contents that have become more suspect come first: each moment until peers know may cost one searcher a shard. The others take turns, by key,
//! quarantined ones apart from the rest, so that each comes around however many there are.

use super::case::Case;
use super::suspicion::Suspicion;
use crate::keys::ContentKey;
use staircross_types::BootTime;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

/// Quarantined contents that take their turn with one datagram. With [`SENT_OTHERS`], for some 500 bytes a datagram.
const SENT_QUARANTINED: usize = 3;
/// Other contents that take their turn with one datagram. Below [`SENT_QUARANTINED`], which protect more.
const SENT_OTHERS: usize = 2;
/// Contents that one datagram holds at most, some 100 bytes each. One turn of both kinds.
const MAX_SENT: usize = SENT_QUARANTINED + SENT_OTHERS;
/// Newly raised contents that go with one datagram, ahead of the others. To leave two places to the turns.
const SENT_RAISED: usize = 3;
/// Newly raised contents that wait to be sent; older ones are left to their turns. For some five datagrams.
const MAX_RAISED: usize = 16;

/// Whose turn it is.
#[derive(Debug, Default)]
pub(super) struct SendingTurns {
    last_quarantined: Option<ContentKey>,
    last_other: Option<ContentKey>,
    /// Contents that have become more suspect since they were sent last, newest first.
    raised: VecDeque<ContentKey>,
}

impl SendingTurns {
    /// Has a content that has become more suspect sent ahead of the others.
    pub fn raise(&mut self, content: ContentKey) {
        self.raised.retain(|known| *known != content);
        self.raised.push_front(content);
        self.raised.truncate(MAX_RAISED);
    }

    /// The contents that go with the next datagram; some may not be among `cases` any more.
    pub fn next(&mut self, now: BootTime, cases: &BTreeMap<ContentKey, Case>) -> Vec<ContentKey> {
        let is_quarantined = |case: &Case| case.suspicion(now) == Suspicion::Quarantined;
        let is_other = |case: &Case| !is_quarantined(case) && case.is_worth_sending(now);
        let raised = self.take_raised();
        let quarantined = next_turns(cases, self.last_quarantined, SENT_QUARANTINED, is_quarantined);
        let others = next_turns(cases, self.last_other, SENT_OTHERS, is_other);
        self.last_quarantined = quarantined.last().copied();
        self.last_other = others.last().copied();
        let by_turns = quarantined.into_iter().chain(others).filter(|content| !raised.contains(content));
        raised.iter().copied().chain(by_turns).take(MAX_SENT).collect()
    }

    fn take_raised(&mut self) -> Vec<ContentKey> {
        let count = self.raised.len().min(SENT_RAISED);
        self.raised.drain(..count).collect()
    }
}

/// The contents that come after the one sent last, and then from the beginning.
fn next_turns(
    cases: &BTreeMap<ContentKey, Case>,
    last: Option<ContentKey>,
    most: usize,
    is_wanted: impl Fn(&Case) -> bool,
) -> Vec<ContentKey> {
    let after = last.map_or(Bound::Unbounded, Bound::Excluded);
    let until = last.map_or(Bound::Excluded(ContentKey(0)), Bound::Included);
    let later = cases.range((after, Bound::Unbounded));
    let earlier = cases.range((Bound::Unbounded, until));
    let wanted = later.chain(earlier).filter(|(_, case)| is_wanted(case));
    wanted.map(|(content, _)| *content).take(most).collect()
}
