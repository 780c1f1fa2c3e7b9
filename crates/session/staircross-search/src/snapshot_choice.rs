//! Choice of the snapshot that a service is served from.
//!
//! Inputs: the service's shard maps and the views of its searchers. Invariants: a request gets no snapshot older than
//! its session's floor, which is the newest snapshot that the session has seen. A root moves a service to a newer
//! snapshot only when that is covered at least as well as the one served now.

use crate::view::SearcherView;
use hashbrown::HashMap;
use staircross_types::{SearcherId, ShardMap, Snapshot};
use std::sync::Arc;

/// A snapshot that could be served, with its coverage.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The snapshot's shard map.
    pub map: Arc<ShardMap>,
    /// Number of its shards that have a replica which serves the snapshot.
    pub covered: usize,
}

/// Counts the covered shards of every shard map and returns the candidates, the newest snapshot first.
pub fn evaluate_candidates(maps: &[Arc<ShardMap>], views: &HashMap<SearcherId, SearcherView>) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> =
        maps.iter().map(|map| Candidate { map: map.clone(), covered: covered_shards(map, views) }).collect();
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.map.snapshot));
    candidates
}

/// Counts the shards of a map that have a replica which serves the map's snapshot.
fn covered_shards(map: &ShardMap, views: &HashMap<SearcherId, SearcherView>) -> usize {
    let serves = |searcher: &SearcherId| views.get(searcher).is_some_and(|view| view.serves(map.snapshot));
    map.shards.iter().filter(|placement| placement.replicas.iter().any(serves)).count()
}

/// Chooses the snapshot that a service is served from, given the one that it was served from so far.
pub fn choose_current(candidates: &[Candidate], current: Option<Snapshot>) -> Option<Snapshot> {
    let serving = candidates.iter().find(|candidate| Some(candidate.map.snapshot) == current);
    let Some(serving) = serving.filter(|candidate| candidate.covered > 0) else {
        return best_covered(candidates.iter());
    };
    let newer = candidates.iter().filter(|candidate| candidate.map.snapshot > serving.map.snapshot);
    // The covered fractions are compared: after a repartition the two maps have different numbers of shards.
    let at_least_as_good = newer.filter(|candidate| {
        candidate.covered * serving.map.shards.len() >= serving.covered * candidate.map.shards.len()
    });
    best_covered(at_least_as_good).or(current)
}

/// What one request requires of its snapshot.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotNeeds<'a> {
    /// Oldest snapshot that may be used: the newest one that the session has seen.
    pub floor: Option<Snapshot>,
    /// Least coverage, in shards per thousand.
    pub least_coverage_per_mille: u32,
    /// Snapshots that the request was planned on before and that are gone.
    pub excluded: &'a [Snapshot],
}

/// Chooses the snapshot for one request: the service's current one if it is allowed and covered well enough, otherwise
/// the allowed one with the best coverage.
pub fn choose_for_request<'a>(
    candidates: &'a [Candidate],
    current: Option<Snapshot>,
    needs: SnapshotNeeds<'_>,
) -> Option<&'a Candidate> {
    let allowed = |candidate: &&Candidate| {
        let snapshot = candidate.map.snapshot;
        needs.floor.is_none_or(|floor| snapshot >= floor) && !needs.excluded.contains(&snapshot)
    };
    let is_enough = |candidate: &&Candidate| {
        candidate.covered > 0
            && candidate.covered * 1000 >= candidate.map.shards.len() * needs.least_coverage_per_mille as usize
    };
    let preferred = candidates.iter().filter(allowed).find(|candidate| Some(candidate.map.snapshot) == current);
    if let Some(preferred) = preferred.filter(is_enough) {
        return Some(preferred);
    }
    let wanted = best_covered(candidates.iter().filter(allowed))?;
    candidates.iter().find(|candidate| candidate.map.snapshot == wanted)
}

/// Returns the snapshot with the best coverage, and among equals the newest; `None` when no candidate is covered.
fn best_covered<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<Snapshot> {
    let best = candidates.filter(|candidate| candidate.covered > 0).max_by(|left, right| {
        let left_share = left.covered * right.map.shards.len();
        let right_share = right.covered * left.map.shards.len();
        left_share.cmp(&right_share).then(left.map.snapshot.cmp(&right.map.snapshot))
    });
    best.map(|candidate| candidate.map.snapshot)
}
