//! Tests of when a reply that waits for copies of its session is sent.

use super::DelayedReply;
use crate::caller::CallerReply;
use crate::front_message::channel;
use staircross_transport::socket::{SocketId, SocketKind};
use staircross_types::{BootTime, NodeId, SessionToken};

const TOKEN: SessionToken = SessionToken(5);

/// Guards against a reply sent with a single copy confirmed: a copy that was sent again was confirmed again by the same
/// node, and both confirmations counted.
#[test]
fn a_copy_that_is_confirmed_twice_counts_once() {
    let (front, _receiver) = channel().expect("a poll");
    let connection = SocketId { kind: SocketKind::Inbound, generation: 1, slot: 0 };
    let mut delayed = DelayedReply {
        token: TOKEN,
        version: 3,
        wanted_confirmations: 2,
        confirmed_by: Vec::new(),
        deadline: BootTime::default(),
        reply: front.reply_sender(connection),
        content: CallerReply::Closed,
    };
    delayed.record_confirmation(TOKEN, 3, NodeId(1));
    delayed.record_confirmation(TOKEN, 3, NodeId(1));
    delayed.record_confirmation(TOKEN, 2, NodeId(2));
    assert!(!delayed.is_confirmed(), "one node has confirmed version 3");
    delayed.record_confirmation(TOKEN, 4, NodeId(2));
    assert!(delayed.is_confirmed());
}
