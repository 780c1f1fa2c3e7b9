//! A connection that this node opened to a peer, and whether the peer still reads it.
//!
//! Written bytes that are acknowledged don't show that the peer reads them: a connection may be dead although nothing
//! closes it and new ones work. So a connection in use carries pings, and one whose ping isn't answered in time is to be
//! replaced. The peer writes nothing on the connection but the answers.

use crate::metrics::Metrics;
use staircross_wire::{PeerMessage, WireError, write_frame};
use std::collections::VecDeque;
use std::io::{BufWriter, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time since the peer was last heard of after which the next messages are followed by a ping.
const PING_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without an answer to a ping after which the connection counts as silent. A peer that is merely paused or busy for
/// a moment keeps its connection.
const PONG_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionFault {
    /// The peer has closed the connection.
    Closed,
    /// The peer hasn't answered a ping in time.
    Silent,
}

/// When the peer was last heard of, and which ping it has yet to answer.
struct Heartbeat {
    heard_at: Instant,
    /// Time of the ping that hasn't been answered yet.
    pinged_at: Option<Instant>,
}

/// A connection that this node opened.
pub(super) struct Connection {
    stream: BufWriter<TcpStream>,
    /// `None` if the peer doesn't answer pings.
    heartbeat: Option<Heartbeat>,
}

impl Connection {
    /// Wraps a stream whose handshake has just succeeded.
    pub fn new(stream: TcpStream, answers_pings: bool) -> Self {
        let heartbeat = answers_pings.then(|| Heartbeat { heard_at: Instant::now(), pinged_at: None });
        Connection { stream: BufWriter::new(stream), heartbeat }
    }

    /// Returns the time by which the last ping must be answered; `None` if there is none to answer.
    pub fn pong_due(&self) -> Option<Instant> {
        let heartbeat = self.heartbeat.as_ref()?;
        heartbeat.pinged_at.map(|at| at + PONG_TIMEOUT)
    }

    /// Reads answers to pings.
    ///
    /// # Errors
    ///
    /// Returns why the connection is to be replaced, if it is.
    pub fn check(&mut self) -> Result<(), ConnectionFault> {
        match (self.read_pongs(), &mut self.heartbeat) {
            (Ok(false), _) => {}
            (Ok(true), Some(heartbeat)) => *heartbeat = Heartbeat { heard_at: Instant::now(), pinged_at: None },
            (Ok(true), None) | (Err(_), _) => {
                // No ping will be answered any more.
                self.heartbeat = None;
                return Err(ConnectionFault::Closed);
            }
        }
        let is_late = self.pong_due().is_some_and(|due| due <= Instant::now());
        if is_late { Err(ConnectionFault::Silent) } else { Ok(()) }
    }

    /// Reads everything that has arrived, without waiting. Returns whether there was anything.
    fn read_pongs(&mut self) -> std::io::Result<bool> {
        let stream = self.stream.get_mut();
        stream.set_nonblocking(true)?;
        let mut has_read = false;
        let outcome = loop {
            match stream.read(&mut [0; 64]) {
                Ok(0) => break Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => has_read = true,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(has_read),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break Err(error),
            }
        };
        self.stream.get_mut().set_nonblocking(false)?;
        outcome
    }

    /// Writes all messages, and a ping behind them if one is due. If that fails, `messages` keeps the one that may be
    /// partly written, and those behind it.
    pub fn write(&mut self, messages: &mut VecDeque<PeerMessage>, metrics: &Metrics) -> Result<(), WireError> {
        while let Some(message) = messages.front() {
            let mut count = write_frame(&mut self.stream, message)?;
            if messages.len() == 1 {
                count += self.write_due_ping()?;
                // The buffer is flushed after the last message only.
                self.stream.flush()?;
            }
            metrics.peer_bytes.with_label_values(&["tcp"]).inc_by(count as u64);
            messages.pop_front();
        }
        Ok(())
    }

    /// Returns the number of bytes written.
    fn write_due_ping(&mut self) -> Result<usize, WireError> {
        let now = Instant::now();
        let is_due = |heartbeat: &&mut Heartbeat| {
            heartbeat.pinged_at.is_none() && now.duration_since(heartbeat.heard_at) >= PING_INTERVAL
        };
        match self.heartbeat.as_mut().filter(is_due) {
            Some(heartbeat) => heartbeat.pinged_at = Some(now),
            None => return Ok(0),
        }
        write_frame(&mut self.stream, &PeerMessage::Ping)
    }
}
