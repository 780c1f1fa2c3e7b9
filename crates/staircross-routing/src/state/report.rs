//! What a searcher says of itself with its answers.
//!
//! Reports lag and may mislead, so they come with their age wherever they are used or logged.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A searcher's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// How long work takes on its host at the moment, in percent of the usual time, if it says so.
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

/// What an answer says of its searcher, besides answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherReport {
    /// Its load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<ReportedLoad>,
    /// How much longer it stays cold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Duration>,
}
