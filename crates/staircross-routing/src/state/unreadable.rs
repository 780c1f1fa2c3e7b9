//! Items of the store that can't be used: entries of other writers, and documents that can't be parsed.
//!
//! This module defines the kinds and reasons with their names in logs. An adapter finds such items, and the node logs
//! them. The log says where the item is and why it can't be used, but never quotes its content, because a document may
//! hold callers' keys.

use crate::state::store_revision::StoreRevision;
use std::fmt;

/// Number of characters of a key that are logged: few enough for a short line, enough to find the key by.
const MAX_KEY_CHARS: usize = 64;

/// Kind of item that a key stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// The configuration.
    Configuration,
    /// A searcher's entry.
    Searcher,
    /// The evacuation of a zone.
    Evacuation,
    /// The key can't be read.
    Unknown,
}

impl KeyKind {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            KeyKind::Configuration => "configuration",
            KeyKind::Searcher => "searcher",
            KeyKind::Evacuation => "evacuation",
            KeyKind::Unknown => "unknown",
        }
    }
}

/// Why an item can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnreadableReason {
    /// The item itself lacks a field, or a field has the wrong type.
    Item,
    /// The key isn't a valid key of its kind.
    Key,
    /// The value isn't in the store's encoding.
    Encoding,
    /// The value is longer than any valid value of its kind.
    TooLong {
        /// Length of the value in bytes.
        bytes: usize,
    },
    /// The value has a syntax error.
    Syntax {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
    },
    /// A field of the value is missing or has the wrong type.
    Shape {
        /// Line at which the parser noticed the error, from 1.
        line: usize,
        /// Column at which the parser noticed the error, from 1.
        column: usize,
    },
    /// A field of the value has an invalid content.
    Field {
        /// Path of the field.
        path: String,
    },
}

impl UnreadableReason {
    /// Creates the reason for a field with an invalid content.
    pub fn field(path: impl Into<String>) -> Self {
        UnreadableReason::Field { path: path.into() }
    }
}

impl fmt::Display for UnreadableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnreadableReason::Item => write!(f, "item"),
            UnreadableReason::Key => write!(f, "key"),
            UnreadableReason::Encoding => write!(f, "encoding"),
            UnreadableReason::TooLong { bytes } => write!(f, "too_long bytes={bytes}"),
            UnreadableReason::Syntax { line, column } => write!(f, "syntax line={line} column={column}"),
            UnreadableReason::Shape { line, column } => write!(f, "shape line={line} column={column}"),
            UnreadableReason::Field { path } => write!(f, "field path={path}"),
        }
    }
}

/// An item that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Kind of item that the key stands for.
    pub kind: KeyKind,
    /// Key of the item, shortened and with `?` for control characters and blanks; empty if it can't be read.
    pub key: String,
    /// Revision of the item's last change, if it can be read.
    pub revision: Option<StoreRevision>,
    /// Why the item can't be used.
    pub reason: UnreadableReason,
}

impl UnreadableItem {
    /// Creates the record of an item, with its key shortened and made printable.
    pub fn new(kind: KeyKind, key: &str, revision: Option<StoreRevision>, reason: UnreadableReason) -> Self {
        let printable = |c: char| if c.is_control() || c.is_whitespace() { '?' } else { c };
        let key = key.chars().take(MAX_KEY_CHARS).map(printable).collect();
        UnreadableItem { kind, key, revision, reason }
    }
}
