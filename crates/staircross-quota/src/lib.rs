//! Distributed rate limiting: per-tenant quotas that all nodes of a fleet enforce together.
//!
//! Each tenant has one owner among the nodes. The owner keeps the tenant's token bucket. The other nodes, the tenant's
//! followers, admit requests first and report the counts to the owner. The owner answers with a grant: the fraction of
//! the tenant's requests that each node should admit. If an owner doesn't answer, one of the followers substitutes for
//! it, and a node that reaches neither of them decides locally, by a small share of the quota.
//!
//! | module | contents |
//! | --- | --- |
//! | [`bound`] | how far all nodes together may exceed a quota, and the limits this gives one tenant |
//! | [`message`] | messages that nodes exchange about quotas |
//! | [`fleet`] | the nodes of the fleet, and which of them owns a tenant |
//! | [`bucket`] | a token bucket |
//! | [`ledger`] | the owner's state of a tenant: the token bucket, and what all nodes have reported |
//! | [`follower`] | the state of a tenant at a node that does not own it: counts, reports, the owner's grants |
//! | [`refusal`] | the refusal of a request that exceeds a quota |
//! | [`substitution`] | the state of a node that substitutes for an owner that doesn't answer |
//! | [`tenant`] | the state of one tenant at one node, and the decision about each of its requests |
//! | [`rate_limiter`] | [`FleetRateLimiter`], the entry point, which combines the other modules |
//!
//! `docs/design/fleet-allowance.md` describes the design and its figures.

pub mod bound;
mod bucket;
pub mod fleet;
mod follower;
mod ledger;
pub mod message;
pub mod rate_limiter;
pub mod refusal;
mod substitution;
mod tenant;

pub use bound::QuotaBound;
pub use fleet::FleetView;
pub use message::{QuotaEnvelope, QuotaGrant, QuotaMessage, QuotaReport};
pub use rate_limiter::{FleetRateLimiter, QuotaChange, QuotaView};
pub use refusal::QuotaRefusal;
