//! Wire format in which nodes report contents and their losses to each other.
//!
//! Times are sent as ages in milliseconds, since the clocks of nodes differ. Reports are merged by union, so that the
//! order and loss of datagrams don't matter.

use crate::keys::{ContentKey, InstanceKey, RouteDigest};
use serde::{Deserialize, Serialize};

/// Record of the case of one content, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseRecord {
    /// The content.
    #[serde(rename = "c")]
    pub content: ContentKey,
    /// Searchers lost while running the content.
    #[serde(rename = "l")]
    pub losses: Vec<LossRecord>,
    /// Milliseconds since the content was last answered, if it was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub answered_ms: Option<u32>,
    /// Route of the requests with this content, if the sender knows it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteDigest>,
}

/// Record of one searcher that was lost while running a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecord {
    /// Incarnation of the searcher.
    #[serde(rename = "s")]
    pub searcher: InstanceKey,
    /// Milliseconds since the request was sent to the searcher.
    #[serde(rename = "b")]
    pub sent_ms: u32,
    /// Milliseconds since the searcher's connection ended.
    #[serde(rename = "e")]
    pub lost_ms: u32,
    /// Whether the searcher has answered a request that was sent later.
    #[serde(rename = "v")]
    pub is_alive: bool,
}
