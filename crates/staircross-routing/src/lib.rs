//! Decisions for routed requests, without input or output of their own.
//!
//! | module | decides |
//! | --- | --- |
//! | [`definition`] | what one version of the configuration says |
//! | [`definition_check`] | what in a version is allowed and will hurt |
//! | [`definition_delta`] | what differs between two versions, for peers |
//! | [`known_configuration`] | the configuration known here, and how much of it a peer is sent |
//! | [`searcher_entry`] | what a searcher says of itself in the store |
//! | `known_entries` | what is known of the entries under one searcher's id |
//! | [`tenants`] | whose requests are taken, and by which keys |
//! | [`rank`], [`allowed_regions`] | how urgent a request is, and where it may be served |
//! | [`table`] | which route a request takes |
//! | [`mirror`] | what this node knows of the platform's store, by revision |
//! | [`store_reader`] | when the store is read, watched, or left alone |
//! | [`evacuations`] | which zones' searchers are to get no new work |
//! | [`searcher`] | what is known of one searcher: entry, load, speed, failures |
//! | [`decay`] | how much of an estimate is still believed after a while |
//! | [`rejection`] | how much of its work a searcher rejects |
//! | [`report`] | what a searcher says of itself with its answers |
//! | [`cold`] | how much a node may send to a searcher that has just started |
//! | [`selection`] | which searcher of a service is asked |
//! | [`admission`] | how much of the offered work is taken while back ends are overloaded |
//! | [`fair_share`] | whose requests are taken while only a part of them is |
//! | [`window`] | how much work beyond the strictly needed may be sent |
//! | [`quarantine`] | which requests end the searchers that run them |
//! | [`unreadable`] | items of the store that can't be used, and why |
//! | [`turns`] | whose turn it is in a weighted set |
//! | [`goal`] | time that this node has to answer in time |
//! | [`keys`] | what attempts, requests and searchers are called by |
//! | [`request`] | state of one request in flight |
//! | [`merge`] | the best records of several parts |
//! | [`policy`] | switches that turn single mechanisms off |
//! | [`engine_message`] | what the engine takes in, and what it wants done |
//! | [`recording`] | recorded decisions, and making them again |
//! | [`engine`] | one request from arrival to its final answer |
//!
//! Everything is driven by `on_event(now, event, &mut actions)`.

pub mod admission;
pub mod allowed_regions;
pub mod cold;
pub mod decay;
pub mod definition;
pub mod definition_check;
pub mod definition_delta;
pub mod engine;
pub mod engine_message;
pub mod evacuations;
pub mod fair_share;
pub mod goal;
pub mod keys;
pub mod known_configuration;
mod known_entries;
pub mod merge;
pub mod mirror;
pub mod policy;
pub mod quarantine;
pub mod rank;
pub mod recording;
pub mod rejection;
pub mod report;
pub mod request;
pub mod searcher;
pub mod searcher_entry;
pub mod selection;
pub mod store_reader;
pub mod table;
pub mod tenants;
pub mod turns;
pub mod unreadable;
pub mod window;

pub use cold::ColdBound;
pub use definition::{CallerLimits, ColdStart, RouteDefinition, RouteTarget, RoutingDefinition, ServiceEntry};
pub use engine::{RoutingAction, RoutingEngine, RoutingEvent, RoutingSettings};
pub use keys::{AttemptKey, ContentKey, Incarnation, InstanceKey, RequestKey, RouteDigest, SearcherKey, TenantKey};
pub use mirror::{Mirror, MirrorItem, MirrorUpdate, PeerKnowledge, SearcherEntry, TakenConfiguration};
pub use policy::RoutingPolicy;
pub use quarantine::{CaseRecord, LostAttempt, Suspicion, SuspicionChange};
pub use report::{ReportedLoad, SearcherReport};
pub use request::{
    Arrival, AttemptOutcome, CallerLink, ConfigurationView, MergedAnswer, NotRun, SearcherAnswer, Verdict,
};
pub use table::RouteTable;
pub use tenants::{Credential, KeyDigest, KeyRefusal, SentIdentity, TenantDefinition};
pub use unreadable::{KeyKind, UnreadableItem, UnreadableReason};
