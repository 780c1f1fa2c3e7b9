//! Records what the engine takes in and decides, for `staircross replay`.
//!
//! Off unless a setting names a file. The file is bounded; when it is full, or can't be written, recording ends and
//! the node goes on.
//!
//! [`Recorder`] owns the file and what may still be written to it; the records and their form belong to
//! `staircross_routing::recording`.

use staircross_routing::recording::Record;
use staircross_wire::frame::encode;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes records to a file, each with its length before it.
pub struct Recorder {
    file: BufWriter<File>,
    left: u64,
}

/// Why recording has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingEnd {
    /// The file is as long as it may get.
    Full,
    /// The file can't be written.
    Failed,
}

impl RecordingEnd {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RecordingEnd::Full => "full",
            RecordingEnd::Failed => "failed",
        }
    }
}

impl Recorder {
    /// A recorder to a new file of at most `bytes` bytes.
    pub fn create(path: &Path, bytes: u64) -> io::Result<Self> {
        Ok(Recorder { file: BufWriter::new(File::create(path)?), left: bytes })
    }

    /// Writes one record.
    pub fn write(&mut self, record: &Record) -> Result<(), RecordingEnd> {
        let body = encode(record).map_err(|_| RecordingEnd::Failed)?;
        let length = u32::try_from(body.len()).map_err(|_| RecordingEnd::Failed)?;
        let prefix = length.to_be_bytes();
        let whole = (prefix.len() + body.len()) as u64;
        self.left = self.left.checked_sub(whole).ok_or(RecordingEnd::Full)?;
        self.file.write_all(&prefix).and_then(|()| self.file.write_all(&body)).map_err(|_| RecordingEnd::Failed)
    }

    /// Writes out what is buffered.
    pub fn flush(&mut self) -> Result<(), RecordingEnd> {
        self.file.flush().map_err(|_| RecordingEnd::Failed)
    }
}
