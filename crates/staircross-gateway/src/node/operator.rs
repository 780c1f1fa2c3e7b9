//! Requests of the operator to a running node: signals, and changes of the settings file.
//!
//! This module owns the settings file and the flags that signal handlers set, and reports what is requested. `stop`
//! and `reload` carry it out.

use crate::settings::{GatewaySettings, SettingsError, SettingsFile};
use staircross_types::BootTime;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval at which the settings file is checked for changes. The interval is short beside the bound on configuration
/// updates, and long enough that the checks cost next to nothing.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Flags that a signal handler sets to control a running node.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Requests a planned stop.
    pub stop: Arc<AtomicBool>,
    /// Requests a reload of the settings.
    pub reload: Arc<AtomicBool>,
}

/// The operator's inputs: signal flags and the settings file.
#[derive(Debug)]
pub(super) struct Operator {
    signals: Signals,
    file: SettingsFile,
    next_file_check: BootTime,
}

impl Operator {
    pub fn new(now: BootTime, signals: Signals, file: SettingsFile) -> Self {
        Operator { signals, file, next_file_check: now }
    }

    /// Returns whether a stop was requested since the last call, and clears the request.
    pub fn take_stop_request(&self) -> bool {
        self.signals.stop.swap(false, Ordering::AcqRel)
    }

    /// Returns whether a reload was requested since the last call, and clears the request.
    pub fn take_reload_request(&self) -> bool {
        self.signals.reload.swap(false, Ordering::AcqRel)
    }

    /// Returns whether the settings file has changed; checks it only when the next check is due.
    pub fn has_file_changed(&mut self, now: BootTime) -> bool {
        if now < self.next_file_check {
            return false;
        }
        self.next_file_check = now + FILE_CHECK_INTERVAL;
        self.file.has_changed()
    }

    /// Reads and validates the settings file.
    pub fn load(&mut self) -> Result<GatewaySettings, SettingsError> {
        self.file.load()
    }
}
