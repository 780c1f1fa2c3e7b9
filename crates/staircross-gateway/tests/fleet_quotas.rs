//! Tests that a message on tenants' quotas reaches its node in a datagram, and that its bytes are counted under a
//! purpose of their own.

use mio::net::UdpSocket;
use staircross_gateway::fleet::{Fleet, FleetEvent, FleetIdentity};
use staircross_gateway::traffic::Purpose;
use staircross_quota::message::TenantHash;
use staircross_quota::{QuotaGrant, QuotaMessage};
use staircross_types::{BootTime, NodeId};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const MAX_TICKS: usize = 500;

fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

fn identity(node: u128, peers: SocketAddr) -> FleetIdentity {
    FleetIdentity {
        node: NodeId(node),
        peer_address: peers,
        caller_address: peers,
        region: "north".to_owned(),
        zone: "a".to_owned(),
    }
}

/// Ticks both nodes until `is_done` returns true for the nodes and the second one's events.
fn tick_until(
    fleets: &mut [Fleet; 2],
    now: &mut BootTime,
    mut is_done: impl FnMut(&mut [Fleet; 2], &[FleetEvent]) -> bool,
) {
    for _ in 0..MAX_TICKS {
        *now = *now + TICK;
        let mut events = [Vec::new(), Vec::new()];
        for (fleet, events) in fleets.iter_mut().zip(&mut events) {
            fleet.on_readable(*now, events);
            fleet.on_tick(*now, events);
        }
        if is_done(fleets, &events[1]) {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("`is_done` didn't return true in {MAX_TICKS} ticks");
}

#[test]
fn a_word_on_a_quota_reaches_the_node_that_it_is_for() {
    let mut now = BootTime::from_millis(1000);
    let ((first, first_address), (second, second_address)) = (socket(), socket());
    let mut fleets = [
        Fleet::new(identity(1, first_address), vec![second_address], first, now),
        Fleet::new(identity(2, second_address), vec![first_address], second, now),
    ];
    tick_until(&mut fleets, &mut now, |fleets, _| fleets.iter().all(|fleet| fleet.live_count() == 2));
    fleets.iter_mut().for_each(|fleet| fleet.set_ready(true, &mut Vec::new()));
    let both = Some(vec![NodeId(1), NodeId(2)]);
    tick_until(&mut fleets, &mut now, |fleets, _| fleets[1].take_changed_quota_nodes() == both);
    assert_eq!(fleets[1].take_changed_quota_nodes(), None, "the change is reported only once");

    let grant = QuotaMessage::Grant(QuotaGrant::new(now, TenantHash::of("t"), 0.25));
    fleets[0].send_quotas(NodeId(2), vec![grant]);
    let expected = FleetEvent::Quotas { from: NodeId(1), messages: vec![grant] };
    tick_until(&mut fleets, &mut now, |_, events| events.contains(&expected));
    let quota_bytes: u64 =
        fleets[0].traffic.nonzero_counts().filter(|(purpose, ..)| *purpose == Purpose::Quotas).map(|c| c.2).sum();
    assert!((50..250).contains(&quota_bytes), "{quota_bytes} bytes");
}
