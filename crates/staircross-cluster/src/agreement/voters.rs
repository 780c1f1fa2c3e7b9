//! Which nodes should vote: kept up by the leader, one step at a time.
//!
//! Inputs: the present voters and the members. Three voters per zone where there are so many
//! nodes, so that a zone and one more machine can go and a majority of the region is left.

use crate::member::{Member, MemberState};
use crate::ownership::rendezvous_weight;
use crate::quorum::{Voter, VoterSet};
use staircross_types::{NodeId, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Voters per zone, where the zone has so many nodes.
pub const VOTERS_PER_ZONE: usize = 3;

/// The next voter set on the way to the wanted one; `None` when nothing is to be changed.
///
/// The leader, `me`, never removes itself: it gives up the lead first. `answers` tells who has just
/// answered the leader: just after a cut has healed, members still take each other for dead.
pub fn next_voters(
    voters: &VoterSet,
    members: &BTreeMap<NodeId, Member>,
    me: NodeId,
    answers: impl Fn(NodeId) -> bool,
) -> Option<VoterSet> {
    if let Some(gone) = find_gone(voters, members, answers) {
        return Some(voters.without(gone));
    }
    // Whoever leaves as planned goes after its replacement has come; but while many leave at once
    // the set must not grow: its size is what every majority is counted by.
    let leaving = find_leaving(voters, members, me);
    if let Some(node) = leaving.filter(|node| is_crowded(voters, *node, members)) {
        return Some(voters.without(node));
    }
    if let Some(member) = find_wanted(voters, members) {
        return Some(voters.with(member.node, voter_of(member)));
    }
    leaving.map(|node| voters.without(node))
}

/// Whether the node's region has more voters than its zones should have.
fn is_crowded(voters: &VoterSet, node: NodeId, members: &BTreeMap<NodeId, Member>) -> bool {
    let Some(region) = voters.voters.get(&node).map(|voter| &voter.region) else {
        return false;
    };
    let in_region = members.values().filter(|member| member.region == *region && !member.is_gone());
    let zones: BTreeSet<&ZoneName> = in_region.map(|member| &member.zone).collect();
    voters.in_region(region).count() > zones.len() * VOTERS_PER_ZONE
}

/// The record of a member as a voter.
pub fn voter_of(member: &Member) -> Voter {
    Voter { region: member.region.clone(), zone: member.zone.clone(), address: member.peer_address }
}

fn is_last_of_region(voters: &VoterSet, node: NodeId) -> bool {
    let Some(voter) = voters.voters.get(&node) else {
        return false;
    };
    voters.in_region(&voter.region).count() == 1
}

fn find_gone(
    voters: &VoterSet,
    members: &BTreeMap<NodeId, Member>,
    answers: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let is_gone = |node: &NodeId| members.get(node).is_none_or(Member::is_gone) && !answers(*node);
    voters.voters.keys().copied().find(|node| is_gone(node) && !is_last_of_region(voters, *node))
}

fn find_leaving(voters: &VoterSet, members: &BTreeMap<NodeId, Member>, me: NodeId) -> Option<NodeId> {
    let is_leaving = |node: &NodeId| members.get(node).is_some_and(|member| member.state == MemberState::Leaving);
    let mut others = voters.voters.keys().copied().filter(|node| *node != me);
    others.find(|node| is_leaving(node) && !is_last_of_region(voters, *node))
}

fn find_wanted<'a>(voters: &VoterSet, members: &'a BTreeMap<NodeId, Member>) -> Option<&'a Member> {
    let is_staying = |node: &NodeId| members.get(node).is_some_and(|member| member.state != MemberState::Leaving);
    let staying_in_zone = |member: &Member| {
        let in_zone = voters.in_region(&member.region).filter(|(_, voter)| voter.zone == member.zone);
        in_zone.filter(|(node, _)| is_staying(node)).count()
    };
    let candidates = members.values().filter(|member| {
        member.state == MemberState::Alive && !voters.contains(member.node) && staying_in_zone(member) < VOTERS_PER_ZONE
    });
    // Zones with the fewest voters first; a fixed order among equals keeps two leaders from disagreeing.
    candidates.min_by_key(|member| (staying_in_zone(member), rendezvous_weight(b"voter", 0, member.node)))
}
