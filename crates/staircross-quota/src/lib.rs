//! Tenants' quotas, kept by all nodes together.
//!
//! | module | holds |
//! | --- | --- |
//! | [`bound`] | how far all nodes together may exceed a quota, and what follows for one tenant |
//! | [`message`] | what nodes send each other |
//! | [`fleet`] | which nodes there are, and which of them owns a tenant |
//! | [`bucket`] | a token bucket |
//! | [`ledger`] | the owner's side: what all nodes admit of a tenant |
//! | [`spender`] | every other node's side: what it admits, and whether its owner answers |
//! | [`refusal`] | how a request beyond a quota is refused |
//! | [`acting`] | standing in for an owner that doesn't answer |
//! | [`tenant`] | one tenant at one node |
//! | [`allowance`] | [`FleetAllowance`], which joins them |
//!
//! The design and its figures are in `docs/design/fleet-allowance.md`.

mod acting;
pub mod allowance;
pub mod bound;
mod bucket;
pub mod fleet;
mod ledger;
pub mod message;
pub mod refusal;
mod spender;
mod tenant;

pub use allowance::{FleetAllowance, QuotaChange, QuotaView};
pub use bound::QuotaBound;
pub use fleet::FleetView;
pub use message::{QuotaEnvelope, QuotaGrant, QuotaMessage, QuotaReport};
pub use refusal::QuotaRefusal;
