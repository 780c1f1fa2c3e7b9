//! Structured log lines on standard output, bounded and non-blocking.
//!
//! Each line is `event=NAME key=value …`. [`EventLog`] buffers the lines and writes them in pieces. When the reader
//! is slow, lines are dropped and counted, and the count is logged as soon as there is space. Each kind of line has
//! its own rate limit, so that a flood of one kind doesn't displace the others. The owner must call
//! [`EventLog::on_tick`] regularly, and standard output must be a pipe, a file or a terminal.

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use staircross_types::BootTime;
use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

/// Maximum number of bytes buffered for a slow reader. It is the default capacity of a pipe.
const MAX_PENDING_BYTES: usize = 64 * 1024;
/// Number of buffered bytes from which they are written at once, and the maximum length of one write. A pipe accepts
/// this many bytes whole or not at all (`PIPE_BUF`), so that no line is cut.
const WRITE_CHUNK_BYTES: usize = 4 * 1024;
/// Maximum time for which a line waits for others to be written with it. The time is short, so that an operator who
/// follows the log sees lines at once.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(500);

/// Kinds of log lines; each kind has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Events of the node itself, and changes of what it knows of its dependencies and peers: rare and always wanted.
    NodeEvent,
    /// The end of a request.
    Request,
    /// All decisions for one request that failed or lacks a part, logged together when the request ends, so that a
    /// trace is complete.
    Trace,
    /// All decisions for a request that was answered in full, but only after further decisions such as a retry, or
    /// whose caller left first.
    AnsweredTrace,
    /// Something that the node dropped, with the reason.
    Drop,
}

impl LineKind {
    /// All kinds, in the order of their declaration, since `EventLog::rate_limits` is indexed by `kind as usize`.
    const ALL: [LineKind; 5] =
        [LineKind::NodeEvent, LineKind::Request, LineKind::Trace, LineKind::AnsweredTrace, LineKind::Drop];

    /// Returns the number of lines (for traces: requests) that may be logged in one second.
    fn rate(self) -> u32 {
        match self {
            // This is enough for the start of a large fleet, whose many changes are logged as counts.
            LineKind::NodeEvent => 400,
            // A node of a large fleet gets a few requests a second and logs them all; a busy node logs a sample.
            LineKind::Request => 150,
            // This is lower than the rate of requests, because each trace has many lines. A sample of the failed
            // requests of one second is enough to see the cause.
            LineKind::Trace => 60,
            // A sample is enough: complete answers are rarely investigated.
            LineKind::AnsweredTrace => 10,
            // A sample is enough: drops repeat as their sender repeats itself, and are counted elsewhere.
            LineKind::Drop => 50,
        }
    }

    /// Returns the name of the kind in the line `event=lines_held_back`.
    fn name(self) -> &'static str {
        match self {
            // Logs keep this name of the kind.
            LineKind::NodeEvent => "belief",
            LineKind::Request => "request",
            LineKind::Trace => "trace",
            LineKind::AnsweredTrace => "answered_trace",
            LineKind::Drop => "drop",
        }
    }
}

/// The remaining lines of a kind in the present second.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    tokens: u32,
    refilled_at: BootTime,
    held_back: u64,
}

/// The buffered event log of a node.
pub struct EventLog {
    node: String,
    pending: Vec<u8>,
    oldest_pending: Option<BootTime>,
    rate_limits: [RateLimit; LineKind::ALL.len()],
    dropped: u64,
    is_enabled: bool,
}

impl EventLog {
    /// Creates a log whose lines contain the name `node`.
    pub fn new(node: &str, is_enabled: bool) -> Self {
        make_non_blocking();
        let full = |kind: LineKind| RateLimit { tokens: kind.rate(), refilled_at: BootTime::default(), held_back: 0 };
        EventLog {
            node: node.to_owned(),
            pending: Vec::new(),
            oldest_pending: None,
            rate_limits: LineKind::ALL.map(full),
            dropped: 0,
            is_enabled,
        }
    }

