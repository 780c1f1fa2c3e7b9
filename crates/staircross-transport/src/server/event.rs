//! What the server reports to the node, and the timeouts that it applies.

use super::ConnectionInfo;
use crate::socket::SocketId;
use staircross_http::{Request, ServerFault};
use std::time::Duration;

/// An event on a connection.
#[derive(Debug)]
pub enum ServerEvent<E> {
    /// A complete request, which must be answered with [`Server::respond`](super::Server::respond).
    Request {
        /// The connection that the answer goes to.
        connection: SocketId,
        /// What the connection's listener serves.
        endpoint: E,
        /// The request.
        request: Box<Request>,
        /// Properties of the connection.
        info: ConnectionInfo,
    },
    /// The peer sent bytes that aren't a valid request. The event must be answered, and the connection closed.
    Fault {
        /// The connection that the answer goes to.
        connection: SocketId,
        /// What is wrong with the bytes.
        fault: ServerFault,
    },
    /// The peer began a request and then sent nothing for too long. The event must be answered, and the connection
    /// closed.
    RequestTimedOut {
        /// The connection that the answer goes to.
        connection: SocketId,
    },
    /// A request that wasn't complete yet was dropped, because connections together hold too much. The event must be
    /// answered, and the connection closed.
    RequestDropped {
        /// The connection that the answer goes to.
        connection: SocketId,
    },
    /// The connection was closed before its answer was written whole, because connections together hold too much.
    AnswerDropped {
        /// The connection, which no longer exists.
        connection: SocketId,
    },
    /// The peer closed the connection, or it broke, before its request was answered. Where the close arrived together
    /// with the request, [`Server::is_open`](super::Server::is_open) says so already when the event of the request is
    /// handled.
    Disconnected {
        /// The connection, which no longer exists.
        connection: SocketId,
    },
}

/// Timeouts of accepted connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerTimeouts {
    /// Longest time from the first byte of a request to the end of its head, and longest silence within its body.
    pub partial_request: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle: Duration,
}
