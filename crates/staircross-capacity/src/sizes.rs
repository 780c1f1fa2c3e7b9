//! The size of a fleet, from a TOML file.

use serde::{Deserialize, Serialize};
use staircross_config::InvalidSetting;

/// A size to plan for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// What it is the size of.
    pub name: String,
    /// Nodes.
    pub nodes: f64,
    /// Regions.
    pub regions: f64,
    /// Zones in all.
    pub zones: f64,
    /// Searchers.
    pub searchers: f64,
    /// Slots of a searcher.
    pub slots: f64,
    /// Connections that a searcher takes.
    pub connections: f64,
    /// Queries a second over the whole fleet, at the peak.
    pub queries_per_s: f64,
    /// Sub-queries of each query.
    pub fan_out: f64,
    /// Sessions over the whole fleet.
    pub sessions: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// One-way delay between the farthest nodes, in milliseconds.
    pub farthest_ms: f64,
    /// Cores of a node that requests may use.
    pub cores: f64,
    /// What the users allow.
    pub limits: Limits,
}

/// What the users allow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Share of a core that control may take on a node.
    pub control_core_share: f64,
    /// Memory that control may take on a node, in bytes.
    pub control_bytes: f64,
    /// Bytes a second that control may send from a node.
    pub control_bytes_per_s: f64,
    /// Time until a change is in force everywhere, in milliseconds.
    pub in_force_ms: f64,
}

impl Sizes {
    /// Reads a size and checks that every number is positive; `origin` names the source in errors.
    pub fn from_toml(origin: &str, text: &str) -> Result<Sizes, InvalidSetting> {
        let sizes: Sizes = toml::from_str(text)
            .map_err(|error| InvalidSetting::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        sizes.check()?;
        Ok(sizes)
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        let counts = [
            ("nodes", self.nodes),
            ("regions", self.regions),
            ("zones", self.zones),
            ("searchers", self.searchers),
            ("slots", self.slots),
            ("connections", self.connections),
            ("queries_per_s", self.queries_per_s),
            ("fan_out", self.fan_out),
            ("sessions", self.sessions),
            ("changes_per_day", self.changes_per_day),
            ("farthest_ms", self.farthest_ms),
            ("cores", self.cores),
            ("limits.control_core_share", self.limits.control_core_share),
            ("limits.control_bytes", self.limits.control_bytes),
            ("limits.control_bytes_per_s", self.limits.control_bytes_per_s),
            ("limits.in_force_ms", self.limits.in_force_ms),
        ];
        for (key, value) in counts {
            if !value.is_finite() || value <= 0.0 {
                return Err(InvalidSetting::value(key, value, "a number above 0"));
            }
        }
        Ok(())
    }
}
