//! The one error of configuration checks.

use quick_error::quick_error;

quick_error! {
    /// A setting or definition that can't be accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidSetting {
        /// A value is outside what is allowed.
        Value { key: String, value: String, allowed: String } {
            display("{key}: {value} is not allowed; allowed: {allowed}")
        }
        /// The text can't be read as settings at all.
        Unreadable { origin: String, reason: String } {
            display("{origin}: {reason}")
        }
    }
}

impl InvalidSetting {
    /// Builds the error for `key`, which holds `value` where only `allowed` may stand.
    pub fn value(key: impl Into<String>, value: impl ToString, allowed: impl Into<String>) -> Self {
        InvalidSetting::Value { key: key.into(), value: value.to_string(), allowed: allowed.into() }
    }
}

/// Checks that `value` lies in `range`.
pub(crate) fn check_range<T>(key: &str, value: T, range: std::ops::RangeInclusive<T>) -> Result<(), InvalidSetting>
where
    T: PartialOrd + ToString,
{
    if range.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {}", range.start().to_string(), range.end().to_string());
    Err(InvalidSetting::value(key, value, allowed))
}
