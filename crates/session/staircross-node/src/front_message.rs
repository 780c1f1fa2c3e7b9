//! Messages that the core thread sends to the HTTP server.

use crate::caller::CallerReply;
use crossbeam::channel::{Receiver, Sender, unbounded};
use mio::{Poll, Token, Waker};
use staircross_transport::socket::SocketId;
use std::io;
use std::sync::Arc;

/// Token of the waker. No [`SocketId`] has this token.
pub const WAKER_TOKEN: Token = Token(0);

/// A message to the HTTP server.
pub enum FrontMessage {
    /// The reply to the command of a connection.
    Reply {
        /// The connection that waits for the reply.
        connection: SocketId,
        /// The reply, or `None` if the core dropped the command without one.
        reply: Option<Box<CallerReply>>,
    },
    /// A planned stop has begun.
    StopBegun,
    /// The core has nothing left to do for callers: the server must stop listening, and end when its callers have left.
    StopListening,
}

/// Sends messages to the HTTP server and wakes it.
#[derive(Clone)]
pub struct FrontSender {
    messages: Sender<FrontMessage>,
    waker: Arc<Waker>,
}

impl FrontSender {
    /// Sends a message. It is dropped if the HTTP server has ended, since no caller waits then.
    pub fn send(&self, message: FrontMessage) {
        let _front_may_have_ended = self.messages.send(message);
        // Without this wake-up, the message waits until the server's next tick.
        let _best_effort = self.waker.wake();
    }

    /// Returns the sender of the reply to a connection's command.
    pub fn reply_sender(&self, connection: SocketId) -> ReplySender {
        ReplySender { connection, front: Some(self.clone()) }
    }
}

/// The receiving side: the messages, and the poll that is woken by them.
pub struct FrontReceiver {
    /// Poll for the sockets of the HTTP server.
    pub poll: Poll,
    /// Messages to the HTTP server.
    pub messages: Receiver<FrontMessage>,
}

/// Creates both sides.
///
/// # Errors
///
/// Returns an error if the operating system has no descriptor left.
pub fn channel() -> io::Result<(FrontSender, FrontReceiver)> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
    let (sender, messages) = unbounded();
    Ok((FrontSender { messages: sender, waker }, FrontReceiver { poll, messages }))
}

/// Sends the reply to one command. If it is dropped without a reply, the caller is told that the outcome is unknown.
pub struct ReplySender {
    connection: SocketId,
    /// `None` once the reply has been sent.
    front: Option<FrontSender>,
}

impl ReplySender {
    /// Sends the reply to the caller.
    pub fn send(mut self, reply: CallerReply) {
        self.send_once(Some(Box::new(reply)));
    }

    fn send_once(&mut self, reply: Option<Box<CallerReply>>) {
        if let Some(front) = self.front.take() {
            front.send(FrontMessage::Reply { connection: self.connection, reply });
        }
    }
}

impl Drop for ReplySender {
    fn drop(&mut self) {
        self.send_once(None);
    }
}
