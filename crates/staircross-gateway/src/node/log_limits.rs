//! State that limits how many log lines a node writes.
//!
//! This module owns the record of the members and unreadable items that were logged, and the time of the next
//! summary. `change_log`, `unreadable` and `summary` write the lines.

use super::change_log::MemberLog;
use super::summary::SUMMARY_INTERVAL;
use crate::unreadable_log::UnreadableLog;
use staircross_types::BootTime;

/// State of the limits on log lines about members, unreadable items and summaries.
pub(super) struct LogLimits {
    pub members: MemberLog,
    pub unreadable: UnreadableLog,
    pub next_summary: BootTime,
}

impl LogLimits {
    pub fn new(now: BootTime) -> Self {
        LogLimits {
            members: MemberLog::default(),
            unreadable: UnreadableLog::default(),
            next_summary: now + SUMMARY_INTERVAL,
        }
    }
}
