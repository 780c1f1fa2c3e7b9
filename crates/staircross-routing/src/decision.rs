//! The rules: which searcher gets a request, how much is taken, when a second attempt is made, when a request is given up.
//!
//! One file a rule. A rule takes typed inputs and gives a verdict; it holds no engine, socket or clock. It relies on [`crate::state`] (what this
//! node believes) and [`crate::configuration`] (what operators ask for). [`crate::engine`] carries events to the rules and their
//! verdicts to actions. `docs/DECISIONS.md` lists the rules with the log lines and metrics that show them at work.
//!
//! | module | decides |
//! | --- | --- |
//! | [`placement`] | which searcher of a service is asked |
//! | [`allowed_regions`] | where a request may be served |
//! | [`cold`] | how much a node may send to a searcher that has just started |
//! | [`turns`] | whose turn it is in a weighted set |
//! | [`admission`] | how much of the offered work is taken while back ends are overloaded |
//! | [`fair_share`] | whose requests are taken while only a fraction of them is |
//! | [`extra_budget`] | how much work beyond the strictly needed may be sent |
//! | [`hedging`] | when a second searcher is asked besides one that is late |
//! | [`retry`] | which end of an attempt lets a request be sent again, to whom, and when |
//! | [`giving_up`] | when an answer is complete enough, when a request is refused, and with which kind |
//! | [`goal`] | time that this node has to answer in time |
//! | [`quarantine`] | which requests end the searchers that run them |
//! | [`first_probe`] | which requests are sent to one shard first while such ones come |

pub mod admission;
pub mod allowed_regions;
pub mod cold;
pub mod extra_budget;
pub mod fair_share;
pub mod first_probe;
pub mod giving_up;
pub mod goal;
pub mod hedging;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod turns;
