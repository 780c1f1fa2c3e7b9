//! Writes requests to searchers and answers to callers.
//!
//! [`OutboundRequest`] owns the bytes that all attempts of a request share. [`AnswerContext`] holds the properties of
//! a connection and request that an answer depends on. Both rely on the dialect for the names of header fields.

use crate::dialect::HeaderNames;
use staircross_http::{Request, RequestHead, write};
use staircross_routing::{ContentKey, Credential, KeyDigest, MergedAnswer, SearcherAnswer, SentIdentity};
use staircross_types::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3Default;

/// A request as it is sent to searchers, without the fields that differ between attempts.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// Request line and the header fields that are passed on.
    prefix: Rc<[u8]>,
    /// Header fields with the caller's API key and tenant. They are passed on only if the configuration has no tenants.
    identity_fields: Rc<[u8]>,
    body: Rc<[u8]>,
    /// Request method, which decides whether an answer has a body.
    pub method: Rc<str>,
    /// Request id, which every answer must repeat.
    pub id: Option<Rc<[u8]>>,
    /// Digest of the request's content.
    pub content: ContentKey,
    /// The caller's API key.
    pub credential: Credential,
}

impl OutboundRequest {
    /// Copies the parts of a request that are passed on: everything except hop-by-hop fields and fields that are set
    /// for each attempt.
    pub fn new(request: &Request, names: &HeaderNames) -> Self {
        let head = &request.head;
        let mut prefix = Vec::with_capacity(256);
        write::request_line(&mut prefix, &head.method, &head.target);
        let mut identity_fields = Vec::new();
        for (name, value) in head.headers.iter().filter(|(name, _)| is_passed_on(head, name, names)) {
            let fields = if is_identity_field(name, names) { &mut identity_fields } else { &mut prefix };
            write::field(fields, name, value);
        }
        let has_body = !request.body.is_empty() || head.headers.first("content-length").is_some();
        if has_body || head.headers.first("transfer-encoding").is_some() {
            write::field_display(&mut prefix, "Content-Length", request.body.len());
        }
        OutboundRequest {
            prefix: prefix.into(),
            identity_fields: identity_fields.into(),
            body: request.body.as_slice().into(),
            method: head.method.as_str().into(),
            id: head.headers.first(names.request_id).map(|value| value.trim_ascii().into()),
            content: content_of(request),
            credential: credential_of(head, names),
        }
    }

    /// Returns the length of the body, in bytes.
    pub fn body_length(&self) -> usize {
        self.body.len()
    }

