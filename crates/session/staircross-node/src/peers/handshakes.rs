//! Accepted connections whose peers haven't proved yet that they belong to the cluster.
//!
//! Anybody may connect, so their number and the time of each are bounded. Beyond the bound, the oldest ends.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

/// Maximum number of connections without a complete handshake. The nodes of a large cluster may connect at once after a
/// restart, and each takes a few round trips.
const MAX_HANDSHAKES: usize = 256;
/// Longest time from the accept to the end of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// All connections without a complete handshake, the oldest first.
#[derive(Default)]
pub(super) struct Handshakes {
    pending: Mutex<VecDeque<Weak<TcpStream>>>,
}

impl Handshakes {
    /// Adds a connection. If there are too many, the oldest is shut down, which ends its handshake.
    pub fn begin(&self, stream: &Arc<TcpStream>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.retain(|other| other.strong_count() > 0);
        while pending.len() >= MAX_HANDSHAKES {
            if let Some(oldest) = pending.pop_front().and_then(|oldest| oldest.upgrade()) {
                // The peer may have closed it already.
                let _peer_may_be_gone = oldest.shutdown(Shutdown::Both);
            }
        }
        pending.push_back(Arc::downgrade(stream));
    }

    /// Removes a connection whose handshake is complete.
    pub fn end(&self, stream: &Arc<TcpStream>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.retain(|other| !std::ptr::eq(other.as_ptr(), Arc::as_ptr(stream)));
    }
}

/// A stream whose reads fail once the time of the handshake has passed, however little the peer sends at a time.
pub(super) struct HandshakeStream<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl<'a> HandshakeStream<'a> {
    /// Begins the time of a handshake.
    pub fn new(stream: &'a TcpStream) -> Self {
        HandshakeStream { stream, deadline: Instant::now() + HANDSHAKE_TIMEOUT }
    }
}

impl Read for HandshakeStream<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(remaining))?;
        self.stream.read(buf)
    }
}

impl Write for HandshakeStream<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.stream.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}
