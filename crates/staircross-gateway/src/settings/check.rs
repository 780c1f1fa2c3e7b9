//! Validation of the settings.
//!
//! [`GatewaySettings::check`] reports the first setting that is outside its range, and what is allowed there. This
//! module owns [`SettingsError`] and the ranges. It checks the values alone: it binds no address and opens no file.

use super::derived::RESERVED_DESCRIPTORS;
use super::{BoundSettings, GatewaySettings, LimitSettings, ListenSettings};
use quick_error::quick_error;

/// Minimum memory of the process, in megabytes, so that [`GatewaySettings::max_requests`] is above a hundred.
const MIN_MEMORY_MB: u64 = 16;

quick_error! {
    /// Why settings are refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file can't be read, or its text isn't a valid settings file.
        Unreadable { origin: String, reason: String } {
            display("{origin}: {reason}")
        }
        /// A value is outside its allowed range.
        InvalidValue { key: &'static str, value: String, allowed: &'static str } {
            display("{key}: {value} is not allowed; allowed: {allowed}")
        }
    }
}

impl GatewaySettings {
    /// Checks all values. The error names the first that isn't allowed.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.bounds.check()?;
        self.listen.check()?;
        self.check_zone()?;
        self.limits.check()
    }

    fn check_zone(&self) -> Result<(), SettingsError> {
        if self.zones.contains_key(&self.node.zone) {
            return Ok(());
        }
        invalid_value("node.zone", &self.node.zone, "a zone listed under zones")
    }
}

impl BoundSettings {
    fn check(&self) -> Result<(), SettingsError> {
        self.check_fleet_bounds()?;
        self.check_operator_bounds()?;
        check_range("bounds.stop_s", self.stop_s, 0.5, 3600.0, "0.5 to 3600")?;
        check_range("bounds.directory_ttl_s", self.directory_ttl_s, 0.1, 3600.0, "0.1 to 3600")
    }

    fn check_fleet_bounds(&self) -> Result<(), SettingsError> {
        check_range("bounds.extra_ratio", self.extra_ratio, 0.0, 10.0, "0 to 10")?;
        check_range("bounds.extra_window_s", self.extra_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_range("bounds.extra_slack", self.extra_slack, 0.0, 1e6, "0 to 1000000")?;
        check_range("bounds.drain_ms", self.drain_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_range("bounds.config_ms", self.config_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_range("bounds.contact_ms", self.contact_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_range("bounds.cold_factor", self.cold_factor, 0.0, 1000.0, "0 to 1000")?;
        check_range("bounds.cold_slack", self.cold_slack, 0.0, 1e6, "0 to 1000000")?;
        check_range("bounds.quota_window_s", self.quota_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_range("bounds.quota_over", self.quota_over, 0.0, 1000.0, "0 to 1000")?;
        check_range("bounds.quota_slack", self.quota_slack, 0.0, 1e6, "0 to 1000000")
    }

    fn check_operator_bounds(&self) -> Result<(), SettingsError> {
        check_range("bounds.evacuate_ms", self.operator_update_ms() as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_range("bounds.revoke_ms", self.revoke_ms.unwrap_or(50) as f64, 50.0, 3.6e6, "50 to 3600000")?;
        if self.revoke_strict && self.revoke_ms.is_none() {
            return invalid_value("bounds.revoke_strict", "true", "false where there is no bounds.revoke_ms");
        }
        Ok(())
    }
}

impl ListenSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let addresses = [self.callers, self.readiness, self.directory, self.peers];
        for (index, address) in addresses.iter().enumerate() {
            if addresses[..index].contains(address) {
                return invalid_value("listen", address, "an address of its own for each listener");
            }
        }
        Ok(())
    }
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.memory_mb < MIN_MEMORY_MB {
            return invalid_value("limits.memory_mb", self.memory_mb, "16 or more");
        }
        check_range("limits.link_mbps", self.link_mbps, 0.01, 1e6, "0.01 to 1000000")?;
        if self.descriptors <= RESERVED_DESCRIPTORS {
            return invalid_value("limits.descriptors", self.descriptors, "more than 264");
        }
        Ok(())
    }
}

fn check_range(key: &'static str, value: f64, min: f64, max: f64, allowed: &'static str) -> Result<(), SettingsError> {
    // The condition is written so that NaN fails, too.
    if value >= min && value <= max {
        return Ok(());
    }
    invalid_value(key, value, allowed)
}

/// Returns the error for a value that isn't allowed.
fn invalid_value(key: &'static str, value: impl ToString, allowed: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError::InvalidValue { key, value: value.to_string(), allowed })
}
