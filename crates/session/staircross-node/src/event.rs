//! What happens to a node: the messages that its threads send to the one that decides.

use crate::api::{SessionReply, StatementReply, StatusReply, TicketReply};
use crossbeam::channel::Sender;
use staircross_config::{MachineList, PlatformDocument};
use staircross_language::Statement;
use staircross_search::{Evidence, Refusal, SubReply, SubRequest};
use staircross_types::{BootTime, SearcherId, SearcherIncarnation, SessionToken};
use staircross_wire::PeerMessage;
use std::net::SocketAddr;
use std::sync::Arc;

/// What happens to a node.
pub enum CoreEvent {
    /// A caller or operator asks.
    Caller {
        /// What.
        command: CallerCommand,
        /// Where the reply goes.
        reply: Sender<CallerReply>,
    },
    /// Another node says something.
    Peer(PeerMessage),
    /// A connection to another node broke after something was written.
    PeerBroken(SocketAddr),
    /// A sub-request didn't reach its leaf, or perhaps not.
    Undelivered {
        /// The sub-request.
        request: SubRequest,
        /// Whether some of its bytes may have left.
        partly_written: bool,
    },
    /// A call to a searcher ended.
    SearcherReplied {
        /// The reply, true or made up for one that didn't come.
        reply: SubReply,
        /// The run of the searcher that replied, if one did.
        run: Option<SearcherIncarnation>,
    },
    /// A probe of a searcher ended.
    Probed {
        /// The searcher.
        searcher: SearcherId,
        /// When it was asked.
        asked_at: BootTime,
        /// What it said.
        evidence: Option<Evidence>,
    },
    /// The platform's document was read.
    Platform(Arc<PlatformDocument>),
    /// The platform's machine list was read.
    Machines(MachineList),
    /// A planned stop begins.
    Stop,
}

/// What a caller or operator asks.
#[derive(Clone, Debug)]
pub enum CallerCommand {
    /// Open a session.
    OpenSession,
    /// Close one.
    CloseSession(SessionToken),
    /// Mint a ticket for a non-repeatable request.
    MintTicket(SessionToken),
    /// Execute a caller's statement.
    Execute {
        /// The session.
        token: SessionToken,
        /// The statement.
        statement: Statement,
    },
    /// Execute an operator's statement.
    Operate(Statement),
    /// Tell the node's state.
    Status,
}

/// The reply.
#[derive(Clone, Debug)]
pub enum CallerReply {
    /// To [`CallerCommand::OpenSession`].
    Session(SessionReply),
    /// To [`CallerCommand::CloseSession`].
    Closed,
    /// To [`CallerCommand::MintTicket`].
    Ticket(TicketReply),
    /// To a statement.
    Statement(StatementReply),
    /// To [`CallerCommand::Status`].
    Status(Box<StatusReply>),
    /// Refused.
    Refused(Refusal),
}
