//! Items of the store that can't be used: other writers' entries, and documents that can't be read.
//!
//! Owns the kinds and reasons, as the log names them. Relies on an adapter, which finds such items, and on the node, which logs them.
//! Only where and why is logged, never what stands there: a document may hold callers' keys.

use std::fmt;

/// Longest part of a key that is logged, in characters. So that a line stays short and a key can be found by it.
const MAX_KEY_CHARS: usize = 64;

/// What an item's key stands for.
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
    /// Name in logs.
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
    /// The item itself lacks a field, or one has another type.
    Item,
    /// Its key names nothing of its kind.
    Key,
    /// Its value isn't in the store's encoding.
    Encoding,
    /// Its value is longer than any of its kind.
    TooLong {
        /// Bytes.
        bytes: usize,
    },
    /// Its value isn't written in the language of such documents.
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// A field of its value is missing or has another type.
    Shape {
        /// Line where that was noticed, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// A field of its value says nothing that it may.
    Field {
        /// Path of the field.
        path: String,
    },
}

impl UnreadableReason {
    /// That a field says nothing that it may.
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
    /// What its key stands for.
    pub kind: KeyKind,
    /// Its key, shortened and without control characters or blanks; empty where that can't be read.
    pub key: String,
    /// Revision of its last change, where that can be read.
    pub revision: Option<u64>,
    /// Why it can't be used.
    pub reason: UnreadableReason,
}

impl UnreadableItem {
    /// An item at a key.
    pub fn new(kind: KeyKind, key: &str, revision: Option<u64>, reason: UnreadableReason) -> Self {
        let printable = |c: char| if c.is_control() || c.is_whitespace() { '?' } else { c };
        let key = key.chars().take(MAX_KEY_CHARS).map(printable).collect();
        UnreadableItem { kind, key, revision, reason }
    }
}
