//! The error that all configuration checks return.

use quick_error::quick_error;

quick_error! {
    /// A setting or definition that is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidSetting {
        /// The value of a key is not allowed.
        Value { key: String, value: String, allowed: String } {
            display("{key}: {value} is not allowed; allowed: {allowed}")
        }
        /// The text can't be parsed. `origin` names its source.
        Unreadable { origin: String, reason: String } {
            display("{origin}: {reason}")
        }
    }
}

impl InvalidSetting {
    /// Builds the error for `key`, whose `value` is not among those that `allowed` describes.
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
