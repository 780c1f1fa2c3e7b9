//! Why a node can't start or go on.
//!
//! What goes wrong while a node runs is logged, and the node goes on; only a poll that fails ends it.

use crate::settings::SettingsError;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a gateway node can't start.
    #[derive(Debug)]
    pub enum GatewayError {
        /// A setting is invalid.
        Settings(error: SettingsError) {
            from()
            display("{error}")
        }
        /// An address can't be listened on, or the system lacks something.
        Io { what: String, error: io::Error } {
            display("{what}: {error}")
        }
    }
}

/// Makes an error of the system one that says `what` failed.
pub(super) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
    let what = what.into();
    move |error| GatewayError::Io { what, error }
}
