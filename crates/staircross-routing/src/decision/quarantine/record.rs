//! Contents and their losses as nodes send them to each other.
//!
//! Times go as ages in milliseconds, since nodes' clocks differ. Records are merged by union, so that order and loss of datagrams don't matter.

use crate::keys::{ContentKey, InstanceKey, RouteDigest};
use serde::{Deserialize, Serialize};

/// A content as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CaseRecord {
    /// The content.
    #[serde(rename = "c")]
    pub content: ContentKey,
    /// Searchers lost.
    #[serde(rename = "l")]
    pub losses: Vec<LossRecord>,
    /// Milliseconds since it was answered last, if it was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub answered_ms: Option<u32>,
    /// The route that it was asked by, if the sender knows it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteDigest>,
}

/// A searcher lost under a content, as it is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossRecord {
    /// Its incarnation.
    #[serde(rename = "s")]
    pub searcher: InstanceKey,
    /// Milliseconds since it was sent the request.
    #[serde(rename = "b")]
    pub sent_ms: u32,
    /// Milliseconds since its connection ended.
    #[serde(rename = "e")]
    pub lost_ms: u32,
    /// Whether it has answered something that was sent later.
    #[serde(rename = "v")]
    pub is_alive: bool,
}
