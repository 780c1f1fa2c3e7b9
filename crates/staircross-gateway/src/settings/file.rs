//! The settings file, which is read again when it changes.
//!
//! It owns the path and what the file looked like when it was read last. Whether it has changed is seen by its time of
//! change and its length, without reading it; what it says is taken only when it passes the checks.

use super::{GatewaySettings, SettingsError};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// A settings file that is read again when it changes.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    seen: Option<FileMark>,
}

/// What one content of a file differs from the next by, without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileMark {
    modified: SystemTime,
    length: u64,
}

impl FileMark {
    /// Of the file at `path`; none where it can't be looked at, which reading it reports.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileMark { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl SettingsFile {
    /// The file at a path.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        SettingsFile { path: path.into(), seen: None }
    }

    /// Reads and checks the file.
    pub fn load(&mut self) -> Result<GatewaySettings, SettingsError> {
        // Looked at before it is read, so that a change meanwhile is seen the next time.
        self.seen = FileMark::of(&self.path);
        let origin = self.path.display().to_string();
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| SettingsError::Unreadable { origin: origin.clone(), reason: error.to_string() })?;
        GatewaySettings::from_toml(&origin, &text)
    }

    /// Whether the file has changed since it was read; one that can't be looked at hasn't.
    pub fn has_changed(&self) -> bool {
        let present = FileMark::of(&self.path);
        present.is_some() && present != self.seen
    }
}

impl GatewaySettings {
    /// Reads settings from TOML and checks them; `origin` names the source in errors.
    pub fn from_toml(origin: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: GatewaySettings = toml::from_str(text)
            .map_err(|error| SettingsError::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }
}
