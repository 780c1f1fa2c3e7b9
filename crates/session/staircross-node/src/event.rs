//! Events that the threads of a node send to its core thread.

use crate::caller::CallerCommand;
use crate::front_message::ReplySender;
use staircross_config::{MachineList, PlatformDocument};
use staircross_search::{ProbeReport, SubReply, SubRequest};
use staircross_types::{BootTime, SearcherId, SearcherIncarnation};
use staircross_wire::PeerMessage;
use std::net::SocketAddr;
use std::sync::Arc;

/// An event that the core thread handles.
pub enum CoreEvent {
    /// A caller or operator sent a command.
    Caller {
        /// The command.
        command: CallerCommand,
        /// Sends the reply to the caller.
        reply: ReplySender,
    },
    /// A message of another node arrived.
    Peer(PeerMessage),
    /// A connection to the node at this address broke while a message was written to it.
    PeerBroken(SocketAddr),
    /// Sending a sub-request to another node failed, before or after some of its bytes were sent.
    Undelivered {
        /// The sub-request.
        request: SubRequest,
        /// Whether some of its bytes may have been sent. If so, it may have arrived.
        partly_written: bool,
    },
    /// A call to a searcher ended.
    SearcherReplied {
        /// The searcher's reply, or one made by this node that says how the call failed.
        reply: SubReply,
        /// Incarnation of the searcher that replied, if one did.
        incarnation: Option<SearcherIncarnation>,
    },
    /// A probe of a searcher ended.
    Probed {
        /// The searcher that was probed.
        searcher: SearcherId,
        /// Time at which the probe was sent.
        asked_at: BootTime,
        /// State that the searcher reported, or `None` if the probe failed.
        report: Option<ProbeReport>,
    },
    /// The service document was read from the platform.
    Platform {
        /// The document.
        document: Arc<PlatformDocument>,
        /// Time at which the platform was asked.
        asked_at: BootTime,
    },
    /// The machine list was read from the platform.
    Machines {
        /// The list.
        list: MachineList,
        /// Time at which the platform was asked.
        asked_at: BootTime,
    },
    /// A planned stop was requested.
    Stop,
    /// The HTTP server has ended. It is the last event that the HTTP server sends.
    FrontEnded,
}
