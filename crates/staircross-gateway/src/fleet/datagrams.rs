//! Sends datagrams to peers, and receives and dispatches theirs.
//!
//! This module owns the socket and counts the datagrams sent. It relies on `announcement` for the format of a datagram.
//! The content of a datagram goes to the membership, to the peers' announcements, and to the node as events. A datagram
//! may be lost anywhere. It isn't sent again, since the membership and the tick repeat everything that matters.

use super::announcement::PeerDatagram;
use super::incarnation::is_same_node;
use super::{Fleet, FleetEvent};
use crate::load::is_pressed;
use crate::traffic::{Purpose, Reach};
use mio::net::UdpSocket;
use staircross_cluster::membership::MembershipMessage;
use staircross_quota::QuotaMessage;
use staircross_types::{BootTime, NodeId};
use staircross_wire::frame::{decode, encode};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Maximum length of a received datagram, in bytes; a longer one is truncated and counts as unreadable. It is above the
/// 1,500 bytes that a link carries unfragmented.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The UDP socket for datagrams between peers.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    /// Last time at which all waiting datagrams had been read.
    drained_at: BootTime,
}

impl PeerSocket {
    /// Wraps a socket on which no datagram is waiting at `now`.
    pub(super) fn new(socket: UdpSocket, now: BootTime) -> Self {
        PeerSocket { socket, drained_at: now }
    }

    /// Returns the last time at which all waiting datagrams had been read.
    pub(super) fn drained_at(&self) -> BootTime {
        self.drained_at
    }

    /// Reads the next waiting datagram.
    fn receive(&mut self, now: BootTime, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(buffer) {
                Ok(received) => return Some(received),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.drained_at = now;
                    return None;
                }
                // The call was interrupted, or a peer refused an earlier datagram. The next one may be of another peer.
                Err(_) => {}
            }
        }
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        // An error is ignored: datagrams may be lost anywhere, and the protocol repeats what matters.
        let _may_be_lost = self.socket.send_to(bytes, address);
    }
}

impl Fleet {
    /// Reads and handles all waiting datagrams.
    pub fn on_readable(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        while let Some((length, from)) = self.socket.receive(now, &mut buffer) {
            self.handle_datagram(now, &buffer[..length], from, events);
        }
    }

    fn handle_datagram(&mut self, now: BootTime, bytes: &[u8], from: SocketAddr, events: &mut Vec<FleetEvent>) {
        let Ok(datagram) = decode::<PeerDatagram>(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        if datagram.from == self.node {
            return;
        }
        if let Some(to) = datagram.to.filter(|to| *to != self.node) {
            return self.handle_misaddressed(to, datagram.from, from, events);
        }
        if self.isolation_detector.record_datagram(now) {
            events.push(FleetEvent::Isolated { is_isolated: false });
        }
        let before = self.peer_announcements.insert(datagram.from, datagram.announcement);
        let was_pressed = before.is_some_and(|known| is_pressed(known.load));
        if was_pressed != is_pressed(datagram.announcement.load) {
            self.directory_built_at = None;
        }
        self.record_heartbeat(now, datagram.from, &datagram.announcement);
        self.record_confirmation(datagram.from);
        if !datagram.cases.is_empty() {
            events.push(FleetEvent::CaseRecords(datagram.cases));
        }
        if !datagram.quotas.is_empty() {
            events.push(FleetEvent::Quotas { from: datagram.from, messages: datagram.quotas });
        }
        let Some(message) = datagram.message else {
            return;
        };
        let mut actions = Vec::new();
        self.membership.on_message(now, datagram.from, from, message, &mut actions);
        self.apply_actions(actions, events);
    }

    /// Handles a datagram for another incarnation at this address. Its content isn't used, but its sender is told of
    /// this incarnation if the datagram was for an earlier incarnation of this node. Otherwise it was for a node of
    /// another fleet that had the address.
    fn handle_misaddressed(&mut self, to: NodeId, from: NodeId, address: SocketAddr, events: &mut Vec<FleetEvent>) {
        if !is_same_node(self.node, to) {
            return;
        }
        let mut actions = Vec::new();
        self.membership.on_misaddressed(from, address, &mut actions);
        self.apply_actions(actions, events);
    }

    pub(super) fn send_message(&mut self, to: Option<NodeId>, address: SocketAddr, message: MembershipMessage) {
        self.send_datagram(to, address, Some(message));
    }

    /// Sends a datagram with the current announcement and case records, and with `message` if there is one.
    pub(super) fn send_datagram(
        &mut self,
        to: Option<NodeId>,
        address: SocketAddr,
        message: Option<MembershipMessage>,
    ) {
        let datagram = PeerDatagram {
            from: self.node,
            to,
            announcement: self.own_announcement,
            cases: self.case_records.clone(),
            quotas: Vec::new(),
            message,
        };
        self.encode_and_send(Purpose::Membership, &datagram, address);
    }

    /// Sends messages about tenants' quotas to a peer, even if the peer counts as gone, since it may still act as the
    /// owner of a tenant.
    pub fn send_quotas(&mut self, to: NodeId, messages: Vec<QuotaMessage>) {
        let Some(address) = self.membership.get(to).map(|member| member.peer_address) else {
            return;
        };
        let datagram = PeerDatagram {
            from: self.node,
            to: Some(to),
            announcement: self.own_announcement,
            cases: Vec::new(),
            quotas: messages,
            message: None,
        };
        self.encode_and_send(Purpose::Quotas, &datagram, address);
    }

    fn encode_and_send(&mut self, purpose: Purpose, datagram: &PeerDatagram, address: SocketAddr) {
        let Ok(bytes) = encode(datagram) else {
            self.counters.unreadable += 1;
            return;
        };
        self.counters.datagrams += 1;
        self.counters.bytes += bytes.len() as u64;
        let reach = datagram.to.map_or(Reach::Unknown, |node| self.reach_of(node));
        self.traffic.count(purpose, reach, bytes.len());
        self.socket.send(&bytes, address);
    }
}
