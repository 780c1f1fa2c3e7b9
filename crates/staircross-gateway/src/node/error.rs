//! Errors that keep a node from starting or running.
//!
//! Errors at run time are logged and the node continues; only a failing poll ends it.

use crate::settings::SettingsError;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// The reason why a gateway node can't start, or why its event loop failed.
    #[derive(Debug)]
    pub enum GatewayError {
        /// The settings can't be read, or one of them is invalid.
        Settings(error: SettingsError) {
            from()
            display("{error}")
        }
        /// An address can't be bound, or another system call failed.
        Io { what: String, error: io::Error } {
            display("{what}: {error}")
        }
    }
}

/// Returns a function that wraps a system error and says `what` failed.
pub(super) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
    let what = what.into();
    move |error| GatewayError::Io { what, error }
}
