//! A listener that closes without resetting connections.
//!
//! A connection that completes its handshake between the last `accept` and the `close` of a listener is reset, and its
//! peer can't know whether a request that it sent has run. A closing listener therefore first drops the segments that
//! open new connections, and closes when the handshakes under way have ended. A peer that connects in between sends its
//! segment again about a second later and is refused then, so that it knows that nothing was sent.

use mio::net::{TcpListener, TcpStream};
use socket2::{SockFilter, SockRef};
use staircross_types::BootTime;
use std::io;
use std::time::Duration;

/// Time that a closing listener gives to handshakes under way. It is longer than the round trip to a distant caller.
const HANDSHAKE_TIME: Duration = Duration::from_millis(50);

/// A listener of one endpoint.
pub(crate) struct Listener<E> {
    pub endpoint: E,
    /// Whether connections may wait that could not be accepted.
    pub has_backlog: bool,
    socket: TcpListener,
    /// Time at which a closing listener closes; `None` while it is open.
    closes_at: Option<BootTime>,
}

impl<E> Listener<E> {
    pub fn new(endpoint: E, socket: TcpListener) -> Self {
        Listener { endpoint, has_backlog: false, socket, closes_at: None }
    }

    /// Accepts the next connection that waits.
    pub fn accept(&self) -> io::Result<TcpStream> {
        self.socket.accept().map(|(stream, _)| stream)
    }

    /// Begins to close the listener. Does nothing if it is closing already.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system doesn't take the filter. The listener closes nevertheless, at the next
    /// check, and a connection that is made at that moment is reset.
    pub fn begin_closing(&mut self, now: BootTime) -> io::Result<()> {
        if self.closes_at.is_some() {
            return Ok(());
        }
        let outcome = SockRef::from(&self.socket).attach_filter(&drop_opening_segments());
        self.closes_at = Some(if outcome.is_ok() { now + HANDSHAKE_TIME } else { now });
        outcome
    }

    /// Returns whether the handshakes that were under way when the listener began to close have had their time.
    pub fn must_close(&self, now: BootTime) -> bool {
        self.closes_at.is_some_and(|at| now >= at)
    }
}

/// Returns a filter program for a listening TCP socket that drops the segments with the flag SYN and without ACK. The
/// program sees each segment from the beginning of its TCP header.
fn drop_opening_segments() -> [SockFilter; 5] {
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const KEEP: u32 = u32::MAX;
    let operation = |code: u32, argument: u32| SockFilter::new(code as u16, 0, 0, argument);
    [
        operation(libc::BPF_LD | libc::BPF_B | libc::BPF_ABS, FLAGS_OFFSET),
        operation(libc::BPF_ALU | libc::BPF_AND | libc::BPF_K, SYN | ACK),
        // Skips the next operation unless the flags are those of an opening segment.
        SockFilter::new((libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16, 0, 1, SYN),
        operation(libc::BPF_RET | libc::BPF_K, DROP),
        operation(libc::BPF_RET | libc::BPF_K, KEEP),
    ]
}
