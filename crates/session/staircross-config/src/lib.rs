//! Configuration: what operators declare and how it is checked.
//!
//! | module | holds |
//! | --- | --- |
//! | [`service`] | service definitions and their request policy |
//! | [`document`] | the platform's document and machine list |
//! | [`edit`] | operators' edits: from one document to the next |
//! | [`settings`] | a node's own settings file |
//! | [`invalid`] | the error that names key, value and what is allowed |

pub mod document;
pub mod edit;
pub mod invalid;
pub mod service;
pub mod settings;

pub use document::{MachineEntry, MachineList, MachineState, PlatformDocument};
pub use edit::{EditError, ServiceEdit};
pub use invalid::InvalidSetting;
pub use service::{PolicyChange, Priority, SearcherDefinition, ServiceDefinition, ServicePolicy};
pub use settings::{LimitSettings, NodeSettings, PlatformSettings, Settings};
