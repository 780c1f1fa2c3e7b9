//! Bodies of requests: a statement as plain text, or as JSON.

use crate::api::StatementRequest;
use staircross_language::{Statement, parse_statement};
use staircross_search::Refusal;
use staircross_types::ErrorKind;

/// Decodes and parses the statement in a body.
pub(super) fn read_statement(body: Vec<u8>) -> Result<Statement, Refusal> {
    let text = String::from_utf8(body).map_err(|_| Refusal::new(ErrorKind::BadRequest, "body: not UTF-8"))?;
    let statement = match text.trim_start().starts_with('{') {
        true => {
            let call: StatementRequest = serde_json::from_str(&text)
                .map_err(|error| Refusal::new(ErrorKind::BadRequest, format!("body: {error}")))?;
            call.statement
        }
        false => text,
    };
    parse_statement(&statement).map_err(|error| Refusal::new(ErrorKind::BadSyntax, error.to_string()))
}
