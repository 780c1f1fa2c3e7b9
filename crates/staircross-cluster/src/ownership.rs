//! Which nodes own which searchers.
//!
//! Inputs: live members and the searchers of the configuration in force. Each group of searchers
//! is owned by a few nodes, chosen by rendezvous hashing: when a node comes or goes, only its own
//! groups change hands. Invariant: the owners' shares of a searcher's slots add up to no more than
//! its slots, for any one view of the members. Two views that differ may briefly add up to more;
//! the searcher's own slots then shed, which costs time but breaks no promise.

use crate::member::Member;
use staircross_config::{SearcherDefinition, ServiceDefinition};
use staircross_types::{GroupId, NodeId, SearcherId, ZoneName};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Owners of a group, unless its searchers have fewer slots.
pub const OWNERS_PER_GROUP: usize = 2;

/// Owners of every searcher, as seen with one view of the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipMap {
    owners: BTreeMap<SearcherId, Vec<NodeId>>,
    slots: BTreeMap<SearcherId, u32>,
}

impl OwnershipMap {
    /// Computes the owners of every searcher of `services`.
    pub fn compute<'a>(
        members: impl Iterator<Item = &'a Member>,
        services: impl Iterator<Item = &'a ServiceDefinition>,
    ) -> Self {
        let candidates: Vec<&Member> = members.filter(|member| member.takes_work()).collect();
        let mut map = OwnershipMap::default();
        for service in services {
            let mut groups: BTreeMap<GroupId, Vec<&SearcherDefinition>> = BTreeMap::new();
            for searcher in &service.searchers {
                groups.entry(searcher.group).or_default().push(searcher);
            }
            for (group, searchers) in groups {
                map.add_group(&service.name.0, group, &searchers, &candidates);
            }
        }
        map
    }

    fn add_group(&mut self, service: &str, group: GroupId, searchers: &[&SearcherDefinition], candidates: &[&Member]) {
        let fewest_slots = searchers.iter().map(|searcher| searcher.slots as usize).min().unwrap_or(1);
        let count = OWNERS_PER_GROUP.min(fewest_slots);
        let zone = searchers.first().map(|searcher| &searcher.zone);
        let owners = choose_owners(service, group, zone, candidates, count);
        for searcher in searchers {
            self.owners.insert(searcher.id, owners.clone());
            self.slots.insert(searcher.id, searcher.slots);
        }
    }

    /// Owners of a searcher, best first.
    pub fn owners(&self, searcher: SearcherId) -> &[NodeId] {
        self.owners.get(&searcher).map_or(&[], Vec::as_slice)
    }

    /// Owners in the order in which to try them for one sub-request; `turn` counts up.
    ///
    /// Owners come first as often as their share of the slots: turns spread evenly would queue at
    /// an owner with a small share while others have slots free.
    pub fn owners_in_turn(&self, searcher: SearcherId, turn: u64) -> Vec<NodeId> {
        let owners = self.owners(searcher);
        let slots = self.slots.get(&searcher).copied().unwrap_or(0);
        if owners.is_empty() || slots == 0 {
            return owners.to_vec();
        }
        let slot = (turn % u64::from(slots)) as u32;
        // Slot n belongs to owner n modulo the number of owners: exactly each one's share.
        let first = slot as usize % owners.len();
        (0..owners.len()).map(|step| owners[(first + step) % owners.len()]).collect()
    }

    /// Searchers that `node` owns, with its share of each one's slots.
    pub fn shares_of(&self, node: NodeId) -> BTreeMap<SearcherId, u32> {
        let mut shares = BTreeMap::new();
        for (searcher, owners) in &self.owners {
            let Some(position) = owners.iter().position(|owner| *owner == node) else {
                continue;
            };
            let slots = self.slots.get(searcher).copied().unwrap_or(0);
            shares.insert(*searcher, share_of(slots, owners.len() as u32, position as u32));
        }
        shares
    }
}

/// The share of the owner at `position`: all slots are given out, none twice.
fn share_of(slots: u32, owners: u32, position: u32) -> u32 {
    slots / owners + u32::from(position < slots % owners)
}

/// Owners in the searchers' own zone come first: they are a millisecond nearer.
fn choose_owners(
    service: &str,
    group: GroupId,
    zone: Option<&ZoneName>,
    candidates: &[&Member],
    count: usize,
) -> Vec<NodeId> {
    let mut ranked: Vec<(bool, u64, NodeId)> = candidates
        .iter()
        .map(|member| {
            let is_far = Some(&member.zone) != zone;
            (is_far, u64::MAX - rendezvous_weight(service.as_bytes(), u64::from(group.0), member.node), member.node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, node)| node).collect()
}

/// Weight of `node` for a key; the highest weights win.
pub fn rendezvous_weight(key: &[u8], salt: u64, node: NodeId) -> u64 {
    let key_hash = xxh3_64_with_seed(key, salt);
    xxh3_64_with_seed(&node.0.to_be_bytes(), key_hash)
}
