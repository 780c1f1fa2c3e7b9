//! Bounds what accepted connections hold together: requests that aren't complete, and answers that peers haven't read.
//!
//! Each message is bounded by itself, but many slow peers together could fill this process's memory.

use super::connection::{Connection, State};
use super::{Server, ServerEvent};
use crate::socket::{SocketId, SocketKind};
use staircross_http::ServerConnection;

/// Number of bytes up to which a connection isn't counted, so that short messages cost no time.
const MIN_COUNTED: usize = 16 * 1024;

impl<E: Copy + PartialEq> Server<E> {
    /// Ends connections until those that are left hold no more than allowed. The connection `id` has just received bytes
    /// or been given an answer.
    ///
    /// The connections without progress for the longest time end first, so that peers which go on sending or reading
    /// keep theirs. A connection whose request is being answered doesn't end, nor does one that holds more than allowed
    /// alone: each message has its own bound.
    pub(super) fn limit_held(&mut self, id: SocketId, events: &mut Vec<ServerEvent<E>>) {
        while self.get(id).is_some_and(|connection| is_counted(connection)) {
            let counted = || self.connections.iter().filter(|(_, connection)| is_counted(connection));
            let total: usize = counted().map(|(_, connection)| connection.held_bytes()).sum();
            let slowest = counted().min_by_key(|(_, connection)| connection.last_progress).map(|(slot, _)| slot);
            match slowest {
                Some(slot) if total > self.max_held && counted().count() > 1 => self.end_for_room(slot, events),
                _ => return,
            }
        }
    }

    /// Drops what a connection holds: the request, which the node must refuse, or the rest of the answer.
    fn end_for_room(&mut self, slot: usize, events: &mut Vec<ServerEvent<E>>) {
        let connection = &mut self.connections[slot];
        let id = SocketId { kind: SocketKind::Inbound, generation: connection.generation, slot: slot as u32 };
        if connection.can_take_request() {
            connection.http = ServerConnection::default();
            connection.state = State::AwaitingAnswer;
            events.push(ServerEvent::RequestDropped { connection: id });
        } else {
            self.connections.remove(slot);
            events.push(ServerEvent::AnswerDropped { connection: id });
        }
    }
}

fn is_counted<E>(connection: &Connection<E>) -> bool {
    connection.state != State::AwaitingAnswer && connection.held_bytes() > MIN_COUNTED
}
