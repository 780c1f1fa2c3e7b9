//! A block of header fields.

use std::ops::Range;

/// Header fields that are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Position of one field's name and value in the text of a [`HeaderBlock`].
#[derive(Clone, Debug, PartialEq, Eq)]
struct FieldSpan {
    name: Range<u32>,
    value: Range<u32>,
}

/// Header fields in the order in which they were received, with all their text in one allocation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderBlock {
    text: Vec<u8>,
    fields: Vec<FieldSpan>,
}

impl HeaderBlock {
    /// Copies header fields parsed by `httparse`.
    pub fn from_parsed(fields: &[httparse::Header<'_>]) -> Self {
        let length = fields.iter().map(|field| field.name.len() + field.value.len()).sum();
        let mut block = HeaderBlock { text: Vec::with_capacity(length), fields: Vec::with_capacity(fields.len()) };
        for field in fields {
            block.push(field.name, field.value);
        }
        block
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        let name_span = self.append(name.as_bytes());
        let value_span = self.append(value);
        self.fields.push(FieldSpan { name: name_span, value: value_span });
    }

    /// Returns the number of bytes that the fields take in memory.
    pub fn held_bytes(&self) -> usize {
        self.text.len() + self.fields.len() * size_of::<FieldSpan>()
    }

    fn append(&mut self, bytes: &[u8]) -> Range<u32> {
        let start = self.text.len() as u32;
        self.text.extend_from_slice(bytes);
        start..self.text.len() as u32
    }

    fn slice(&self, span: &Range<u32>) -> &[u8] {
        &self.text[span.start as usize..span.end as usize]
    }

    /// Returns all fields in order, with names exactly as received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| {
            let name = std::str::from_utf8(self.slice(&field.name)).unwrap_or_default();
            (name, self.slice(&field.value))
        })
    }

    /// Returns all values of the fields named `name`, regardless of case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let matching = self.fields.iter().filter(|field| self.slice(&field.name).eq_ignore_ascii_case(name.as_bytes()));
        matching.map(|field| self.slice(&field.value))
    }

    /// Returns the value of the first field named `name`, regardless of case.
    pub fn first(&self, name: &str) -> Option<&[u8]> {
        let field = self.fields.iter().find(|field| self.slice(&field.name).eq_ignore_ascii_case(name.as_bytes()))?;
        Some(self.slice(&field.value))
    }

    /// Returns the value of the first field named `name` as trimmed text, or `None` if there is no such field or it
    /// isn't UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.first(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns whether a comma-separated field contains `token`, regardless of case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| tokens(value).any(|found| found.eq_ignore_ascii_case(token.as_bytes())))
    }

    /// Returns whether the peer wants the connection closed after this message.
    pub fn asks_to_close(&self) -> bool {
        self.has_token("connection", "close")
    }

    /// Returns whether the field `name` must not be forwarded because it is in [`HOP_BY_HOP`] or `Connection` lists it.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        HOP_BY_HOP.iter().any(|known| known.eq_ignore_ascii_case(name)) || self.has_token("connection", name)
    }

    /// Returns the seconds for which the peer keeps an idle connection open, as stated by `Keep-Alive: timeout=N`.
    pub fn keep_alive_seconds(&self) -> Option<u64> {
        let value = self.text("keep-alive")?;
        let parameter = value.split(',').map(str::trim).find_map(|part| part.strip_prefix("timeout="))?;
        parameter.trim().parse().ok()
    }
}

fn tokens(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}
