//! Tests of what one member sends to which others.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use staircross_cluster::membership::{
    Membership, MembershipAction, MembershipMessage, MembershipSettings, Retransmits,
};
use staircross_cluster::{Member, MemberState};
use staircross_types::{BootTime, NodeId, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(50);

fn member(number: u8) -> Member {
    let address = SocketAddr::from(([10, 0, 0, number], 1));
    Member {
        node: NodeId(u128::from(number)),
        peer_address: address,
        caller_address: address,
        region: "south".to_owned(),
        zone: ZoneName::new("hall"),
        state: MemberState::Alive,
        version: 1,
        is_ready: true,
    }
}

/// Settings in which a member sends each update few times, as gateways do.
fn settings() -> MembershipSettings {
    MembershipSettings {
        probe_interval: Duration::from_millis(200),
        retransmits: Retransmits { per_doubling: 1, additional: 3 },
        ..MembershipSettings::default()
    }
}

/// Passes a message to a member. Returns what it sends.
fn receive(receiver: &mut Membership, now: BootTime, from: u8, message: MembershipMessage) -> Vec<MembershipAction> {
    let mut actions = Vec::new();
    receiver.on_message(now, NodeId(u128::from(from)), member(from).peer_address, message, &mut actions);
    actions
}

/// Returns to whom a message is sent, its number if it is a probe, and the nodes that it has records of.
fn sent(action: &MembershipAction) -> Option<(NodeId, Option<u64>, Vec<NodeId>)> {
    let MembershipAction::Send { to: Some(to), message, .. } = action else {
        return None;
    };
    let nodes = |updates: &[Member]| updates.iter().map(|member| member.node).collect();
    match message {
        MembershipMessage::Probe { number, updates } => Some((*to, Some(*number), nodes(updates))),
        MembershipMessage::ProbeAnswer { updates, .. } => Some((*to, None, nodes(updates))),
        _ => None,
    }
}

/// Guards against a newcomer that a member of its region doesn't hear of for over a second: the node through which it had
/// joined sent the newcomer's record to the newcomer itself, counted these as sent, and dropped it before it had told
/// the other member.
#[test]
fn a_newcomer_is_told_to_the_others_and_not_to_itself() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut first = Membership::new(settings(), member(1), Vec::new());
    let start = BootTime::from_millis(1000);
    receive(&mut first, start, 3, MembershipMessage::Join { member: member(3) });
    receive(&mut first, start, 2, MembershipMessage::Join { member: member(2) });
    let (mut told_to_newcomer, mut told_to_other) = (0, 0);
    for step in 1..=20 {
        let now = start + TICK * step;
        let mut actions = Vec::new();
        first.on_tick(now, &mut random, &mut actions);
        // The newcomer probes its seed often, as the seed is half of the members that it knows.
        if step % 4 == 0 {
            let probe = MembershipMessage::Probe { number: u64::from(step), updates: Vec::new() };
            actions.extend(receive(&mut first, now, 2, probe));
        }
        for (to, number, nodes) in actions.iter().filter_map(sent) {
            let told = usize::from(nodes.contains(&NodeId(2)));
            *(if to == NodeId(2) { &mut told_to_newcomer } else { &mut told_to_other }) += told;
            if let Some(number) = number {
                // Whoever is probed answers that it knew all that it was sent.
                let answer = MembershipMessage::ProbeAnswer { number, updates: Vec::new(), known: u32::MAX };
                receive(&mut first, now, to.0 as u8, answer);
            }
        }
    }
    assert_eq!(told_to_newcomer, 0, "records of the newcomer sent to itself");
    assert!(told_to_other > 0, "the other member is told of the newcomer");
}
