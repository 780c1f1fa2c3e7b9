//! Gossip of the searcher states that owners observe.
//!
//! Each searcher has one record with a version. An owner that observes a change raises the version; of two records
//! the one with the higher version wins. New records are pushed to a few random members, a bounded number of
//! times. Periodically, a node compares fingerprints with a random member, and each sends the other the records that it
//! lacks.

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use staircross_types::{BootTime, NodeId, SearcherId, SearcherIncarnation, Snapshot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time between pushes while there are records to push.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Number of members that receive a push.
const PUSH_FANOUT: usize = 2;
/// Maximum number of records in one push.
const MAX_PUSH_RECORDS: usize = 12;
/// Number of pushes of a record by each node for each doubling of the fleet's size; two more pushes are added.
const RETRANSMITS_PER_DOUBLING: u32 = 1;
/// Time between the comparisons that this node starts, each with a random member.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between comparisons while this node knows no record.
const NEWCOMER_COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of buckets into which a comparison divides the searchers. Versions are listed only for buckets whose
/// fingerprints differ.
const BUCKETS: usize = 64;

/// What a searcher last reported of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedReport {
    /// Incarnation of the searcher.
    #[serde(rename = "i")]
    pub incarnation: SearcherIncarnation,
    /// Snapshots that the searcher holds.
    #[serde(rename = "s")]
    pub snapshots: Vec<Snapshot>,
}

/// Record of one searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRecord {
    /// Id of the searcher.
    #[serde(rename = "r")]
    pub searcher: SearcherId,
    /// What the searcher last reported; `None` when it doesn't answer.
    #[serde(rename = "e")]
    pub report: Option<GossipedReport>,
    /// Whether the searcher is leaving: it drains, the platform lists it as leaving, or an operator drains it.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Version of the record.
    #[serde(rename = "v")]
    pub version: u64,
    /// Owner that created the record; at equal versions the record with the higher owner id wins.
    #[serde(rename = "o")]
    pub origin: NodeId,
}

/// Version of one searcher's record, as listed in a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVersion {
    /// Id of the searcher.
    pub searcher: SearcherId,
    /// Version that the sender holds.
    pub version: u64,
}

/// Messages about searcher views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewMessage {
    /// Carries records that may be new to the receiver.
    #[serde(rename = "News")]
    Updates { records: Vec<ViewRecord> },
    /// Starts a comparison with the fingerprints of all buckets.
    Compare { fingerprints: Vec<u64> },
    /// Lists the versions that the sender holds in the buckets that differ. The receiver answers with its newer
    /// records.
    Versions { buckets: Vec<u8>, versions: Vec<ViewVersion> },
}

/// What the caller of the view logic must do.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewAction {
    /// Send a message.
    Send { to: NodeId, address: SocketAddr, message: ViewMessage },
    /// Take note that a record has changed.
    Changed(ViewRecord),
}

/// Searcher records of one node, and those that it still pushes.
pub struct Views {
    me: NodeId,
    records: BTreeMap<SearcherId, ViewRecord>,
    /// Searchers whose records are still pushed, each with the number of its pushes so far.
    pending_pushes: Vec<(SearcherId, u32)>,
    next_push: BootTime,
    next_compare: BootTime,
}

impl Views {
    /// Creates the state of a node that knows no record.
    pub fn new(me: NodeId) -> Self {
        Views {
            me,
            records: BTreeMap::new(),
            pending_pushes: Vec::new(),
            next_push: BootTime::default(),
            next_compare: BootTime::default(),
        }
    }

    /// Returns all known records.
    pub fn records(&self) -> impl Iterator<Item = &ViewRecord> {
        self.records.values()
    }

    /// Records what this node, an owner, has observed of a searcher, under a new version.
    pub fn observe(
        &mut self,
        searcher: SearcherId,
        report: Option<GossipedReport>,
        leaving: bool,
        actions: &mut Vec<ViewAction>,
    ) {
        let version = self.records.get(&searcher).map_or(0, |record| record.version) + 1;
        let record = ViewRecord { searcher, report, leaving, version, origin: self.me };
        self.store_if_newer(record, actions);
    }

    /// Stores a record and queues it for pushes, if it is newer than the one known.
    fn store_if_newer(&mut self, record: ViewRecord, actions: &mut Vec<ViewAction>) {
        let is_new = self
            .records
            .get(&record.searcher)
            .is_none_or(|known| (record.version, record.origin) > (known.version, known.origin));
        if !is_new {
            return;
        }
        self.pending_pushes.retain(|(searcher, _)| *searcher != record.searcher);
        self.pending_pushes.push((record.searcher, 0));
        self.records.insert(record.searcher, record.clone());
        actions.push(ViewAction::Changed(record));
    }

