//! Ends connections when all together cost more than they may.
//!
//! Each message is bounded by itself, but many peers together could fill the memory of this process, and the kernel's
//! with what this process hasn't read and peers haven't acknowledged.

use super::connection::{Connection, State};
use super::{Server, ServerEvent};
use crate::socket::{SocketId, SocketKind};
use staircross_http::ServerConnection;
use staircross_types::BootTime;
use std::time::Duration;

/// Time without progress after which a connection may end in favour of a new one.
const STALL_TIME: Duration = Duration::from_secs(1);

impl<E: Copy + PartialEq> Server<E> {
    /// Charges a connection with what it costs now, and ends others while all together cost too much.
    pub(super) fn settle(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        self.recharge(id.slot as usize);
        if self.budget.is_exceeded() {
            self.make_room(events);
        }
    }

    /// Charges the connection in a slot, if there is one, with what it costs now.
    pub(super) fn recharge(&mut self, slot: usize) {
        if let Some(connection) = self.connections.get_mut(slot) {
            let cost = self.budget.cost(connection.held_bytes());
            self.budget.recharge(connection.charged, cost);
            connection.charged = cost;
        }
    }

    /// Removes a connection, which closes it, and what it was charged with.
    pub(super) fn remove(&mut self, slot: usize) {
        let connection = self.connections.remove(slot);
        self.budget.recharge(connection.charged, 0);
    }

    /// Ends connections that hold bytes until all together cost no more than they may.
    ///
    /// The connections without progress for the longest time end first, so that peers which go on sending or reading keep
    /// theirs. A connection whose request is being answered doesn't end, nor does the last one that holds bytes: each
    /// message has its own bound.
    fn make_room(&mut self, events: &mut Vec<ServerEvent<E>>) {
        let holds_bytes =
            |connection: &Connection<E>| connection.state != State::AwaitingAnswer && connection.held_bytes() > 0;
        let holders = self.connections.iter().filter(|(_, connection)| holds_bytes(connection));
        let mut holders: Vec<(BootTime, usize)> =
            holders.map(|(slot, connection)| (connection.last_progress, slot)).collect();
        holders.sort_unstable();
        holders.pop();
        for (_, slot) in holders {
            if !self.budget.is_exceeded() {
                return;
            }
            // What the peer has acknowledged meanwhile is known only after asking the kernel.
            self.connections[slot].socket.measure_outgoing();
            if self.connections[slot].held_bytes() > 0 {
                self.end_for_room(slot, events);
            }
            self.recharge(slot);
        }
    }

    /// Drops what a connection holds: the request, which the node must refuse, or the rest of the answer.
    fn end_for_room(&mut self, slot: usize, events: &mut Vec<ServerEvent<E>>) {
        let connection = &mut self.connections[slot];
        let id = SocketId { kind: SocketKind::Inbound, generation: connection.generation, slot: slot as u32 };
        if connection.can_take_request() && connection.http.has_partial_request() {
            self.drop_request(id, events);
        } else {
            self.discard(slot);
            events.push(ServerEvent::AnswerDropped { connection: id });
        }
    }

    /// Drops a request, which the node must refuse.
    pub(super) fn drop_request(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        if let Some(connection) = self.get(id) {
            connection.http = ServerConnection::default();
            connection.request_bytes = 0;
            connection.state = State::AwaitingAnswer;
            events.push(ServerEvent::RequestDropped { connection: id });
        }
        self.recharge(id.slot as usize);
    }

    /// Ends the connection that has been without progress for the longest time, at least [`STALL_TIME`], and waits for
    /// no answer. Returns whether there was one.
    pub(super) fn end_stalled(&mut self, now: BootTime) -> bool {
        let waits = |connection: &Connection<E>| connection.state != State::AwaitingAnswer;
        let idle = self.connections.iter().filter(|(_, connection)| waits(connection));
        let longest = idle.min_by_key(|(_, connection)| connection.last_progress);
        let Some((slot, connection)) = longest else {
            return false;
        };
        if now.since(connection.last_progress) < STALL_TIME {
            return false;
        }
        self.stalled_count += 1;
        self.discard(slot);
        true
    }

    /// Closes a connection. What its peer hasn't acknowledged is discarded; otherwise the kernel would go on holding it.
    pub(super) fn discard(&mut self, slot: usize) {
        let socket = &mut self.connections[slot].socket;
        if socket.has_unacknowledged() {
            socket.discard_at_close();
        }
        self.remove(slot);
    }
}
