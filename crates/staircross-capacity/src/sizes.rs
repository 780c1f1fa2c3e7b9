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
    /// Cores of a node that requests may use.
    pub cores: f64,
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
            ("searchers", self.searchers),
            ("slots", self.slots),
            ("connections", self.connections),
            ("queries_per_s", self.queries_per_s),
            ("fan_out", self.fan_out),
            ("sessions", self.sessions),
            ("cores", self.cores),
        ];
        for (key, value) in counts {
            if !value.is_finite() || value <= 0.0 {
                return Err(InvalidSetting::value(key, value, "a number above 0"));
            }
        }
        Ok(())
    }
}
