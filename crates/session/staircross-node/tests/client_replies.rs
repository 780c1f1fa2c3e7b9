//! Tests that a client of a node takes no reply for an answer whose status HTTP doesn't have.

#[path = "common/faulty_server.rs"]
mod faulty_server;

use faulty_server::{Fault, Reply};
use staircross_node::{ClientError, NodeClient};
use staircross_types::SessionToken;

/// Asks for a ticket a server that answers each request with one, and with this status.
fn mint_ticket(status: &'static str) -> Result<String, ClientError> {
    let address = faulty_server::start(Fault::Status(status), |_, _| Reply {
        fields: String::new(),
        body: b"{\"ticket\":\"7\"}".to_vec(),
    });
    NodeClient::new(address).mint_ticket(SessionToken(5))
}

#[test]
fn a_reply_whose_status_http_does_not_have_is_no_answer() {
    assert_eq!(mint_ticket("200").expect("a ticket"), "7");
    for status in ["000", "099", "600", "999"] {
        let outcome = mint_ticket(status);
        assert!(matches!(outcome, Err(ClientError::Http { .. })), "{status}: {outcome:?}");
    }
}
