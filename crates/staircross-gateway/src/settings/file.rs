//! The settings file, which is read again when it changes.
//!
//! [`SettingsFile`] owns the path, and the file's modification time and length when it was last read. Comparing these
//! two shows a change without reading the file. New settings are accepted only if they pass the checks.

use super::{GatewaySettings, SettingsError};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The settings file and its state when it was last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// State of the file when it was last read.
    last_read: Option<FileState>,
}

/// Modification time and length of a file, by which a change is noticed without reading the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileState {
    modified: SystemTime,
    length: u64,
}

impl FileState {
    /// Returns the state of the file at `path`, or `None` if its metadata can't be read. Reading the file then reports
    /// the error.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileState { modified: metadata.modified().ok()?, length: metadata.len() })
    }
}

impl SettingsFile {
    /// Creates the settings file for a path, without reading it.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        SettingsFile { path: path.into(), last_read: None }
    }

    /// Reads and checks the file.
    pub fn load(&mut self) -> Result<GatewaySettings, SettingsError> {
        // The metadata is read before the text, so that a change in between is noticed the next time.
        self.last_read = FileState::of(&self.path);
        let origin = self.path.display().to_string();
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| SettingsError::Unreadable { origin: origin.clone(), reason: error.to_string() })?;
        GatewaySettings::from_toml(&origin, &text)
    }

    /// Returns whether the file has changed since it was last read. A file whose metadata can't be read counts as
    /// unchanged.
    pub fn has_changed(&self) -> bool {
        let current = FileState::of(&self.path);
        current.is_some() && current != self.last_read
    }
}

impl GatewaySettings {
    /// Parses and checks settings from TOML text. Errors name `origin` as the source of the text.
    pub fn from_toml(origin: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: GatewaySettings = toml::from_str(text)
            .map_err(|error| SettingsError::Unreadable { origin: origin.to_owned(), reason: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }
}