    /// Handles a message from a peer.
    pub fn on_message(
        &mut self,
        from: NodeId,
        from_address: SocketAddr,
        message: ViewMessage,
        actions: &mut Vec<ViewAction>,
    ) {
        match message {
            ViewMessage::Updates { records } => {
                for record in records {
                    self.store_if_newer(record, actions);
                }
            }
            ViewMessage::Compare { fingerprints } => {
                let own_fingerprints = self.fingerprints();
                let differs =
                    |bucket: &u8| fingerprints.get(usize::from(*bucket)) != own_fingerprints.get(usize::from(*bucket));
                let buckets: Vec<u8> = (0..BUCKETS as u8).filter(differs).collect();
                if !buckets.is_empty() {
                    let versions = self.versions_in(&buckets);
                    let message = ViewMessage::Versions { buckets, versions };
                    actions.push(ViewAction::Send { to: from, address: from_address, message });
                }
            }
            ViewMessage::Versions { buckets, versions } => {
                self.answer_versions(from, from_address, &buckets, &versions, actions);
            }
        }
    }

    /// Sends the records that are newer here than at the peer. If the peer has newer ones, sends this node's own
    /// versions, which the peer answers with them.
    fn answer_versions(
        &self,
        from: NodeId,
        from_address: SocketAddr,
        buckets: &[u8],
        versions: &[ViewVersion],
        actions: &mut Vec<ViewAction>,
    ) {
        let peer_versions: BTreeMap<SearcherId, u64> =
            versions.iter().map(|version| (version.searcher, version.version)).collect();
        let is_in_buckets = |record: &&ViewRecord| buckets.contains(&bucket_of(record.searcher));
        let is_newer_here =
            |record: &&ViewRecord| peer_versions.get(&record.searcher).is_none_or(|held| record.version > *held);
        let records: Vec<ViewRecord> =
            self.records.values().filter(is_in_buckets).filter(is_newer_here).cloned().collect();
        if !records.is_empty() {
            let message = ViewMessage::Updates { records };
            actions.push(ViewAction::Send { to: from, address: from_address, message });
        }
        let is_behind = peer_versions
            .iter()
            .any(|(searcher, version)| self.records.get(searcher).is_none_or(|record| record.version < *version));
        if is_behind {
            let versions = self.versions_in(buckets);
            let message = ViewMessage::Versions { buckets: buckets.to_vec(), versions };
            actions.push(ViewAction::Send { to: from, address: from_address, message });
        }
    }

    /// Returns the versions of the records in the given buckets.
    fn versions_in(&self, buckets: &[u8]) -> Vec<ViewVersion> {
        let records = self.records.values().filter(|record| buckets.contains(&bucket_of(record.searcher)));
        records.map(|record| ViewVersion { searcher: record.searcher, version: record.version }).collect()
    }

    /// Computes one checksum for each bucket, over the searchers, versions and owners of its records.
    fn fingerprints(&self) -> Vec<u64> {
        let mut fingerprints = vec![0_u64; BUCKETS];
        for record in self.records.values() {
            let mut bytes = [0_u8; 28];
            bytes[..4].copy_from_slice(&record.searcher.0.to_be_bytes());
            bytes[4..12].copy_from_slice(&record.version.to_be_bytes());
            bytes[12..].copy_from_slice(&record.origin.0.to_be_bytes());
            fingerprints[usize::from(bucket_of(record.searcher))] ^= xxh3_64(&bytes);
        }
        fingerprints
    }

    /// Pushes records and starts a comparison when they are due; `others` are the live members.
    pub fn on_tick(
        &mut self,
        now: BootTime,
        others: &[(NodeId, SocketAddr)],
        random: &mut ChaCha8Rng,
        actions: &mut Vec<ViewAction>,
    ) {
        if now >= self.next_push && !self.pending_pushes.is_empty() {
            self.next_push = now + PUSH_INTERVAL;
            self.push(others, random, actions);
        }
        if now >= self.next_compare
            && let Some((node, address)) = others.choose(random)
        {
            // A new node compares again soon, so that it isn't without searcher records for long.
            let is_newcomer = self.records.is_empty();
            self.next_compare = now + if is_newcomer { NEWCOMER_COMPARE_INTERVAL } else { COMPARE_INTERVAL };
            let message = ViewMessage::Compare { fingerprints: self.fingerprints() };
            actions.push(ViewAction::Send { to: *node, address: *address, message });
        }
    }

    /// Sends the least often pushed records to random members.
    fn push(&mut self, others: &[(NodeId, SocketAddr)], random: &mut ChaCha8Rng, actions: &mut Vec<ViewAction>) {
        let max_sends = RETRANSMITS_PER_DOUBLING * (others.len() as u32 + 1).ilog2() + 2;
        self.pending_pushes.sort_by_key(|(_, times_sent)| *times_sent);
        let mut records = Vec::new();
        for (searcher, times_sent) in self.pending_pushes.iter_mut().take(MAX_PUSH_RECORDS) {
            *times_sent += 1;
            records.extend(self.records.get(searcher).cloned());
        }
        self.pending_pushes.retain(|(_, times_sent)| *times_sent < max_sends);
        for (node, address) in others.choose_multiple(random, PUSH_FANOUT) {
            let message = ViewMessage::Updates { records: records.clone() };
            actions.push(ViewAction::Send { to: *node, address: *address, message });
        }
    }
}

fn bucket_of(searcher: SearcherId) -> u8 {
    (searcher.0 as usize % BUCKETS) as u8
}
