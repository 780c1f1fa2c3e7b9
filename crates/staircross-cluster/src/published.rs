//! The platform's document as this node holds it, relayed between nodes.
//!
//! The platform alone decides what is in force; a node takes every newer document from any node that has
//! it, and never an older one. Each node announces to a few others which revision it holds; one that has a
//! newer one answers with it. So a node that the platform doesn't serve follows its peers.

use crate::member::Member;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use staircross_config::PlatformDocument;
use staircross_types::{BootTime, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between publications.
const PUBLISH_EVERY: Duration = Duration::from_millis(250);
/// Others sent to each time, and at once after updates.
const FANOUT: usize = 2;
const UPDATE_FANOUT: usize = 6;

/// What nodes say to each other about the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PublishedMessage {
    /// The revision that the sender holds; 0 when it holds none.
    #[serde(rename = "h")]
    Holds {
        /// The revision.
        #[serde(rename = "r")]
        revision: u64,
    },
    /// A document that the receiver lacks.
    #[serde(rename = "d")]
    Document(Arc<PlatformDocument>),
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedSend {
    /// To whom.
    pub to: NodeId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What.
    pub message: PublishedMessage,
}

/// The document in force, as far as this node knows.
#[derive(Debug, Default)]
pub struct Published {
    held: Option<Arc<PlatformDocument>>,
    /// Revisions that others said they hold.
    held_by_peer: BTreeMap<NodeId, u64>,
    has_update: bool,
    next_publication: BootTime,
}

impl Published {
    /// A node that holds nothing yet.
    pub fn new() -> Self {
        Published::default()
    }

    /// The document held.
    pub fn document(&self) -> Option<&Arc<PlatformDocument>> {
        self.held.as_ref()
    }

    /// Its revision; 0 when none is held.
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |document| document.revision)
    }

    /// The revision that a node last said it holds.
    pub fn revision_of(&self, node: NodeId) -> Option<u64> {
        self.held_by_peer.get(&node).copied()
    }

    /// Takes a document if it is newer than what is held, and valid. Returns whether it was taken.
    pub fn take(&mut self, document: Arc<PlatformDocument>) -> bool {
        // The platform may be stale or step back; what was in force never reverts.
        if document.revision <= self.revision() || document.check().is_err() {
            return false;
        }
        self.held = Some(document);
        self.has_update = true;
        true
    }

    /// Takes a message. Returns whether a newer document is held since.
    pub fn on_message(
        &mut self,
        from: NodeId,
        address: SocketAddr,
        message: PublishedMessage,
        out: &mut Vec<PublishedSend>,
    ) -> bool {
        match message {
            PublishedMessage::Holds { revision } => {
                self.held_by_peer.insert(from, revision);
                out.extend(self.answer_to(revision).map(|message| PublishedSend { to: from, address, message }));
                false
            }
            PublishedMessage::Document(document) => self.take(document),
        }
    }

    /// A node that has less gets the document; one that has more is asked for it by the announcement of what is held.
    fn answer_to(&self, theirs: u64) -> Option<PublishedMessage> {
        let own = self.revision();
        match &self.held {
            Some(document) if theirs < own => Some(PublishedMessage::Document(document.clone())),
            _ if theirs > own => Some(PublishedMessage::Holds { revision: own }),
            _ => None,
        }
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: BootTime, others: &[&Member], rng: &mut ChaCha8Rng, out: &mut Vec<PublishedSend>) {
        if now < self.next_publication && !self.has_update {
            return;
        }
        let count = if self.has_update { UPDATE_FANOUT } else { FANOUT };
        self.has_update = false;
        self.next_publication = now + PUBLISH_EVERY;
        self.held_by_peer.retain(|node, _| others.iter().any(|member| member.node == *node));
        let message = PublishedMessage::Holds { revision: self.revision() };
        out.extend(others.choose_multiple(rng, count).map(|member| PublishedSend {
            to: member.node,
            address: member.peer_address,
            message: message.clone(),
        }));
    }
}
