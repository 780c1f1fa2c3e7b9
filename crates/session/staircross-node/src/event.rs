//! Events that the threads of a node send to its core thread, and the commands and replies of callers.

use crate::api::{SessionReply, StatementReply, StatusReply, TicketReply};
use crossbeam::channel::Sender;
use staircross_config::{MachineList, PlatformDocument};
use staircross_language::Statement;
use staircross_search::{ProbeReport, Refusal, SubReply, SubRequest};
use staircross_types::{BootTime, SearcherId, SearcherIncarnation, SessionToken};
use staircross_wire::PeerMessage;
use std::net::SocketAddr;
use std::sync::Arc;

/// An event that the core thread handles.
pub enum CoreEvent {
    /// A caller or operator sent a command.
    Caller {
        /// The command.
        command: CallerCommand,
        /// Channel on which the sender waits for the reply.
        reply: Sender<CallerReply>,
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
    Platform(Arc<PlatformDocument>),
    /// The machine list was read from the platform.
    Machines(MachineList),
    /// A planned stop was requested.
    Stop,
}

/// A command of a caller or operator.
#[derive(Clone, Debug)]
pub enum CallerCommand {
    /// Open a session.
    OpenSession,
    /// Close a session.
    CloseSession(SessionToken),
    /// Mint a ticket for a non-repeatable request.
    MintTicket(SessionToken),
    /// Execute a caller's statement.
    Execute {
        /// Token of the session.
        token: SessionToken,
        /// The statement.
        statement: Statement,
    },
    /// Execute an operator's statement.
    ExecuteOperatorStatement(Statement),
    /// Report the node's state.
    Status,
}

/// The reply to a [`CallerCommand`].
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// Reply to [`CallerCommand::OpenSession`].
    Session(SessionReply),
    /// Reply to [`CallerCommand::CloseSession`].
    Closed,
    /// Reply to [`CallerCommand::MintTicket`].
    Ticket(TicketReply),
    /// Reply to [`CallerCommand::Execute`] or [`CallerCommand::ExecuteOperatorStatement`].
    Statement(StatementReply),
    /// Reply to [`CallerCommand::Status`].
    Status(Box<StatusReply>),
    /// The command was refused.
    Refused(Refusal),
}