    /// Returns the bytes of one attempt.
    pub fn attempt_bytes(
        &self,
        names: &HeaderNames,
        instance: &str,
        identity: &SentIdentity,
        remaining: Duration,
    ) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.prefix.len() + self.body.len() + 128);
        bytes.extend_from_slice(&self.prefix);
        match identity {
            SentIdentity::Unmanaged => bytes.extend_from_slice(&self.identity_fields),
            SentIdentity::Anonymous => {}
            SentIdentity::Tenant(name) => write::field(&mut bytes, names.tenant, name.as_bytes()),
        }
        write::field_display(&mut bytes, names.deadline_ms, remaining.as_millis().max(1));
        write::field(&mut bytes, names.expect_instance, instance.as_bytes());
        write::end_head(&mut bytes);
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Returns a digest of host, method, target and body. It leaves out all other header fields, since ids, deadlines and
/// traces differ when a caller repeats a request.
fn content_of(request: &Request) -> ContentKey {
    let head = &request.head;
    let mut digest = Xxh3Default::new();
    for part in [head.headers.first("host").unwrap_or_default(), head.method.as_bytes(), head.target.as_bytes()] {
        digest.update(&(part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.update(&request.body);
    ContentKey(digest.digest())
}

/// Returns the caller's API key. It must be in a single header field; several fields count as a malformed credential.
fn credential_of(head: &RequestHead, names: &HeaderNames) -> Credential {
    let mut values = head.headers.values(names.api_key);
    match (values.next(), values.next()) {
        (None, _) => Credential::Missing,
        (Some(key), None) => KeyDigest::of(key.trim_ascii()).map_or(Credential::Malformed, Credential::Key),
        (Some(_), Some(_)) => Credential::Malformed,
    }
}

/// Returns whether a header field states the caller's API key or tenant.
fn is_identity_field(name: &str, names: &HeaderNames) -> bool {
    [names.api_key, names.tenant].iter().any(|field| field.eq_ignore_ascii_case(name))
}

/// Returns whether a header field is passed on to searchers.
fn is_passed_on(head: &RequestHead, name: &str, names: &HeaderNames) -> bool {
    let is_set_here = [names.deadline_ms, names.expect_instance, "content-length", "expect"]
        .iter()
        .any(|own| own.eq_ignore_ascii_case(name));
    !is_set_here && !head.headers.is_hop_by_hop(name)
}

/// Properties of the connection and the request that an answer to a caller depends on.
#[derive(Clone, Copy, Debug)]
pub struct AnswerContext<'a> {
    /// Names of the header fields.
    pub names: &'a HeaderNames,
    /// Id of the request, which is repeated in answers that this node generates itself.
    pub id: Option<&'a [u8]>,
    /// Whether the connection is closed after the answer.
    pub closes: bool,
    /// Whether the request method is `HEAD`; if so, no body is written.
    pub is_head: bool,
}

impl AnswerContext<'_> {
    /// Appends the framing fields, the end of the head and the body to an answer.
    fn finish(&self, mut bytes: Vec<u8>, body: &[u8]) -> Vec<u8> {
        write::field_display(&mut bytes, "Content-Length", body.len());
        if self.closes {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end_head(&mut bytes);
        if !self.is_head {
            bytes.extend_from_slice(body);
        }
        bytes
    }

    /// Returns the status line and request id of an answer that this node generates itself.
    fn begin(&self, status: u16) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        write::status_line(&mut bytes, status);
        if let Some(id) = self.id {
            write::field(&mut bytes, self.names.request_id, id);
        }
        bytes
    }

    /// Returns the bytes of an answer that was merged from the answers of several shards.
    pub fn merged(&self, answer: &MergedAnswer) -> Vec<u8> {
        let mut bytes = self.begin(200);
        write::field(&mut bytes, self.names.part_stamps, &answer.stamps.join(&b", "[..]));
        write::field_display(&mut bytes, self.names.missing_parts, answer.missing);
        self.finish(bytes, &answer.body)
    }

    /// Returns the bytes of a searcher's answer that is passed on with unchanged status and body, and with all header
    /// fields except hop-by-hop ones.
    pub fn passed(&self, answer: &SearcherAnswer) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + answer.body.len());
        write::status_line(&mut bytes, answer.status);
        for (name, value) in answer.headers.iter() {
            if !name.eq_ignore_ascii_case("content-length") && !answer.headers.is_hop_by_hop(name) {
                write::field(&mut bytes, name, value);
            }
        }
        let may_have_body = answer.status >= 200 && answer.status != 204 && answer.status != 304;
        if self.is_head {
            if let Some(length) = answer.headers.first("content-length") {
                write::field(&mut bytes, "Content-Length", length);
            }
        } else if may_have_body {
            return self.finish(bytes, &answer.body);
        }
        if self.closes {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::end_head(&mut bytes);
        bytes
    }

    /// Returns the bytes of a refusal by this node. `retry_after` replaces the usual delay of the error kind.
    pub fn refused(&self, kind: ErrorKind, detail: &str, retry_after: Option<Duration>) -> Vec<u8> {
        let mut bytes = self.begin(kind.http_status());
        if let Some(delay) = retry_after.or(kind.retry_after_ms().map(Duration::from_millis)) {
            let seconds = delay.as_secs_f64();
            write::field_display(&mut bytes, self.names.retry_after, format_args!("{seconds:.3}"));
        }
        write::field(&mut bytes, "Content-Type", b"text/plain");
        self.finish(bytes, format!("{kind}: {detail}\n").as_bytes())
    }

    /// Returns the bytes of an answer whose body this node generated.
    pub fn plain(&self, status: u16, content_type: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.begin(status);
        if !body.is_empty() {
            write::field(&mut bytes, "Content-Type", content_type.as_bytes());
        }
        self.finish(bytes, body)
    }
}
