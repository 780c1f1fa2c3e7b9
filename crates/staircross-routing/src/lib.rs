//! Decisions for routed requests, without input or output of their own.
//!
//! Everything is driven by `on_event(now, event, &mut actions)`; time and chance come from outside.
//!
//! | module | job |
//! | --- | --- |
//! | [`decision`] | the rules, one file each |
//! | [`state`] | what this node believes |
//! | [`configuration`] | what operators ask for |
//! | [`engine`] | one request from arrival to its final answer: carries events to state and rules, verdicts to actions |
//! | [`engine_message`] | what the engine takes in, and what it wants done |
//! | [`store_reader`] | when the store is read, watched, or left alone |
//! | [`recording`] | recorded decisions, and making them again |
//! | [`keys`] | what attempts, requests and searchers are called by |
//! | [`merge`] | the best records of several parts |
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
pub use state::mirror::{Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, SearcherEntry, TakenConfiguration};
pub use state::report::{ReportedLoad, SearcherReport};
pub use state::request::{
    Arrival, AttemptOutcome, CallerLink, ConfigurationView, MergedAnswer, NotRun, SearcherAnswer, Verdict,
};
pub use state::unreadable::{KeyKind, UnreadableItem, UnreadableReason};
