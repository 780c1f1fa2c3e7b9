//! Routing decisions: which searchers get a request, when it is retried or hedged, and how its answer is formed.
//!
//! The crate does no I/O. Its engine is driven by `on_event(now, event, &mut actions)`; the caller passes in the time
//! and the seed for random numbers.
//!
//! | module | content |
//! | --- | --- |
//! | [`decision`] | the rules by which decisions are made, one file each |
//! | [`state`] | this node's copy of the store, statistics of searchers, requests in flight |
//! | [`configuration`] | the operators' configuration: routes, services, tenants, limits |
//! | [`engine`] | the handling of a request from its arrival to its final answer: events update the state, rules decide, actions are returned |
//! | [`engine_message`] | the events that the engine handles, and the actions that it requests |
//! | [`store_reader`] | the schedule of calls to the store: listings, watches, probes |
//! | [`recording`] | the recording of events and decisions, and their replay |
//! | [`keys`] | identifiers of requests, attempts, searchers, tenants and routes |
//! | [`merge`] | the merging of several parts into the greatest records |
//! | [`policy`] | switches that turn single mechanisms off |

pub mod configuration;
pub mod decision;
pub mod engine;
pub mod engine_message;
pub mod keys;
pub mod merge;
pub mod policy;
pub mod recording;
pub mod state;
pub mod store_reader;

pub use configuration::definition::{
    CallerLimits, ColdStart, RouteDefinition, RouteTarget, RoutingDefinition, ServiceEntry,
};
pub use configuration::table::RouteTable;
pub use configuration::tenants::{Credential, KeyDigest, KeyRefusal, SentIdentity, TenantDefinition};
pub use decision::cold::ColdBound;
pub use decision::quarantine::{CaseRecord, LostAttempt, Suspicion, SuspicionChange};
pub use engine::{RoutingAction, RoutingEngine, RoutingEvent, RoutingSettings};
pub use keys::{AttemptKey, ContentKey, Incarnation, InstanceKey, RequestKey, RouteDigest, SearcherKey, TenantKey};
pub use policy::RoutingPolicy;
pub use state::mirror::{AcceptedConfiguration, Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, SearcherEntry};
pub use state::report::{ReportedLoad, SearcherReport};
pub use state::request::{
    Arrival, AttemptOutcome, CallerLink, ConfigurationView, MergedAnswer, NotRun, RequestOutcome, SearcherAnswer,
};
pub use state::store_revision::{StoreEpoch, StoreRevision};
pub use state::unreadable::{KeyKind, UnreadableItem, UnreadableReason};
