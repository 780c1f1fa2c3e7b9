//! Structured logs with one line of `key=value` pairs per event and a log level per module.

use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use staircross_config::InvalidSetting;
use std::sync::Arc;

/// Names of the modules whose log level can be set separately.
pub const MODULES: &[&str] = &["front", "search", "cluster", "peers", "searchers", "platform"];

/// Loggers, one per module.
#[derive(Clone)]
pub struct Logs {
    /// Logger of the HTTP server and of sessions.
    pub front: Arc<Logger>,
    /// Logger of requests, sub-requests and answers.
    pub search: Arc<Logger>,
    /// Logger of the configuration and of planned stops.
    pub cluster: Arc<Logger>,
    /// Logger of connections to other nodes.
    pub peers: Arc<Logger>,
    /// Logger of connections to searchers.
    pub searchers: Arc<Logger>,
    /// Logger of reads from the platform.
    pub platform: Arc<Logger>,
}

impl Logs {
    /// Creates loggers that write to standard error, with levels by a filter such as `info` or `warn,search=debug`.
    pub fn from_filter(filter: &str) -> Result<Self, InvalidSetting> {
        let levels = Levels::parse(filter)?;
        let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).build_arc();
        let sink: Arc<dyn Sink> = sink.map_err(|error| InvalidSetting::value("node.log", filter, error.to_string()))?;
        let logger = |module: &str| {
            let built =
                Logger::builder().name(module).sink(sink.clone()).level_filter(levels.filter_for(module)).build_arc();
            built.map_err(|error| InvalidSetting::value("node.log", module, error.to_string()))
        };
        Ok(Logs {
            front: logger("front")?,
            search: logger("search")?,
            cluster: logger("cluster")?,
            peers: logger("peers")?,
            searchers: logger("searchers")?,
            platform: logger("platform")?,
        })
    }
}

struct Levels {
    default_level: LevelFilter,
    by_module: Vec<(String, LevelFilter)>,
}

impl Levels {
    fn parse(filter: &str) -> Result<Self, InvalidSetting> {
        let mut levels = Levels { default_level: LevelFilter::MoreSevereEqual(Level::Info), by_module: Vec::new() };
        for part in filter.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.split_once('=') {
                None => levels.default_level = parse_level(part)?,
                Some((module, level)) if MODULES.contains(&module) => {
                    levels.by_module.push((module.to_owned(), parse_level(level)?));
                }
                Some((module, _)) => {
                    return Err(InvalidSetting::value("node.log", module, MODULES.join(", ")));
                }
            }
        }
        Ok(levels)
    }

    fn filter_for(&self, module: &str) -> LevelFilter {
        let own = self.by_module.iter().find(|(name, _)| name == module);
        own.map_or(self.default_level, |(_, filter)| *filter)
    }
}

fn parse_level(text: &str) -> Result<LevelFilter, InvalidSetting> {
    match text {
        "off" => Ok(LevelFilter::Off),
        "error" => Ok(LevelFilter::MoreSevereEqual(Level::Error)),
        "warn" => Ok(LevelFilter::MoreSevereEqual(Level::Warn)),
        "info" => Ok(LevelFilter::MoreSevereEqual(Level::Info)),
        "debug" => Ok(LevelFilter::MoreSevereEqual(Level::Debug)),
        "trace" => Ok(LevelFilter::All),
        other => Err(InvalidSetting::value("node.log", other, "off, error, warn, info, debug, trace")),
    }
}

/// Checks a filter without creating loggers.
pub fn check_filter(filter: &str) -> Result<(), InvalidSetting> {
    Levels::parse(filter).map(|_| ())
}
