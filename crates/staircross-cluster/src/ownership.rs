//! Assignment of searchers to owner nodes.
//!
//! The assignment is computed from the live members and the searchers of the configuration in force. Each
//! group of searchers is owned by a few nodes, chosen by rendezvous hashing, so that only the groups of a node
//! that joins or leaves change owners.
//!
//! Invariant: for any one set of members, the owners' shares of a searcher's slots add up to no more than its
//! slots. Nodes with different member records may briefly use more in sum; the searcher then sheds the excess,
//! which costs time but violates no guarantee.

use crate::member::Member;
use staircross_config::{SearcherDefinition, ServiceDefinition};
use staircross_types::{GroupId, NodeId, SearcherId, ZoneName};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of owners of a group. If a searcher of the group has fewer slots than this, the group has only as many owners
/// as that searcher has slots; each owner then has at least one slot.
pub const OWNERS_PER_GROUP: usize = 2;

/// Owners and slots of every searcher, for one set of members.
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

    /// Returns the owners of a searcher, in order of rank.
    pub fn owners(&self, searcher: SearcherId) -> &[NodeId] {
        self.owners.get(&searcher).map_or(&[], Vec::as_slice)
    }

    /// Returns the owners in the order in which to try them for one sub-request. The caller raises `turn` by one for
    /// each sub-request.
    ///
    /// Each owner comes first in proportion to its share of the slots. If all owners came first equally often, requests
    /// would queue at an owner with a small share while other owners have free slots.
    pub fn owners_in_turn(&self, searcher: SearcherId, turn: u64) -> Vec<NodeId> {
        let owners = self.owners(searcher);
        let slots = self.slots.get(&searcher).copied().unwrap_or(0);
        if owners.is_empty() || slots == 0 {
            return owners.to_vec();
        }
        let slot = (turn % u64::from(slots)) as u32;
        // Slot n belongs to owner n modulo the number of owners, which gives each owner exactly its share.
        let first = slot as usize % owners.len();
        (0..owners.len()).map(|step| owners[(first + step) % owners.len()]).collect()
    }

    /// Returns the searchers that `node` owns, with the node's share of the slots of each.
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

/// Returns the number of slots of the owner at `position`; the shares of all owners add up to `slots`.
fn share_of(slots: u32, owners: u32, position: u32) -> u32 {
    slots / owners + u32::from(position < slots % owners)
}

/// Chooses up to `count` owners of a group. Nodes in the searchers' zone come first, because their latency is a
/// millisecond lower.
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
            let is_in_other_zone = Some(&member.zone) != zone;
            (
                is_in_other_zone,
                u64::MAX - rendezvous_weight(service.as_bytes(), u64::from(group.0), member.node),
                member.node,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, node)| node).collect()
}

/// Returns the weight of `node` for a key and a salt in rendezvous hashing. The nodes with the highest weights are
/// chosen.
pub fn rendezvous_weight(key: &[u8], salt: u64, node: NodeId) -> u64 {
    let key_hash = xxh3_64_with_seed(key, salt);
    xxh3_64_with_seed(&node.0.to_be_bytes(), key_hash)
}
