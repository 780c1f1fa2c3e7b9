//! The load and cold time that a searcher reports with its answers.
//!
//! Reports may be outdated or wrong, so their age is kept and is passed along wherever they are used or logged.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A searcher's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Number of requests that the searcher is working on.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that the searcher can work on at once.
    pub slots: u32,
    /// Time that work takes on the searcher's host at the moment, in percent of the usual time, if reported.
    pub host_slowness: Option<u32>,
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}/{}", self.running, self.waiting, self.slots)?;
        match self.host_slowness {
            Some(percent) => write!(f, "@{percent}%"),
            None => Ok(()),
        }
    }
}

/// The report that accompanies a searcher's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherReport {
    /// Load of the searcher.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<ReportedLoad>,
    /// Time for which the searcher stays cold from now on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Duration>,
    /// Whether the answer says that its connection closes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub closes: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}
