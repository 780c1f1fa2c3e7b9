//! Records the inputs and decisions of the engine for `staircross replay`.
//!
//! Nothing is recorded unless a setting names a file. The file's size is bounded. When the file is full or can't be
//! written, the recording ends and the node continues.
//!
//! [`Recorder`] owns the file and the number of bytes that may still be written to it. `staircross_routing::recording`
//! defines the records.

use staircross_routing::recording::Record;
use staircross_wire::frame::encode;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Writes records to a file, each after its length.
pub struct Recorder {
    file: BufWriter<File>,
    remaining_bytes: u64,
}

/// Why a recording has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingEnd {
    /// The file has reached its maximum size.
    Full,
    /// A record can't be encoded, or the file can't be written.
    Failed,
}

impl RecordingEnd {
    /// Returns the name that is logged.
    pub fn name(self) -> &'static str {
        match self {
            RecordingEnd::Full => "full",
            RecordingEnd::Failed => "failed",
        }
    }
}

impl Recorder {
    /// Creates a new file for at most `bytes` bytes of records.
    pub fn create(path: &Path, bytes: u64) -> io::Result<Self> {
        Ok(Recorder { file: BufWriter::new(File::create(path)?), remaining_bytes: bytes })
    }

    /// Writes a record, which may stay in the buffer until the next flush.
    pub fn write(&mut self, record: &Record) -> Result<(), RecordingEnd> {
        let body = encode(record).map_err(|_| RecordingEnd::Failed)?;
        let length = u32::try_from(body.len()).map_err(|_| RecordingEnd::Failed)?;
        let prefix = length.to_be_bytes();
        let size = (prefix.len() + body.len()) as u64;
        self.remaining_bytes = self.remaining_bytes.checked_sub(size).ok_or(RecordingEnd::Full)?;
        self.file.write_all(&prefix).and_then(|()| self.file.write_all(&body)).map_err(|_| RecordingEnd::Failed)
    }

    /// Writes the buffered records to the file.
    pub fn flush(&mut self) -> Result<(), RecordingEnd> {
        self.file.flush().map_err(|_| RecordingEnd::Failed)
    }
}
