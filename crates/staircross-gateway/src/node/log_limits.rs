//! What bounds the lines that a node would write without end.
//!
//! It owns what was logged of members and of unreadable items, and when the next summary is due; `change_log`, `unreadable`
//! and `summary` write the lines.

use super::change_log::MemberLog;
use super::summary::SUMMARY_EVERY;
use crate::unreadable_log::UnreadableLog;
use staircross_types::BootTime;

/// What was logged lately of what comes in numbers.
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
            next_summary: now + SUMMARY_EVERY,
        }
    }
}
