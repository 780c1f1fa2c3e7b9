//! State that limits how many log lines a node writes.
//!
//! This module owns the record of the members, unreadable items and epochs that were logged, and the time of the next
//! summary. `change_log`, `unreadable` and `summary` write the lines.

use super::change_log::MemberLog;
use super::summary::SUMMARY_INTERVAL;
use crate::dialect::EpochFault;
use crate::unreadable_log::UnreadableLog;
use staircross_types::BootTime;

/// State of the limits on log lines about members, unreadable items and epochs, and summaries.
pub(super) struct LogLimits {
    pub members: MemberLog,
    pub unreadable: UnreadableLog,
    /// The faults of the store's epochs that were logged.
    pub epoch_faults: Vec<EpochFault>,
    pub next_summary: BootTime,
}

impl LogLimits {
    pub fn new(now: BootTime) -> Self {
        LogLimits {
            members: MemberLog::default(),
            unreadable: UnreadableLog::default(),
            epoch_faults: Vec::new(),
            next_summary: now + SUMMARY_INTERVAL,
        }
    }
}
