//! Ids of a node's incarnations.
//!
//! An id is random but for its last 32 bits: a fingerprint of the fleet, by its store, and of the node's place in it. So an incarnation can tell what
//! was sent to one before it from what was sent to a node of another fleet that had its address.

use crate::settings::GatewaySettings;
use staircross_types::NodeId;
use xxhash_rust::xxh3::xxh3_64;

/// Bits of an id that all incarnations of a node share.
const FINGERPRINT: u128 = u32::MAX as u128;

/// The id of a new incarnation, out of random bits.
pub fn new_id(settings: &GatewaySettings, random: u128) -> NodeId {
    let (store, peers) = (settings.store.address, settings.listen.peers);
    let (region, zone) = (&settings.node.region, &settings.node.zone);
    let fingerprint = xxh3_64(format!("{store} {peers} {region} {zone}").as_bytes());
    NodeId(random & !FINGERPRINT | u128::from(fingerprint) & FINGERPRINT)
}

/// Whether both are incarnations of one node that was set up alike.
pub(super) fn are_of_one_node(one: NodeId, other: NodeId) -> bool {
    one.0 & FINGERPRINT == other.0 & FINGERPRINT
}
