//! The operators' configuration: the content of a version, its checks, the difference of two versions, and look-ups.
//!
//! A version is immutable; a newer version replaces it as a whole. Nothing here depends on the state of this node or on
//! its decisions.
//!
//! | module | holds |
//! | --- | --- |
//! | [`definition`] | the content of one version of the configuration |
//! | [`check`] | warnings about valid settings that are probably mistakes |
//! | [`delta`] | the difference of two versions, which is sent to peers |
//! | [`tenants`] | the tenants whose requests are accepted, and their API keys |
//! | [`rank`] | the rank of a request by tenant and route priority |
//! | [`table`] | look-ups of a request's route and tenant |

pub mod check;
pub mod definition;
pub mod delta;
pub mod rank;
pub mod table;
pub mod tenants;
