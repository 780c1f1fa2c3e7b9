//! What was measured: one data file, written by `staircross-lab slopes`.

use serde::{Deserialize, Serialize};
use staircross_config::InvalidSetting;

/// One measured figure, over several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Median of the runs.
    pub median: f64,
    /// Smallest of the runs.
    pub least: f64,
    /// Largest of the runs.
    pub most: f64,
}

impl Slope {
    /// Summarizes runs.
    pub fn of(mut runs: Vec<f64>) -> Slope {
        runs.sort_by(f64::total_cmp);
        let at = |index: usize| runs.get(index).copied().unwrap_or(0.0);
        Slope { median: at(runs.len() / 2), least: at(0), most: at(runs.len().saturating_sub(1)) }
    }
}

/// All measured figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Runs that each figure comes from.
    pub runs: u32,
    /// Nanoseconds of a root's decisions per sub-query, at 940 shards on as many searchers.
    pub root_ns_per_sub_query: Slope,
    /// Nanoseconds of a leaf's decisions per sub-query.
    pub leaf_ns_per_sub_query: Slope,
    /// Bytes of request and reply between root and leaf per sub-query, framed.
    pub peer_bytes_per_sub_query: Slope,
    /// Nanoseconds to encode and decode request and reply between root and leaf.
    pub peer_ns_per_sub_query: Slope,
    /// Processor microseconds of an HTTP call to a searcher, both ends together.
    pub http_us_per_call: Slope,
    /// Bytes of a session's state in a copy at another node.
    pub session_copy_bytes: Slope,
    /// Bytes of memory per session that a node holds.
    pub session_bytes: Slope,
}

/// The figures committed with this version.
pub const COMMITTED: &str = include_str!("../data/slopes.toml");

impl Slopes {
    /// Reads figures; `origin` names the source in errors.
    pub fn from_toml(origin: &str, text: &str) -> Result<Slopes, InvalidSetting> {
        toml::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })
    }
}
