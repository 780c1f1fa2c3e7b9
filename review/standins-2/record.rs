//! The record of a case: what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record { began: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time of an earlier event.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }
}
