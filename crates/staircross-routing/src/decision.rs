//! The routing rules: which searcher gets a request, how much work is admitted, when a second attempt is made, and when
//! a request ends.
//!
//! Each rule has a file of its own. A rule takes typed inputs and returns a decision; it uses no engine, socket or
//! clock. It depends on [`crate::state`] (what this node knows) and [`crate::configuration`] (what operators ask for).
//! [`crate::engine`] passes events to the rules and carries out their decisions. `docs/DECISIONS.md` lists the rules
//! with their log lines and metrics.
//!
//! | module | decides |
//! | --- | --- |
//! | [`placement`] | which searcher of a service is asked |
//! | [`allowed_regions`] | in which regions a request may be served |
//! | [`departure`] | whether a searcher that is listed as serving is suspected of leaving |
//! | [`cold`] | how much a node may send to a searcher that has just started |
//! | [`weighted_round_robin`] | which service of a weighted route serves a request |
//! | [`admission`] | which fraction of the offered requests is admitted while back ends are overloaded |
//! | [`fair_share`] | which tenants' requests are admitted while only a fraction is |
//! | [`extra_budget`] | how many requests beyond the strictly needed ones may be sent |
//! | [`hedging`] | when a second searcher is asked because the first is late |
//! | [`retry`] | whether a request is sent again after an attempt ends, to whom, and when |
//! | [`request_lifecycle`] | whether a request is begun, held or refused, and when and how it ends |
//! | [`goal`] | by when this node must send an answer |
//! | [`outdated_view`] | whether what is known of the store is too old to handle requests by it |
//! | [`last_requests`] | which requests a node that is about to stop still begins |
//! | [`quarantine`] | which requests crash the searchers that run them |
//! | [`first_probe`] | which requests are sent to one shard first while a route's requests crash searchers |

pub mod admission;
pub mod allowed_regions;
pub mod cold;
pub mod departure;
pub mod extra_budget;
pub mod fair_share;
pub mod first_probe;
pub mod goal;
pub mod hedging;
pub mod last_requests;
pub mod outdated_view;
pub mod placement;
pub mod quarantine;
pub mod request_lifecycle;
pub mod retry;
pub mod weighted_round_robin;
