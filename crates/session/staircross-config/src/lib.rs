//! Configuration: the settings and definitions that operators write, and their checks.
//!
//! | module | holds |
//! | --- | --- |
//! | [`service`] | service definitions and how their requests are treated |
//! | [`document`] | the platform's service document and machine list |
//! | [`edit`] | operators' edits of the service document |
//! | [`settings`] | the settings file of a node |
//! | [`invalid`] | the error that names the key, its value and the allowed values |

pub mod document;
pub mod edit;
pub mod invalid;
pub mod service;
pub mod settings;

pub use document::{MachineEntry, MachineList, MachineState, PlatformDocument, ReadMachineList};
pub use edit::{EditError, ServiceEdit};
pub use invalid::InvalidSetting;
pub use service::{PolicyChange, Priority, SearcherDefinition, ServiceDefinition, ServicePolicy};
pub use settings::{LimitSettings, NodeSettings, PlatformSettings, Settings};
