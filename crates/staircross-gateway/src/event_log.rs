//! Structured lines on standard output, bounded and never blocking.
//!
//! Each line is `event=NAME key=value …`. [`EventLog`] owns the lines that aren't written yet; they go out in
//! pieces. When the reader is slow, lines are dropped and counted, and the count is logged as soon as there is room.
//! Each kind of line has its own rate, so that a flood of one doesn't drown the others. Relies on its owner to
//! call [`EventLog::on_tick`], and on standard output being a pipe, a file or a terminal.

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use staircross_types::BootTime;
use std::fmt::Arguments;
use std::io::Write;
use std::time::Duration;

/// Bytes kept for a slow reader. What a pipe holds by default.
const MAX_PENDING: usize = 64 * 1024;
/// Bytes from which a piece is written at once, and most in one write. A pipe takes so much whole or not
/// at all (`PIPE_BUF`), so that no line is cut.
const WRITE_AT: usize = 4 * 1024;
/// Longest time that a line waits for company. So that an operator who follows the log sees lines at once.
const WRITE_AFTER: Duration = Duration::from_millis(500);

/// Kinds of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Start, stop, reload, dependencies, beliefs: rare and always wanted.
    Belief,
    /// Final word on a request.
    Request,
    /// All decisions within one request that failed or lacks a part, logged together when it has ended: so
    /// that a trace is whole.
    Trace,
    /// The same of a request that was answered in full, though not straight away.
    AnsweredTrace,
    /// What was dropped and why.
    Drop,
}

impl LineKind {
    const ALL: [LineKind; 5] =
        [LineKind::Belief, LineKind::Request, LineKind::Trace, LineKind::AnsweredTrace, LineKind::Drop];

    /// Lines a second, of traces requests a second; as many may come at once.
    fn rate(self) -> u32 {
        match self {
            // Lets through what a large fleet's start brings: what comes in numbers is logged together.
            LineKind::Belief => 400,
            // A node of a large fleet, which sees a few requests a second, logs them all; a busy one's log is a sample.
            LineKind::Request => 150,
            // Below the requests, because each has many lines: the failed ones of a bad second are enough to see why.
            LineKind::Trace => 60,
            // A sample: nobody looks for the cause of an answer in full.
            LineKind::AnsweredTrace => 10,
            // A sample: a drop repeats what its sender does, and is counted elsewhere.
            LineKind::Drop => 50,
        }
    }

    fn name(self) -> &'static str {
        match self {
            LineKind::Belief => "belief",
            LineKind::Request => "request",
            LineKind::Trace => "trace",
            LineKind::AnsweredTrace => "answered_trace",
            LineKind::Drop => "drop",
        }
    }
}

/// What is left of a kind's rate in this second.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: u32,
    refilled_at: BootTime,
    held_back: u64,
}

/// Where lines go.
pub struct EventLog {
    node: String,
    pending: Vec<u8>,
    oldest: Option<BootTime>,
    allowances: [Allowance; LineKind::ALL.len()],
    dropped: u64,
    is_enabled: bool,
}

impl EventLog {
    /// A log whose lines name `node`.
    pub fn new(node: &str, is_enabled: bool) -> Self {
        make_non_blocking();
        let full = |kind: LineKind| Allowance { tokens: kind.rate(), refilled_at: BootTime::default(), held_back: 0 };
        EventLog {
            node: node.to_owned(),
            pending: Vec::new(),
            oldest: None,
            allowances: LineKind::ALL.map(full),
            dropped: 0,
            is_enabled,
        }
    }

    /// Adds a line if its kind's rate allows.
    pub fn line(&mut self, now: BootTime, kind: LineKind, text: Arguments<'_>) {
        if !self.is_enabled || !self.take_token(now, kind) {
            return;
        }
        self.push(now, text);
    }

    /// Adds the lines of a request's trace, each with the time of its decision, if the rate of traces allows.
    pub fn trace<'a>(&mut self, now: BootTime, kind: LineKind, lines: impl Iterator<Item = (BootTime, &'a str)>) {
        if !self.is_enabled || !self.take_token(now, kind) {
            return;
        }
        for (time, text) in lines {
            self.push(time, format_args!("{text}"));
        }
    }

    fn take_token(&mut self, now: BootTime, kind: LineKind) -> bool {
        let allowance = &mut self.allowances[kind as usize];
        if now.since(allowance.refilled_at) >= Duration::from_secs(1) {
            allowance.tokens = kind.rate();
            allowance.refilled_at = now;
            let held_back = std::mem::take(&mut allowance.held_back);
            if held_back > 0 {
                self.push(now, format_args!("event=lines_held_back kind={} count={held_back}", kind.name()));
            }
        }
        let allowance = &mut self.allowances[kind as usize];
        if allowance.tokens == 0 {
            allowance.held_back += 1;
            return false;
        }
        allowance.tokens -= 1;
        true
    }

    fn push(&mut self, now: BootTime, text: Arguments<'_>) {
        if self.pending.len() >= MAX_PENDING {
            self.dropped += 1;
            return;
        }
        // Writing to a vector can't fail.
        let _infallible = writeln!(self.pending, "t={:.3} node={} {text}", now.0 as f64 / 1e6, self.node);
        self.oldest.get_or_insert(now);
    }

    /// Writes what is due.
    pub fn on_tick(&mut self, now: BootTime) {
        let is_due = self.oldest.is_some_and(|oldest| now.since(oldest) >= WRITE_AFTER);
        if is_due || self.pending.len() >= WRITE_AT {
            self.flush(now);
        }
    }

    /// Writes as much as the reader takes.
    pub fn flush(&mut self, now: BootTime) {
        while !self.pending.is_empty() {
            let piece = &self.pending[..whole_lines(&self.pending, WRITE_AT)];
            match rustix::io::write(rustix::stdio::stdout(), piece) {
                Ok(0) | Err(_) => break,
                Ok(count) => {
                    self.pending.drain(..count);
                }
            }
        }
        self.oldest = if self.pending.is_empty() { None } else { Some(now) };
        if self.pending.len() < MAX_PENDING / 2 && self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            self.push(now, format_args!("event=lines_dropped count={dropped} reason=slow_reader"));
        }
    }
}

/// Length of the lines that fit into `most` bytes; a longer line stands alone.
fn whole_lines(buf: &[u8], most: usize) -> usize {
    if buf.len() <= most {
        return buf.len();
    }
    let end = |byte: &u8| *byte == b'\n';
    let fitting = buf[..most].iter().rposition(end);
    fitting.or_else(|| buf.iter().position(end)).map_or(buf.len(), |last| last + 1)
}

/// A full pipe must never hold up requests. Where the flag can't be set, output is a file or a terminal.
fn make_non_blocking() {
    if let Ok(flags) = fcntl_getfl(rustix::stdio::stdout()) {
        let _best_effort = fcntl_setfl(rustix::stdio::stdout(), flags | OFlags::NONBLOCK);
    }
}
