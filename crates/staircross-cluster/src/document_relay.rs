//! The platform's document as this node holds it, and its relay between nodes.
//!
//! The platform alone decides which document is in force. A node adopts a newer document from the platform or any
//! peer, and never an older one. Each node announces the revision that it holds to a few peers; a peer with a newer
//! revision answers with its document. So a node that can't reach the platform still receives its documents from peers.

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

/// Time between announcements of the revision held.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of members that receive a periodic announcement.
const ANNOUNCE_FANOUT: usize = 2;
/// Number of members that receive the announcement of a new document, which is sent without waiting for the next
/// period.
const NEW_DOCUMENT_FANOUT: usize = 6;

/// Messages about the platform's document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentMessage {
    /// Announces the revision that the sender holds; 0 when it holds none.
    #[serde(rename = "h")]
    Holds {
        /// Revision that the sender holds.
        #[serde(rename = "r")]
        revision: u64,
    },
    /// Carries a document that is newer than the receiver's.
    #[serde(rename = "d")]
    Document(Arc<PlatformDocument>),
}

/// A message to be sent to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct DocumentSend {
    /// Incarnation of the receiver.
    pub to: NodeId,
    /// Peer address of the receiver.
    pub address: SocketAddr,
    /// The message itself.
    pub message: DocumentMessage,
}

/// The newest valid document that this node has received, and the revisions that peers hold.
#[derive(Debug, Default)]
pub struct DocumentRelay {
    held: Option<Arc<PlatformDocument>>,
    /// Revisions that peers last announced.
    peer_revisions: BTreeMap<NodeId, u64>,
    /// Whether a document was adopted since the last announcement.
    has_unannounced_document: bool,
    next_announcement: BootTime,
}

impl DocumentRelay {
    /// Creates the state of a node that holds no document yet.
    pub fn new() -> Self {
        DocumentRelay::default()
    }

    /// Returns the document that this node holds.
    pub fn document(&self) -> Option<&Arc<PlatformDocument>> {
        self.held.as_ref()
    }

    /// Returns the revision of the document that this node holds; 0 when it holds none.
    pub fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |document| document.revision)
    }

    /// Returns the revision that a peer last announced.
    pub fn revision_of(&self, node: NodeId) -> Option<u64> {
        self.peer_revisions.get(&node).copied()
    }

    /// Adopts a document if it is valid and newer than the one held. Returns whether it was adopted.
    pub fn adopt(&mut self, document: Arc<PlatformDocument>) -> bool {
        // The platform may serve an old revision; the document in force is never replaced by an older one.
        if document.revision <= self.revision() || document.check().is_err() {
            return false;
        }
        self.held = Some(document);
        self.has_unannounced_document = true;
        true
    }

    /// Handles a message from a peer. Returns whether it brought a newer document.
    pub fn on_message(
        &mut self,
        from: NodeId,
        address: SocketAddr,
        message: DocumentMessage,
        out: &mut Vec<DocumentSend>,
    ) -> bool {
        match message {
            DocumentMessage::Holds { revision } => {
                self.peer_revisions.insert(from, revision);
                out.extend(self.answer_announcement(revision).map(|message| DocumentSend {
                    to: from,
                    address,
                    message,
                }));
                false
            }
            DocumentMessage::Document(document) => self.adopt(document),
        }
    }

    /// Answers an announcement: a peer with an older revision gets the document; a peer with a newer one gets this
    /// node's own announcement, which it answers with its document.
    fn answer_announcement(&self, peer_revision: u64) -> Option<DocumentMessage> {
        let own_revision = self.revision();
        match &self.held {
            Some(document) if peer_revision < own_revision => Some(DocumentMessage::Document(document.clone())),
            _ if peer_revision > own_revision => Some(DocumentMessage::Holds { revision: own_revision }),
            _ => None,
        }
    }

    /// Announces the revision held to random members when that is due, or at once after a new document was adopted.
    pub fn on_tick(&mut self, now: BootTime, others: &[&Member], rng: &mut ChaCha8Rng, out: &mut Vec<DocumentSend>) {
        if now < self.next_announcement && !self.has_unannounced_document {
            return;
        }
        let count = if self.has_unannounced_document { NEW_DOCUMENT_FANOUT } else { ANNOUNCE_FANOUT };
        self.has_unannounced_document = false;
        self.next_announcement = now + ANNOUNCEMENT_INTERVAL;
        self.peer_revisions.retain(|node, _| others.iter().any(|member| member.node == *node));
        let message = DocumentMessage::Holds { revision: self.revision() };
        out.extend(others.choose_multiple(rng, count).map(|member| DocumentSend {
            to: member.node,
            address: member.peer_address,
            message: message.clone(),
        }));
    }
}
