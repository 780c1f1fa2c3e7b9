//! What a client knows of the response that it waits for.

use crate::head::ResponseHead;
use crate::headers::HeaderBlock;

/// The outstanding request, as far as it is needed to recognise and read its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Method of the request. Responses to `HEAD` have no body.
    pub method: String,
    /// Id that the response must repeat; `None` where the protocol has no request ids.
    pub id: Option<ExpectedId>,
}

/// The header field that ties a response to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedId {
    /// Name of the header field.
    pub field: &'static str,
    /// Value that the field must have in the response.
    pub value: Vec<u8>,
}

impl Expected {
    /// Returns whether a response belongs to this request. Where ids are used, a response without an id belongs to
    /// none.
    pub(crate) fn matches(&self, head: &ResponseHead) -> bool {
        match &self.id {
            Some(id) => head.headers.first(id.field).is_some_and(|value| value.trim_ascii() == id.value),
            None => true,
        }
    }

    /// Returns whether any field of a head has the id of this request. Where no ids are used, every response counts.
    pub(crate) fn is_repeated_in(&self, headers: &HeaderBlock) -> bool {
        match &self.id {
            Some(id) => headers.values(id.field).any(|value| value.trim_ascii() == id.value),
            None => true,
        }
    }
}
