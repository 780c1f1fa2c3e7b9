//! Commands of callers and operators, and the replies to them.

use crate::api::{SessionReply, StatementReply, StatusReply, TicketReply};
use staircross_language::Statement;
use staircross_search::Refusal;
use staircross_types::SessionToken;

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
