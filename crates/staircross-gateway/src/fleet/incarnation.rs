//! Ids of a node's incarnations. An incarnation is one run of the node's process.
//!
//! An id is random except for its last 32 bits. These are a fingerprint of the store's address, which identifies the
//! fleet, and of the node's peer address, region and zone. So an incarnation can distinguish datagrams for an earlier
//! incarnation of its node from datagrams for a node of another fleet that had the same address.

use crate::settings::GatewaySettings;
use staircross_types::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// Mask of the bits of an id that are equal in all incarnations of a node.
const FINGERPRINT_MASK: u128 = u32::MAX as u128;

/// Returns the id of a new incarnation: bits of `random`, and the fingerprint of the node's settings.
pub fn new_incarnation_id(settings: &GatewaySettings, random: u128) -> NodeId {
    let (store, peers) = (settings.store.address, settings.listen.peers);
    let (region, zone) = (&settings.node.region, &settings.node.zone);
    let fingerprint = xxh3_64(format!("{store} {peers} {region} {zone}").as_bytes());
    NodeId(random & !FINGERPRINT_MASK | u128::from(fingerprint) & FINGERPRINT_MASK)
}

/// Returns whether both ids are of incarnations of one node with unchanged settings.
pub(super) fn is_same_node(one: NodeId, other: NodeId) -> bool {
    one.0 & FINGERPRINT_MASK == other.0 & FINGERPRINT_MASK
}
