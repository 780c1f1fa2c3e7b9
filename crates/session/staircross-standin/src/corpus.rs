//! Corpus of documents, read from a file with one JSON object per line.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One document of a corpus.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Unique id of the document.
    pub id: String,
    /// Title, which is shown with hits and also searched.
    pub title: String,
    /// Body, which is searched besides the title.
    pub body: String,
}

/// All documents from which the index of a snapshot is built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Corpus {
    /// The documents.
    pub documents: Vec<Document>,
}

quick_error! {
    /// Reason why a corpus can't be read.
    #[derive(Debug)]
    pub enum CorpusError {
        /// The file can't be read.
        Unreadable { path: String, error: std::io::Error } {
            display("{path}: {error}")
        }
        /// A line can't be decoded as a document.
        BadLine { origin: String, line: usize, reason: String } {
            display("{origin}, line {line}: {reason}")
        }
    }
}

impl Corpus {
    /// Reads a file with one JSON document per line.
    pub fn read(path: &Path) -> Result<Self, CorpusError> {
        let origin = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| CorpusError::Unreadable { path: origin.clone(), error })?;
        Self::parse(&origin, &text)
    }

    /// Parses one JSON document per line and skips empty lines.
    pub fn parse(origin: &str, text: &str) -> Result<Self, CorpusError> {
        let mut documents = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let document = serde_json::from_str(line).map_err(|error| CorpusError::BadLine {
                origin: origin.to_owned(),
                line: index + 1,
                reason: error.to_string(),
            })?;
            documents.push(document);
        }
        Ok(Corpus { documents })
    }
}