    /// Adds a line if the rate limit of its kind allows it.
    pub fn line(&mut self, now: BootTime, kind: LineKind, text: Arguments<'_>) {
        if !self.is_enabled || !self.take_token(now, kind) {
            return;
        }
        self.push(now, text);
    }

    /// Adds the lines of a request's trace, each with the time of its decision, if the rate limit of `kind` allows
    /// it.
    pub fn trace<'a>(&mut self, now: BootTime, kind: LineKind, lines: impl Iterator<Item = (BootTime, &'a str)>) {
        if !self.is_enabled || !self.take_token(now, kind) {
            return;
        }
        for (time, text) in lines {
            self.push(time, format_args!("{text}"));
        }
    }

    fn take_token(&mut self, now: BootTime, kind: LineKind) -> bool {
        let rate_limit = &mut self.rate_limits[kind as usize];
        if now.since(rate_limit.refilled_at) >= Duration::from_secs(1) {
            rate_limit.tokens = kind.rate();
            rate_limit.refilled_at = now;
            let held_back = std::mem::take(&mut rate_limit.held_back);
            if held_back > 0 {
                self.push(now, format_args!("event=lines_held_back kind={} count={held_back}", kind.name()));
            }
        }
        let rate_limit = &mut self.rate_limits[kind as usize];
        if rate_limit.tokens == 0 {
            rate_limit.held_back += 1;
            return false;
        }
        rate_limit.tokens -= 1;
        true
    }

    fn push(&mut self, now: BootTime, text: Arguments<'_>) {
        if self.pending.len() >= MAX_PENDING_BYTES {
            self.dropped += 1;
            return;
        }
        // Writing to a vector can't fail.
        let _infallible = writeln!(self.pending, "t={:.3} node={} {text}", now.0 as f64 / 1e6, self.node);
        self.oldest_pending.get_or_insert(now);
    }

    /// Writes the buffered lines if they are due.
    pub fn on_tick(&mut self, now: BootTime) {
        let is_due = self.oldest_pending.is_some_and(|oldest| now.since(oldest) >= MAX_WRITE_DELAY);
        if is_due || self.pending.len() >= WRITE_CHUNK_BYTES {
            self.flush(now);
        }
    }

    /// Writes as many buffered lines as the reader accepts.
    pub fn flush(&mut self, now: BootTime) {
        while !self.pending.is_empty() {
            let piece = &self.pending[..whole_lines_len(&self.pending, WRITE_CHUNK_BYTES)];
            match rustix::io::write(rustix::stdio::stdout(), piece) {
                Ok(0) | Err(_) => break,
                Ok(count) => {
                    self.pending.drain(..count);
                }
            }
        }
        self.oldest_pending = if self.pending.is_empty() { None } else { Some(now) };
        if self.pending.len() < MAX_PENDING_BYTES / 2 && self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            self.push(now, format_args!("event=lines_dropped count={dropped} reason=slow_reader"));
        }
    }
}

/// Returns the length of the whole lines that fit into `max_bytes`; a longer first line is returned alone.
fn whole_lines_len(buf: &[u8], max_bytes: usize) -> usize {
    if buf.len() <= max_bytes {
        return buf.len();
    }
    let end = |byte: &u8| *byte == b'\n';
    let fitting = buf[..max_bytes].iter().rposition(end);
    fitting.or_else(|| buf.iter().position(end)).map_or(buf.len(), |last| last + 1)
}

/// Makes standard output non-blocking, so that a full pipe never delays requests. If the flag can't be set, the
/// output is a file or a terminal.
fn make_non_blocking() {
    if let Ok(flags) = fcntl_getfl(rustix::stdio::stdout()) {
        let _best_effort = fcntl_setfl(rustix::stdio::stdout(), flags | OFlags::NONBLOCK);
    }
}
