//! The memory that accepted connections may cost together, in this process and in the kernel.
//!
//! Each connection is charged with its own state, with the whole of its receive buffer, which the kernel may fill at any
//! time, and with the bytes that it holds: received and not yet answered, and answered and not yet acknowledged. The size
//! of the receive buffers follows from the budget, so that they take at most half of it.

/// Minimum cost of an accepted connection in bytes.
const MIN_CONNECTION_COST: usize = CONNECTION_BYTES + MIN_RECEIVE_BUFFER;
/// Part of the budget that connections without bytes may take, as a divisor.
const EMPTY_CONNECTIONS_DIVISOR: usize = 2;
/// Memory of an accepted connection without its buffers, in bytes: its entry in the server and the kernel's socket.
const CONNECTION_BYTES: usize = 3 * 1024;
/// Minimum size of a receive buffer in bytes. A usual request fits, and a body isn't slowed down by many small windows.
const MIN_RECEIVE_BUFFER: usize = 7 * 1024;
/// Maximum size of a receive buffer in bytes. It lets a distant peer send a body in a few round trips.
const MAX_RECEIVE_BUFFER: usize = 256 * 1024;

/// What connections may cost together, and what they cost now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    max_bytes: usize,
    charged: usize,
    max_connections: usize,
    /// Size of each connection's receive buffer; `None` if the budget has no bound.
    receive_buffer: Option<usize>,
}

impl Budget {
    /// Creates a budget for at most `max_connections` connections that isn't bounded in bytes.
    pub fn unbounded(max_connections: usize) -> Self {
        Budget { max_bytes: usize::MAX, charged: 0, max_connections, receive_buffer: None }
    }

    /// Creates a budget of `max_bytes` for at most `max_connections` connections, or fewer if their receive buffers
    /// wouldn't fit.
    pub fn new(max_connections: usize, max_bytes: usize) -> Self {
        let for_empty = max_bytes / EMPTY_CONNECTIONS_DIVISOR;
        let max_connections = max_connections.min(for_empty / MIN_CONNECTION_COST).max(1);
        let each = (for_empty / max_connections).saturating_sub(CONNECTION_BYTES);
        let receive_buffer = each.clamp(MIN_RECEIVE_BUFFER, MAX_RECEIVE_BUFFER);
        Budget { max_bytes, charged: 0, max_connections, receive_buffer: Some(receive_buffer) }
    }

    /// Returns the maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the size of each connection's receive buffer in bytes, or `None` if the kernel's default applies.
    pub fn receive_buffer(&self) -> Option<usize> {
        self.receive_buffer
    }

    /// Returns the number of bytes that a connection is charged with if it holds `held` bytes.
    pub fn cost(&self, held: usize) -> usize {
        CONNECTION_BYTES + self.receive_buffer.unwrap_or(0) + held
    }

    /// Replaces the charge of a connection by another.
    pub fn recharge(&mut self, old: usize, new: usize) {
        self.charged = self.charged - old + new;
    }

    /// Returns the smallest budget in which `max_connections` have room, each with `held` bytes.
    pub const fn for_connections(max_connections: usize, held: usize) -> usize {
        max_connections * (EMPTY_CONNECTIONS_DIVISOR * MIN_CONNECTION_COST + held)
    }

    /// Returns whether connections cost more than they may.
    pub fn is_exceeded(&self) -> bool {
        self.charged > self.max_bytes
    }
}
