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
        Value { key: &'static str, value: String, allowed: &'static str } {
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
        refuse("node.zone", &self.node.zone, "a zone listed under zones")
    }
}

impl BoundSettings {
    fn check(&self) -> Result<(), SettingsError> {
        self.check_shared()?;
        self.check_operator_times()?;
        check_number("bounds.stop_s", self.stop_s, 0.5, 3600.0, "0.5 to 3600")?;
        check_number("bounds.directory_ttl_s", self.directory_ttl_s, 0.1, 3600.0, "0.1 to 3600")
    }

    fn check_shared(&self) -> Result<(), SettingsError> {
        check_number("bounds.extra_ratio", self.extra_ratio, 0.0, 10.0, "0 to 10")?;
        check_number("bounds.extra_window_s", self.extra_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_number("bounds.extra_slack", self.extra_slack, 0.0, 1e6, "0 to 1000000")?;
        check_number("bounds.drain_ms", self.drain_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.config_ms", self.config_ms as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.cold_factor", self.cold_factor, 0.0, 1000.0, "0 to 1000")?;
        check_number("bounds.cold_slack", self.cold_slack, 0.0, 1e6, "0 to 1000000")?;
        check_number("bounds.quota_window_s", self.quota_window_s, 0.1, 3600.0, "0.1 to 3600")?;
        check_number("bounds.quota_over", self.quota_over, 0.0, 1000.0, "0 to 1000")?;
        check_number("bounds.quota_slack", self.quota_slack, 0.0, 1e6, "0 to 1000000")
    }

    fn check_operator_times(&self) -> Result<(), SettingsError> {
        check_number("bounds.evacuate_ms", self.operator_ms() as f64, 50.0, 3.6e6, "50 to 3600000")?;
        check_number("bounds.revoke_ms", self.revoke_ms.unwrap_or(50) as f64, 50.0, 3.6e6, "50 to 3600000")?;
        if self.revoke_strict && self.revoke_ms.is_none() {
            return refuse("bounds.revoke_strict", "true", "false where there is no bounds.revoke_ms");
        }
        Ok(())
    }
}

impl ListenSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let addresses = [self.callers, self.readiness, self.directory, self.peers];
        for (index, address) in addresses.iter().enumerate() {
            if addresses[..index].contains(address) {
                return refuse("listen", address, "an address of its own for each listener");
            }
        }
        Ok(())
    }
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.memory_mb < MIN_MEMORY_MB {
            return refuse("limits.memory_mb", self.memory_mb, "16 or more");
        }
        check_number("limits.link_mbps", self.link_mbps, 0.01, 1e6, "0.01 to 1000000")?;
        if self.descriptors <= RESERVED_DESCRIPTORS {
            return refuse("limits.descriptors", self.descriptors, "more than 264");
        }
        Ok(())
    }
}

fn check_number(
    key: &'static str,
    value: f64,
    least: f64,
    most: f64,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    // Written so that NaN fails, too.
    if value >= least && value <= most {
        return Ok(());
    }
    refuse(key, value, allowed)
}

fn refuse(key: &'static str, value: impl ToString, allowed: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError::Value { key, value: value.to_string(), allowed })
}
