//! HTTP client of a node for callers and operators, used by the command line and the lab.

use crate::api::{SessionReply, StatementReply, StatusReply, TicketReply};
use crate::http_status::require_final;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use staircross_types::SessionToken;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a reply. It exceeds every wait bound that a service may declare.
const REPLY_TIMEOUT: Duration = Duration::from_secs(620);
/// Longest reply, in bytes.
const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

quick_error! {
    /// Reason why a call failed.
    #[derive(Debug)]
    pub enum ClientError {
        /// The node can't be reached, or the connection broke before the reply was complete.
        Http { address: SocketAddr, error: ureq::Error } {
            display("{address}: {error}")
        }
        /// The reply can't be decoded as the expected type.
        Unexpected { address: SocketAddr, text: String } {
            display("{address}: unexpected reply: {text}")
        }
        /// The node replied with a statement reply, usually a refusal, instead of the expected type.
        Refused { reply: Box<StatementReply> } {
            display("refused: {reply:?}")
        }
    }
}

/// Client of one node.
#[derive(Clone)]
pub struct NodeClient {
    address: SocketAddr,
    agent: ureq::Agent,
}

impl NodeClient {
    /// Creates a client of the node that listens for callers at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_global(Some(REPLY_TIMEOUT));
        NodeClient { address, agent: config.build().into() }
    }

    /// Returns the address at which the node listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a session.
    pub fn open_session(&self) -> Result<SessionToken, ClientError> {
        let reply: SessionReply = self.post_expecting("/v1/sessions", "")?;
        Ok(reply.session)
    }

    /// Closes a session.
    pub fn close_session(&self, session: SessionToken) -> Result<(), ClientError> {
        let url = self.url(&format!("/v1/sessions/{session}"));
        self.agent.delete(url).call().and_then(require_final).map_err(|error| self.http_error(error))?;
        Ok(())
    }

    /// Requests a new ticket of a session.
    pub fn mint_ticket(&self, session: SessionToken) -> Result<String, ClientError> {
        let reply: TicketReply = self.post_expecting(&format!("/v1/sessions/{session}/tickets"), "")?;
        Ok(reply.ticket)
    }

    /// Executes a caller's statement. A refusal is returned as a reply and not as an error.
    pub fn query(&self, session: SessionToken, statement: &str) -> Result<StatementReply, ClientError> {
        self.post_statement(&format!("/v1/sessions/{session}/query"), statement)
    }

    /// Executes an operator's statement. A refusal is returned as a reply and not as an error.
    pub fn command(&self, statement: &str) -> Result<StatementReply, ClientError> {
        self.post_statement("/v1/command", statement)
    }

    /// Requests the node's state.
    pub fn status(&self) -> Result<StatusReply, ClientError> {
        let response = self.agent.get(self.url("/v1/status")).call();
        let text = self.read_text(response)?;
        self.decode(&text)
    }

    fn post_statement(&self, path: &str, statement: &str) -> Result<StatementReply, ClientError> {
        let text = self.post(path, statement)?;
        self.decode(&text)
    }

    fn post_expecting<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, ClientError> {
        let text = self.post(path, body)?;
        match serde_json::from_str(&text) {
            Ok(reply) => Ok(reply),
            Err(_) => Err(ClientError::Refused { reply: Box::new(self.decode(&text)?) }),
        }
    }

    fn post(&self, path: &str, body: &str) -> Result<String, ClientError> {
        let response = self.agent.post(self.url(path)).content_type("text/plain").send(body);
        self.read_text(response)
    }

    fn read_text(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<String, ClientError> {
        let mut response = response.and_then(require_final).map_err(|error| self.http_error(error))?;
        let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_string();
        body.map_err(|error| self.http_error(error))
    }

    fn decode<T: DeserializeOwned>(&self, text: &str) -> Result<T, ClientError> {
        serde_json::from_str(text).map_err(|error| ClientError::Unexpected {
            address: self.address,
            text: format!("{error}: {}", text.chars().take(200).collect::<String>()),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn http_error(&self, error: ureq::Error) -> ClientError {
        ClientError::Http { address: self.address, error }
    }
}
