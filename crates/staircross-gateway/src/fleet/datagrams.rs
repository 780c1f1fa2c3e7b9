//! Datagrams between peers: the socket, reading them, and writing them.
//!
//! Owns the socket and the count of what passes through it. Relies on `announcement` for a datagram's form; what a datagram says is for
//! membership, the announcements and the node's events. A datagram may be lost anywhere: nothing here is repeated, since membership and
//! the tick repeat what matters.

use super::announcement::PeerDatagram;
use super::incarnation::are_of_one_node;
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

/// Longest datagram that is read, in bytes; a longer one is cut and counts as unreadable. Above the 1,500 bytes that a link carries whole.
const MAX_DATAGRAM: usize = 2048;

/// The socket for peers.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    drained_at: BootTime,
}

impl PeerSocket {
    /// A socket on which nothing waits at `now`.
    pub(super) fn new(socket: UdpSocket, now: BootTime) -> Self {
        PeerSocket { socket, drained_at: now }
    }

    /// When last no datagram waited to be read any more.
    pub(super) fn drained_at(&self) -> BootTime {
        self.drained_at
    }

    /// Reads the next datagram that waits.
    fn receive(&mut self, now: BootTime, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(buffer) {
                Ok(received) => return Some(received),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.drained_at = now;
                    return None;
                }
                // Interrupted, or a peer refused an earlier datagram; the next may be another's.
                Err(_) => {}
            }
        }
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) {
        // Datagrams may be lost anywhere; the protocol repeats what matters.
        let _may_be_lost = self.socket.send_to(bytes, address);
    }
}

impl Fleet {
    /// Reads all datagrams that wait.
    pub fn on_readable(&mut self, now: BootTime, events: &mut Vec<FleetEvent>) {
        let mut buffer = [0_u8; MAX_DATAGRAM];
        while let Some((length, from)) = self.socket.receive(now, &mut buffer) {
            self.take(now, &buffer[..length], from, events);
        }
    }

    fn take(&mut self, now: BootTime, bytes: &[u8], from: SocketAddr, events: &mut Vec<FleetEvent>) {
        let Ok(datagram) = decode::<PeerDatagram>(bytes) else {
            self.counters.unreadable += 1;
            return;
        };
        if datagram.from == self.node {
            return;
        }
        if let Some(to) = datagram.to.filter(|to| *to != self.node) {
            return self.take_for_another(to, datagram.from, from, events);
        }
        if self.contact.note_heard(now) {
            events.push(FleetEvent::Isolated { is_isolated: false });
        }
        let before = self.announced.insert(datagram.from, datagram.announcement);
        let was_pressed = before.is_some_and(|known| is_pressed(known.load));
        if was_pressed != is_pressed(datagram.announcement.load) {
            self.directory_at = None;
        }
        self.take_heartbeat(now, datagram.from, &datagram.announcement);
        self.take_confirmation(datagram.from);
        if !datagram.cases.is_empty() {
            events.push(FleetEvent::Cases(datagram.cases));
        }
        if !datagram.quotas.is_empty() {
            events.push(FleetEvent::Quotas { from: datagram.from, messages: datagram.quotas });
        }
        let Some(message) = datagram.message else {
            return;
        };
        let mut actions = Vec::new();
        self.membership.on_message(now, datagram.from, from, message, &mut actions);
        self.carry_out(actions, events);
    }

    /// What was sent to another incarnation at this address is no message for this one. Its sender may be told of this one: only if it meant one before
    /// it, since a node of another fleet may have had the address.
    fn take_for_another(&mut self, to: NodeId, from: NodeId, address: SocketAddr, events: &mut Vec<FleetEvent>) {
        if !are_of_one_node(self.node, to) {
            return;
        }
        let mut actions = Vec::new();
        self.membership.on_misaddressed(from, address, &mut actions);
        self.carry_out(actions, events);
    }

    pub(super) fn send(&mut self, to: Option<NodeId>, address: SocketAddr, message: MembershipMessage) {
        self.send_datagram(to, address, Some(message));
    }

    pub(super) fn send_datagram(
        &mut self,
        to: Option<NodeId>,
        address: SocketAddr,
        message: Option<MembershipMessage>,
    ) {
        let datagram = PeerDatagram {
            from: self.node,
            to,
            announcement: self.own,
            cases: self.cases.clone(),
            quotas: Vec::new(),
            message,
        };
        self.write(Purpose::Membership, &datagram, address);
    }

    /// Sends a peer messages on tenants' quotas, also one that is taken for gone: it may think that it owns a tenant.
    pub fn send_quotas(&mut self, to: NodeId, messages: Vec<QuotaMessage>) {
        let Some(address) = self.membership.get(to).map(|member| member.peer_address) else {
            return;
        };
        let datagram = PeerDatagram {
            from: self.node,
            to: Some(to),
            announcement: self.own,
            cases: Vec::new(),
            quotas: messages,
            message: None,
        };
        self.write(Purpose::Quotas, &datagram, address);
    }

    fn write(&mut self, purpose: Purpose, datagram: &PeerDatagram, address: SocketAddr) {
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
