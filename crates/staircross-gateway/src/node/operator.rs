//! What the operator asks of a running node: signals, and a settings file that changes.
//!
//! It owns the flags that signal handlers set and the file, and says what is asked now; `stop` and `reload` carry it out.

use crate::settings::{GatewaySettings, SettingsError, SettingsFile};
use staircross_types::BootTime;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between looks at the settings file. Small beside the bound on configurations, and so that a look costs nothing.
const FILE_LOOK: Duration = Duration::from_secs(1);

/// What the outside asks of a running node.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Stop as planned.
    pub stop: Arc<AtomicBool>,
    /// Read the settings again.
    pub reload: Arc<AtomicBool>,
}

/// Signals and the settings file.
#[derive(Debug)]
pub(super) struct Operator {
    signals: Signals,
    file: SettingsFile,
    next_look: BootTime,
}

impl Operator {
    pub fn new(now: BootTime, signals: Signals, file: SettingsFile) -> Self {
        Operator { signals, file, next_look: now }
    }

    /// Whether a stop has been asked for since this was asked last.
    pub fn take_stop(&self) -> bool {
        self.signals.stop.swap(false, Ordering::AcqRel)
    }

    /// Whether a reload has been asked for since this was asked last.
    pub fn take_reload(&self) -> bool {
        self.signals.reload.swap(false, Ordering::AcqRel)
    }

    /// Whether the file has changed, where it is time to look.
    pub fn sees_change(&mut self, now: BootTime) -> bool {
        if now < self.next_look {
            return false;
        }
        self.next_look = now + FILE_LOOK;
        self.file.has_changed()
    }

    /// Reads and checks the file.
    pub fn load(&mut self) -> Result<GatewaySettings, SettingsError> {
        self.file.load()
    }
}
