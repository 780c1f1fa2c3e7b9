//! What operators ask for: one version of the configuration, its check, what differs between two, and look-ups in it.
//!
//! A version never changes once it is made; a newer one replaces it as a whole. Nothing here depends on what this node believes or decides.
//!
//! | module | holds |
//! | --- | --- |
//! | [`definition`] | what one version of the configuration says |
//! | [`check`] | what in a version is allowed and will hurt |
//! | [`delta`] | what differs between two versions, for peers |
//! | [`tenants`] | whose requests are taken, and by which keys |
//! | [`rank`] | how urgent a request is |
//! | [`table`] | which route a request takes |

pub mod check;
pub mod definition;
pub mod delta;
pub mod rank;
pub mod table;
pub mod tenants;
