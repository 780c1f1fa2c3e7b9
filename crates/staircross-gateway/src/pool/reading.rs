//! Reads connections to searchers and handles the answers.
//!
//! A searcher may send faster than this process can read, and without end. So a turn of the event loop reads a bounded
//! number of bytes from each connection, and all incomplete answers together have a bounded size. The HTTP client
//! connection bounds each answer, and [`super`] defines the states of connections.

use super::{Connection, ConnectionState, Pool, PoolEvent};
use crate::connection_reuse::Evidence;
use staircross_http::{ClientFault, ClientProgress};
use staircross_transport::socket::{IoContext, ReadOutcome};
use staircross_types::BootTime;

/// Number of bytes after which a turn stops to read a connection, so that a searcher that sends fast doesn't hold up
/// everything else. The next turn reads on.
const MAX_READ_PER_TURN: usize = 64 * 1024;

impl Pool {
    /// Reads the connections that had more to read than one turn may.
    pub(super) fn read_unread(&mut self, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        for (slot, generation) in std::mem::take(&mut self.unread) {
            self.read(slot, generation, io, events);
        }
    }

    /// Reads from a connection until nothing more is available, or as much as one turn may, and handles the answers.
    pub(super) fn read(&mut self, slot: usize, generation: u32, io: &mut IoContext<'_>, events: &mut Vec<PoolEvent>) {
        let mut read = 0;
        loop {
            let current = self.connections.get_mut(slot).filter(|connection| connection.generation == generation);
            let Some(connection) = current else {
                return;
            };
            if matches!(connection.state, ConnectionState::Connecting { .. }) {
                return;
            }
            match connection.socket.read(io.buffer) {
                ReadOutcome::Bytes { count, may_have_more } => {
                    connection.http.receive(&io.buffer[..count]);
                    self.traffic.count(connection.purpose, connection.reach, count);
                    self.advance(slot, generation, io.now, events);
                    read += count;
                    if may_have_more && read < MAX_READ_PER_TURN {
                        continue;
                    }
                    if may_have_more && !self.unread.contains(&(slot, generation)) {
                        self.unread.push((slot, generation));
                    }
                    return self.limit_buffered(slot, events);
                }
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed => {
                    let progress = connection.http.on_close();
                    self.handle_progress(slot, progress, io.now, events);
                    let is_open =
                        self.connections.get(slot).is_some_and(|connection| connection.generation == generation);
                    if is_open {
                        self.fail_connection(slot, ClientFault::ClosedUnanswered, events);
                    }
                    return;
                }
                ReadOutcome::Broken => return self.fail_connection(slot, ClientFault::Reset, events),
            }
        }
    }

    /// Closes the connection that holds most of an incomplete answer if all together hold too much. `slot` has just been
    /// read; as long as it holds little, nothing is summed up.
    fn limit_buffered(&mut self, slot: usize, events: &mut Vec<PoolEvent>) {
        let holds_little = |connection: &Connection| connection.http.buffered_bytes() < MAX_READ_PER_TURN;
        if self.connections.get(slot).is_none_or(holds_little) {
            return;
        }
        let buffered = || self.connections.iter().map(|(slot, connection)| (connection.http.buffered_bytes(), slot));
        let total: usize = buffered().map(|(bytes, _)| bytes).sum();
        if total > self.max_buffered
            && let Some((_, largest)) = buffered().max()
        {
            self.fail_connection(largest, ClientFault::TooLong, events);
        }
    }

    /// Handles all answers in the bytes received so far.
    fn advance(&mut self, slot: usize, generation: u32, now: BootTime, events: &mut Vec<PoolEvent>) {
        loop {
            let current = self.connections.get_mut(slot).filter(|connection| connection.generation == generation);
            let Some(connection) = current else {
                return;
            };
            let progress = connection.http.advance();
            if progress == ClientProgress::NeedMore {
                return;
            }
            self.handle_progress(slot, progress, now, events);
        }
    }

    fn handle_progress(&mut self, slot: usize, progress: ClientProgress, now: BootTime, events: &mut Vec<PoolEvent>) {
        match progress {
            ClientProgress::NeedMore => {}
            ClientProgress::Skipped => {
                self.counters.skipped += 1;
                events.push(PoolEvent::Skipped { searcher: self.connections[slot].searcher });
            }
            ClientProgress::Broken(fault) => {
                if fault == ClientFault::Ambiguous {
                    self.end_reuse(slot, Evidence::Doubtful, now, events);
                }
                self.fail_connection(slot, fault, events);
            }
            ClientProgress::Answered(answer) => {
                if answer.needs_fresh_connection {
                    self.end_reuse(slot, Evidence::Certain, now, events);
                }
                self.end_with_answer(slot, *answer, now, events);
            }
        }
    }

    /// Records that the service of a connection sends answers that are ambiguous on a connection in use.
    fn end_reuse(&mut self, slot: usize, evidence: Evidence, now: BootTime, events: &mut Vec<PoolEvent>) {
        let service = &self.connections[slot].service;
        if self.reuse.note_ambiguous(service, evidence, now) {
            events.push(PoolEvent::ReuseEnded { service: service.clone(), evidence });
        }
    }
}
