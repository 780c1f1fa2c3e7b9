//! Tests that a socket's id can be read back from its token, and that other tokens are no sockets.

use mio::Token;
use staircross_transport::socket::{SocketId, SocketKind};

#[test]
fn a_token_comes_back_as_its_socket() {
    for kind in SocketKind::ALL {
        for (generation, slot) in [(0, 0), (1, 2), (u32::MAX, (1 << 28) - 1)] {
            let id = SocketId { kind, generation, slot };
            assert_eq!(SocketId::from_token(id.token()), Some(id));
        }
    }
}

#[test]
fn a_token_of_no_kind_is_no_socket() {
    assert_eq!(SocketId::from_token(Token(0)), None);
    assert_eq!(SocketId::from_token(Token(7 << 60)), None);
}
